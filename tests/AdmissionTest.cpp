#include <criterion/criterion.h>

#include <string>

#include "entry/CallerLimits.h"
#include "entry/OwnerTracker.h"
#include "entry/RetryBudget.h"

namespace dotterelcove {
namespace {

CellConfig MakeLimits(int64_t in_progress, int64_t per_second) {
  CellConfig config;
  config.callers["default"] = {in_progress, per_second};
  return config;
}

int CountAdmitted(CallerLimits& limits, const CellConfig& config,
                  const std::string& caller, int tries, TimeMs now) {
  int admitted = 0;
  for (int i = 0; i < tries; ++i) {
    const auto result = AdmitRate(limits, config, caller, now);
    admitted += result.admission == Admission::kAdmitted ? 1 : 0;
    cr_expect(result.admission == Admission::kAdmitted ||
              result.retry_after_ms > 0);
  }
  return admitted;
}

}  // namespace

// Guards against a caller that takes more than its rate, and against one that
// pays for another's flood.
Test(CallerLimits, rate_is_this_process_share_of_the_caller_limit) {
  CallerLimits limits;
  limits.entries = 9;
  const CellConfig config = MakeLimits(100, 90);
  cr_expect_eq(CountAdmitted(limits, config, "a", 50, 1'000), 10);
  cr_expect_eq(CountAdmitted(limits, config, "b", 5, 1'000), 5);
  cr_expect_eq(CountAdmitted(limits, config, "a", 50, 1'300), 3);
  cr_expect_eq(CountAdmitted(limits, config, "a", 50, 60'000), 10);
}

// Guards against a share that rounds to nothing.
Test(CallerLimits, share_is_at_least_one) {
  CallerLimits limits;
  limits.entries = 9;
  cr_expect_eq(CountAdmitted(limits, MakeLimits(1, 1), "a", 3, 1'000), 1);
}

// Guards against requests in progress that are counted wrongly over their end.
Test(CallerLimits, in_progress_is_limited_and_freed) {
  CallerLimits limits;
  limits.entries = 2;
  const CellConfig config = MakeLimits(4, 1'000);
  const auto enter = [&] {
    return AcquireInProgress(limits, config, "a", RequestClass::kUrgent, 0)
        .admission;
  };
  cr_expect(enter() == Admission::kAdmitted);
  cr_expect(enter() == Admission::kAdmitted);
  cr_expect(enter() == Admission::kCallerInProgress);
  ReleaseInProgress(limits, "a");
  cr_expect(enter() == Admission::kAdmitted);
}

// Guards against batch work that keeps urgent requests out of a full process.
Test(CallerLimits, lower_classes_are_stopped_first) {
  CallerLimits limits;
  limits.max_in_progress = 100;
  const CellConfig config = MakeLimits(1'000, 1'000);
  const auto fill = [&](RequestClass request_class) {
    int admitted = 0;
    while (AcquireInProgress(limits, config, "a", request_class, 0).admission ==
           Admission::kAdmitted) {
      admitted++;
    }
    return admitted;
  };
  cr_expect_eq(fill(RequestClass::kBatch), 90);
  cr_expect_eq(fill(RequestClass::kService), 5);
  cr_expect_eq(fill(RequestClass::kUrgent), 5);
}

// Guards against memory taken by invented caller names.
Test(CallerLimits, names_are_bounded_and_forgotten) {
  CallerLimits limits;
  const CellConfig config = MakeLimits(10, 10);
  for (int i = 0; i < 12'000; ++i) {
    AdmitRate(limits, config, "c" + std::to_string(i), 0);
  }
  cr_expect_leq(limits.usage.size(), 10'001u);
  EvictIdleCallers(limits, 10'000);
  cr_expect_eq(limits.usage.size(), 0u);
}

// Guards against retries that multiply the load of a failing service.
Test(RetryBudget, allows_a_tenth_and_at_least_three_a_second) {
  RetryBudget budget;
  const auto retries = [&](TimeMs now) {
    int taken = 0;
    while (TakeRetry(budget, "a", "s", now)) taken++;
    return taken;
  };
  cr_expect_eq(retries(0), 3);
  cr_expect_eq(retries(500), 0);
  for (int i = 0; i < 200; ++i) RecordRequest(budget, "a", "s", 1'000);
  cr_expect_eq(retries(1'500), 20);
  cr_expect_eq(retries(2'100), 20);
  cr_expect_eq(retries(3'100), 3);
  cr_expect(TakeRetry(budget, "b", "s", 3'100));
}

// Guards against sending to an owner that has been succeeded.
Test(OwnerTracker, follows_the_highest_epoch) {
  OwnerTracker tracker;
  const auto beat = [&](LinkId link, uint64_t epoch, bool serving) {
    wire::HeartbeatT heartbeat;
    heartbeat.owner_epoch = epoch;
    heartbeat.serving = serving;
    RecordHeartbeat(tracker, link, heartbeat);
    return FindOwner(tracker);
  };
  cr_expect(beat(1, 4, true) == (OwnerRef{1, 4}));
  cr_expect(beat(2, 4, false) == (OwnerRef{1, 4}));
  cr_expect(beat(2, 5, false) == OwnerRef{}, "successor does not serve yet");
  cr_expect(beat(2, 5, true) == (OwnerRef{2, 5}));
  cr_expect(beat(1, 4, true) == (OwnerRef{2, 5}), "old owner still claims");
  RemoveLink(tracker, 2);
  cr_expect(FindOwner(tracker) == OwnerRef{});
}

}  // namespace dotterelcove
