#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "workflow/Pacing.h"

namespace dotterelcove::workflow {
namespace {

constexpr TimeMs kIntervalMs = 450;
constexpr TimeMs kTargetMs = 100;

/// One worker with a serving task and a filler, each of a job of its own.
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
  StepSpec serves;
  serves.long_running = true;
  serves.size = {2'000, 100, 0};
  serves.tail_target_ms = kTargetMs;
  StepSpec fills;
  fills.filler = true;
  fills.size = {4'000, 100, 0};
  fixture.server = MakeOneTask("0000000000000001", serves);
  fixture.filler = MakeOneTask("0000000000000002", fills);
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

/// Plays `seconds`: the tail grows with the filler's pace as `disturbance`
/// says. Returns the time over the objective at the end of the stretch, and
/// keeps the longest one.
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

// Guards against fillers that keep a serving task over its objective: a sudden
// load must be answered within about a second.
Test(Pacing, sudden_disturbance_is_answered_within_a_second) {
  Fixture fixture = MakeFixture();
  LongestTimeOverTarget(fixture, 30, 0.2, 10);
  cr_expect_geq(fixture.worker.runs.at(fixture.filler_name).pace_percent, 95);
  cr_expect_leq(LongestTimeOverTarget(fixture, 30, 3, 20), 2 * kIntervalMs);
}

// Guards against fillers that stay slow after the load has gone.
Test(Pacing, speed_is_given_back_when_there_is_room) {
  Fixture fixture = MakeFixture();
  LongestTimeOverTarget(fixture, 150, 1, 3);
  cr_expect_eq(fixture.worker.runs.at(fixture.filler_name).pace_percent, 0);
  LongestTimeOverTarget(fixture, 20, 0.2, 10);
  cr_expect_geq(fixture.worker.runs.at(fixture.filler_name).pace_percent, 95);
}

// Guards against a pace that swings: in the band below the objective it holds.
Test(Pacing, pace_holds_between_the_two_bounds) {
  cr_expect_eq(NextPace(60, 0.8, kIntervalMs), 60);
  cr_expect_lt(NextPace(60, 0.95, kIntervalMs), 60);
  cr_expect_gt(NextPace(60, 0.5, kIntervalMs), 60);
  cr_expect_eq(NextPace(12, 1.5, kIntervalMs), 0);
}

// Guards against a new owner that leaves fillers at a pace that it never set.
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
