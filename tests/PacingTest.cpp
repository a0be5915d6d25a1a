#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "workflow/Pacing.h"

namespace dotterelcove::workflow {
namespace {

constexpr TimeMs kIntervalMs = 450;
constexpr TimeMs kTargetMs = 100;

/// One worker with a serving task and a filler, each of its own job.
struct Fixture {
  std::unique_ptr<Job> server;
  std::unique_ptr<Job> filler;
  Worker worker;
  std::string filler_name;
  std::string server_name;
};

std::unique_ptr<Job> MakeOneTask(const std::string& id, StepSpec step) {
  JobSpec spec;
  spec.id = id;
  spec.steps = {step};
  return MakeJob(spec, 0, 0);
}

Fixture MakeFixture() {
  Fixture fixture;
  StepSpec serving;
  serving.long_running = true;
  serving.size = {2'000, 100, 0};
  serving.tail_target_ms = kTargetMs;
  StepSpec filler;
  filler.filler = true;
  filler.size = {4'000, 100, 0};
  fixture.server = MakeOneTask("0000000000000001", serving);
  fixture.filler = MakeOneTask("0000000000000002", filler);
  for (Job* job : {fixture.server.get(), fixture.filler.get()}) {
    PlacedRun run;
    run.task = {job, 0, 0, 0};
    run.run = 1;
    run.confirmed = true;
    run.size = SizeOnWorker(SpecOf(run.task));
    AddRun(fixture.worker, MakeTaskName(run.task), run);
  }
  fixture.server_name = MakeTaskName({fixture.server.get(), 0, 0, 0});
  fixture.filler_name = MakeTaskName({fixture.filler.get(), 0, 0, 0});
  return fixture;
}

/// Simulates `seconds` in which the tail latency is `base_ms` plus
/// `disturbance` times the filler's pace in percent. Returns the longest time
/// for which it stayed over the objective.
TimeMs LongestTimeOverTarget(Fixture& fixture, double base_ms,
                             double disturbance, TimeMs seconds) {
  PlacedRun& filler = fixture.worker.runs.at(fixture.filler_name);
  PlacedRun& server = fixture.worker.runs.at(fixture.server_name);
  TimeMs over_ms = 0;
  TimeMs longest_ms = 0;
  for (TimeMs t = 0; t < seconds * 1'000; t += kIntervalMs) {
    server.usage = base_ms + disturbance * filler.pace_percent;
    over_ms = server.usage > kTargetMs ? over_ms + kIntervalMs : 0;
    longest_ms = std::max(longest_ms, over_ms);
    for (const PaceChange& change : PlanPaces(fixture.worker, kIntervalMs)) {
      filler.pace_percent = change.percent;
    }
  }
  return longest_ms;
}

}  // namespace

// Guards against fillers that keep a serving task over its objective: the pace
// must react to a sudden load within about a second.
Test(Pacing, pace_reacts_to_a_disturbance_within_a_second) {
  Fixture fixture = MakeFixture();
  LongestTimeOverTarget(fixture, 30, 0.2, 10);
  cr_expect_geq(fixture.worker.runs.at(fixture.filler_name).pace_percent, 95);
  cr_expect_leq(LongestTimeOverTarget(fixture, 30, 3, 20), 2 * kIntervalMs);
}

// Guards against fillers that stay slow after the load has dropped.
Test(Pacing, pace_recovers_when_the_load_drops) {
  Fixture fixture = MakeFixture();
  LongestTimeOverTarget(fixture, 150, 1, 3);
  cr_expect_eq(fixture.worker.runs.at(fixture.filler_name).pace_percent, 0);
  LongestTimeOverTarget(fixture, 20, 0.2, 10);
  cr_expect_geq(fixture.worker.runs.at(fixture.filler_name).pace_percent, 95);
}

// Guards against an oscillating pace: in the band below the objective it stays
// constant.
Test(Pacing, pace_holds_between_the_two_bounds) {
  cr_expect_eq(NextPace(60, 0.8, kIntervalMs), 60);
  cr_expect_lt(NextPace(60, 0.95, kIntervalMs), 60);
  cr_expect_gt(NextPace(60, 0.5, kIntervalMs), 60);
  cr_expect_eq(NextPace(12, 1.5, kIntervalMs), 0);
}

// Guards against a new owner that leaves fillers at a pace it does not know.
Test(Pacing, unknown_paces_are_sent_again) {
  Fixture fixture = MakeFixture();
  PlacedRun& filler = fixture.worker.runs.at(fixture.filler_name);
  cr_expect(PlanPaces(fixture.worker, kIntervalMs).empty());
  filler.pace_known = false;
  cr_expect_eq(PlanPaces(fixture.worker, kIntervalMs).size(), 1U);
  filler.pace_in_flight = true;
  cr_expect(PlanPaces(fixture.worker, kIntervalMs).empty());
}

}  // namespace dotterelcove::workflow
