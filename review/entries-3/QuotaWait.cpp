/// A large task that has to wait for its account's quota keeps all later tasks
/// of the account from starting, although the account uses less than half of
/// its quota: a job that lasts does not run.
#include <algorithm>
#include <cstdio>
#include <string>

#include "review/standin-3/CaseCell.h"

namespace dotterelcove::review {
namespace {

constexpr const char* kService = "huvo11a";
constexpr int64_t kQuota = 40'000;
/// The rule: nothing runs for 3 s, of which these and the four before are calm.
/// A job that lasts and has not run yet has 6 s.
constexpr int64_t kMayWaitMs = 6'000 + 3'000 + 4'000;
constexpr int64_t kObservedMs = 30'000;

/// 16 cores for 45 s: less than half of the quota.
constexpr const char* kBatch =
    R"({"spec":"ms=45000","steps":[{"count":4,"cpu":4000,"mem_mb":256,)"
    R"("est_duration_ms":45000}]})";
/// One task of 26 cores, for which the rest of the quota is too small by 2.
constexpr const char* kLarge =
    R"({"spec":"ms=5000","steps":[{"count":1,"cpu":26000,"mem_mb":256,)"
    R"("est_duration_ms":5000}]})";
/// Two tasks of one core that last.
constexpr const char* kWatch =
    R"({"spec":"lasts","steps":[{"count":2,"cpu":1000,"mem_mb":256,)"
    R"("est_duration_ms":400,"long_running":true}]})";

int Run(const std::string& folder) {
  CaseOptions options;
  options.folder = folder;
  options.services = {{kService, 8, 32'000, 65'536}};
  CaseCell cell(options);
  const std::vector<QueueRoute> routes = {
      {"short", kService, 0}, {"lasting", kService, 1}, {"batch", kService, 2}};
  if (!cell.Start(routes, {{"t1", kQuota}, {"t2", kQuota}})) return 2;
  constexpr int64_t kLimitMs = 10'000;
  const std::string batch = JobName(1);
  const std::string large = JobName(2);
  const std::string watch = JobName(3);
  const std::string other = JobName(4);
  const std::string key = "key-t1";
  const int64_t until_ms = soak::NowMs() + kLimitMs;
  if (!cell.Submit("/batch/" + batch, kBatch, key, until_ms) ||
      !cell.AwaitRunning(batch, 4, kLimitMs)) {
    cell.Say("the batch job did not start");
    return 2;
  }
  if (!IsTroubleOff() &&
      !cell.Submit("/short/" + large, kLarge, key, until_ms + kLimitMs)) {
    return 2;
  }
  constexpr int64_t kPauseMs = 1'000;
  soak::SleepMs(kPauseMs);
  if (!cell.Submit("/lasting/" + watch, kWatch, key, until_ms + kLimitMs)) {
    return 2;
  }
  const int64_t accepted_ms = soak::NowMs();
  if (!cell.Submit("/lasting/" + other, kWatch, "key-t2",
                   until_ms + 2 * kLimitMs)) {
    return 2;
  }
  int64_t waited_ms = 0;
  while (soak::NowMs() < accepted_ms + kObservedMs) {
    constexpr int64_t kStepMs = 100;
    soak::SleepMs(kStepMs);
    if (cell.CountRunning(watch) > 0) break;
    waited_ms = soak::NowMs() - accepted_ms;
  }
  cell.Say("state of the job that lasts: " +
           cell.StateOf("/lasting/" + watch, key, soak::NowMs() + kLimitMs));
  cell.Say("nothing of it ran for " + std::to_string(waited_ms) +
           " ms; its account has " + std::to_string(cell.CountRunning(batch)) +
           " tasks of 4 cores running, of a quota of 40; 8 runners of 32 "
           "cores have room; the same job of another account has " +
           std::to_string(cell.CountRunning(other)) + " tasks running");
  const bool is_broken = waited_ms >= kMayWaitMs;
  cell.Say(is_broken ? "LOST: a job that lasts has nothing running"
                     : "the rule held");
  return is_broken ? 1 : 0;
}

}  // namespace
}  // namespace dotterelcove::review

int main(int count, char** arguments) {
  if (count != 2) return 2;
  return dotterelcove::review::Run(arguments[1]);
}
