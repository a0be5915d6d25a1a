// Planned operations and time limits, with real processes, against the targets
// of docs/design.md 1.7.
#include <criterion/criterion.h>

#include <cstdio>

#include "standins/Deployment.h"
#include "standins/Measurements.h"

namespace dotterelcove {
namespace {

constexpr double kUrgentStartLimitMs = 2'100;
constexpr double kConfigLimitMs = 5'000;
constexpr double kLeavingLimitMs = 3'000;
constexpr double kNeverStartedMs = 1e9;

void CheckPlannedStop(bool owner) {
  Deployment deployment({});
  cr_assert(deployment.Start());
  const std::string process = owner ? deployment.Owner() : "entry-1";
  const StopResult result = MeasurePlannedStop(deployment, process);
  std::fprintf(stderr,
               "stop of %s: exit %d, %d cut off and %d refused of %d, "
               "worst urgent start %.0f ms\n",
               process.c_str(), result.exit_code, result.interrupted,
               result.refused, result.requests, result.worst_start_ms);
  cr_expect_eq(result.exit_code, 0);
  cr_expect_eq(result.interrupted, 0);
  // A stopping entry daemon refuses requests that still reach it; a stopping
  // owner hands all its work over to the next owner.
  if (owner) cr_expect_eq(result.refused, 0);
  cr_expect_leq(result.worst_start_ms, kUrgentStartLimitMs);
}

}  // namespace

// Guards against a planned stop of the owner that interrupts requests or delays
// urgent work until its lease has expired.
Test(Operation, planned_stop_of_the_owner, .timeout = 90) {
  CheckPlannedStop(true);
}

// Guards against a planned stop of an entry daemon that interrupts requests.
Test(Operation, planned_stop_of_an_entry_daemon, .timeout = 90) {
  CheckPlannedStop(false);
}

// Guards against a daemon that does not apply a published configuration in
// time.
Test(Operation, configuration_is_in_force_everywhere, .timeout = 90) {
  Deployment deployment({});
  cr_assert(deployment.Start());
  for (int round = 0; round < 3; ++round) {
    const double ms = MeasureConfigPropagationMs(deployment, round, 10'000);
    cr_expect(ms >= 0 && ms <= kConfigLimitMs, "round %d: %.0f ms", round, ms);
  }
}

// Guards against new work at an endpoint that the VM list shows as leaving.
Test(Operation, leaving_endpoint_gets_no_new_work, .timeout = 90) {
  Deployment deployment({});
  cr_assert(deployment.Start());
  const double ms = MeasureLastStartAfterLeavingMs(deployment, "e-1");
  cr_expect_leq(ms, kLeavingLimitMs,
                "last start %.0f ms after leaving was published", ms);
}

// Guards against urgent work that waits longer than its limit while another
// scheduler takes over.
Test(Operation, urgent_start_when_the_owner_is_killed, .timeout = 120) {
  Deployment deployment({});
  cr_assert(deployment.Start());
  TrafficOptions options;
  options.seed = 20261204;
  options.kinds = {{"dispatch", false, true, 1, 20, 100}};
  options.rate = 50;
  Traffic traffic(deployment, options);
  traffic.Start();
  for (int round = 0; round < 3; ++round) {
    deployment.loop().RunUntil([] { return false; }, 700);
    const std::string owner = deployment.Owner();
    cr_assert(!owner.empty());
    deployment.Kill(owner);
    deployment.loop().RunUntil([] { return false; }, 3'000);
    deployment.Restart(owner);
  }
  traffic.StopSending();
  deployment.loop().RunUntil([&] { return traffic.open() == 0; }, 20'000);
  const auto delays = StartDelaysMs(deployment, traffic, kNeverStartedMs);
  const double p99 = Percentile(delays, 0.99);
  std::fprintf(stderr, "urgent start: p99 %.0f ms, worst %.0f ms of %zu\n", p99,
               Percentile(delays, 1), delays.size());
  cr_expect_leq(p99, kUrgentStartLimitMs);
}

// Guards against placement that stops because the owner cannot renew its lease
// while the store is down.
Test(Operation, urgent_start_while_the_store_is_down, .timeout = 90) {
  Deployment deployment({});
  cr_assert(deployment.Start());
  deployment.Control("platform", "/control/fault", {{"outage", true}});
  TrafficOptions options;
  options.kinds = {{"dispatch", false, true, 1, 20, 100}};
  options.rate = 50;
  Traffic traffic(deployment, options);
  traffic.Start();
  deployment.loop().RunUntil([] { return false; }, 10'000);
  traffic.StopSending();
  deployment.loop().RunUntil([&] { return traffic.open() == 0; }, 20'000);
  const auto delays = StartDelaysMs(deployment, traffic, kNeverStartedMs);
  std::fprintf(stderr, "store down: p99 %.0f ms of %zu\n",
               Percentile(delays, 0.99), delays.size());
  cr_expect_leq(Percentile(delays, 1), kUrgentStartLimitMs);
}

}  // namespace dotterelcove
