#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "workflow/Pacing.h"

namespace dotterelcove::workflow {
namespace {

constexpr TimeMs kJudgeMs = 450;
constexpr TimeMs kTargetMs = 100;

/// One worker with a serving task and a filler, each of a job of its own.
struct Scene {
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

Scene MakeScene() {
  Scene scene;
  StepSpec serves;
  serves.long_running = true;
  serves.size = {2'000, 100, 0};
  serves.tail_target_ms = kTargetMs;
  StepSpec fills;
  fills.filler = true;
  fills.size = {4'000, 100, 0};
  scene.server = MakeOneTask("0000000000000001", serves);
  scene.filler = MakeOneTask("0000000000000002", fills);
  for (Job* job : {scene.server.get(), scene.filler.get()}) {
    PlacedRun run;
    run.task = {job, 0, 0, 0};
    run.run = 1;
    run.confirmed = true;
    run.size = SizeOnWorker(SpecOf(run.task));
    AddRun(scene.worker, MakeTaskName(run.task), run);
  }
  scene.server_name = MakeTaskName({scene.server.get(), 0, 0, 0});
  scene.filler_name = MakeTaskName({scene.filler.get(), 0, 0, 0});
  return scene;
}

/// Plays `seconds`: the tail grows with the filler's pace as `disturbance`
/// says. Returns the time over the objective at the end of the stretch, and
/// keeps the longest one.
TimeMs LongestTimeOverTarget(Scene& scene, double base_ms, double disturbance,
                             TimeMs seconds) {
  PlacedRun& filler = scene.worker.runs.at(scene.filler_name);
  PlacedRun& server = scene.worker.runs.at(scene.server_name);
  TimeMs over_ms = 0;
  TimeMs longest_ms = 0;
  for (TimeMs t = 0; t < seconds * 1'000; t += kJudgeMs) {
    server.usage = base_ms + disturbance * filler.pace_percent;
    over_ms = server.usage > kTargetMs ? over_ms + kJudgeMs : 0;
    longest_ms = std::max(longest_ms, over_ms);
    for (const PaceChange& change : PlanPaces(scene.worker, kJudgeMs)) {
      filler.pace_percent = change.percent;
    }
  }
  return longest_ms;
}

}  // namespace

// Guards against fillers that keep a serving task over its objective: a sudden
// load must be answered within about a second.
Test(Pacing, sudden_disturbance_is_answered_within_a_second) {
  Scene scene = MakeScene();
  LongestTimeOverTarget(scene, 30, 0.2, 10);
  cr_expect_geq(scene.worker.runs.at(scene.filler_name).pace_percent, 95);
  cr_expect_leq(LongestTimeOverTarget(scene, 30, 3, 20), 2 * kJudgeMs);
}

// Guards against fillers that stay slow after the load has gone.
Test(Pacing, speed_is_given_back_when_there_is_room) {
  Scene scene = MakeScene();
  LongestTimeOverTarget(scene, 150, 1, 3);
  cr_expect_eq(scene.worker.runs.at(scene.filler_name).pace_percent, 0);
  LongestTimeOverTarget(scene, 20, 0.2, 10);
  cr_expect_geq(scene.worker.runs.at(scene.filler_name).pace_percent, 95);
}

// Guards against a pace that swings: in the band below the objective it holds.
Test(Pacing, pace_holds_between_the_two_bounds) {
  cr_expect_eq(NextPace(60, 0.8, kJudgeMs), 60);
  cr_expect_lt(NextPace(60, 0.95, kJudgeMs), 60);
  cr_expect_gt(NextPace(60, 0.5, kJudgeMs), 60);
  cr_expect_eq(NextPace(12, 1.5, kJudgeMs), 0);
}

// Guards against a new owner that leaves fillers at a pace that it never set.
Test(Pacing, unknown_paces_are_sent_again) {
  Scene scene = MakeScene();
  PlacedRun& filler = scene.worker.runs.at(scene.filler_name);
  cr_expect(PlanPaces(scene.worker, kJudgeMs).empty());
  filler.pace_known = false;
  cr_expect_eq(PlanPaces(scene.worker, kJudgeMs).size(), 1U);
  filler.pace_in_flight = true;
  cr_expect(PlanPaces(scene.worker, kJudgeMs).empty());
}

}  // namespace dotterelcove::workflow
