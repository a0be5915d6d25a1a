#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "workflow/JobRows.h"
#include "workflow/Ordering.h"
#include "workflow/PermitPlan.h"
#include "workflow/Preemption.h"

namespace dotterelcove::workflow {
namespace {

constexpr TimeMs kNow = 100'000;

/// A fleet of usable workers and one job whose only step is `step`.
struct Fixture {
  Fleet fleet;
  std::unique_ptr<Job> job;
  PlacementNeed need;
};

void AddUsableWorker(Fixture& fixture, const std::string& id, int64_t cores,
                     const std::string& rack = "r0") {
  Worker& worker = AddWorker(fixture.fleet, id);
  worker.info.id = id;
  worker.info.service = "service";
  worker.info.rack = rack;
  worker.info.capacity = {cores, 32'000, 0};
  worker.info.incarnation = 1;
  worker.synced = true;
  worker.reachable = true;
  worker.recorded = true;
}

std::unique_ptr<Job> MakeOneStep(StepSpec step, int priority = 0) {
  JobSpec spec;
  spec.id = "0123456789abcdef";
  spec.policy.service = "service";
  spec.steps = {step};
  spec.policy.priority = priority;
  spec.policy.stretch = 2;
  spec.policy.target_ms = 250;
  spec.accepted_wall_ms = kNow;
  return MakeJob(spec, kNow, kNow);
}

Fixture MakeFixture(StepSpec step, int priority = 0) {
  Fixture fixture;
  fixture.job = MakeOneStep(step, priority);
  return fixture;
}

PlacementNeed NeedOf(Fixture& fixture) {
  PlacementNeed need;
  need.job = &fixture.job->spec;
  need.step = &fixture.job->spec.steps.front();
  need.state = &fixture.job->occurrences.at(0).steps.front();
  need.now_ms = kNow;
  return need;
}

Worker* ChooseOne(Fixture& fixture) {
  const PlacementNeed need = NeedOf(fixture);
  return ChooseWorker(FindCandidates(fixture.fleet, need), need);
}

std::optional<std::vector<Worker*>> ChooseGangOf(Fixture& fixture,
                                                 uint32_t count) {
  const PlacementNeed need = NeedOf(fixture);
  return ChooseGang(FindCandidates(fixture.fleet, need), need, count);
}

std::vector<Victim> ChooseVictimsFor(Fixture& fixture, uint32_t tasks) {
  const PlacementNeed need = NeedOf(fixture);
  return ChooseVictims(FindCandidates(fixture.fleet, need), need, tasks);
}

StepSpec MakeStep(uint32_t count, int64_t cores) {
  StepSpec step;
  step.count = count;
  step.size = {cores, 100, 0};
  step.estimate_ms = 1'000;
  return step;
}

/// Places a running task of another job on a worker.
void AddRunningTask(Fixture& fixture, Job& job, const std::string& worker,
                    uint32_t index, int percent) {
  const TaskRef ref{&job, 0, 0, index};
  TaskState& task = TaskOf(ref);
  task.phase = TaskPhase::kRunning;
  task.worker = worker;
  task.percent = percent;
  task.started_ms = kNow - 1'000;
  PlacedRun run;
  run.task = ref;
  run.run = 1;
  run.size = SizeOnWorker(SpecOf(ref));
  run.confirmed = true;
  AddRun(fixture.fleet.workers.at(worker), MakeTaskName(ref), run);
}

}  // namespace

// Guards against placing audits before urgent work, and against jobs too late
// to have any value that delay jobs that still have it.
Test(Ordering, urgent_first_and_worthless_last) {
  const auto urgent = MakeOneStep(MakeStep(1, 1'000), 0);
  const auto audit = MakeOneStep(MakeStep(1, 1'000), 2);
  const auto key = [](const Job& job, TimeMs now_ms) {
    return MakeOrderKey(job, 0, 0, {now_ms, now_ms});
  };
  cr_expect(key(*urgent, kNow) < key(*audit, kNow));
  cr_expect(key(*audit, kNow) < key(*urgent, kNow + 60'000));
}

// Guards against a critical path that leaves out the later steps of a job.
Test(Ordering, slack_counts_the_remaining_critical_path) {
  StepSpec first = MakeStep(1, 1);
  StepSpec second = MakeStep(1, 1);
  second.estimate_ms = 3'000;
  second.after = {0};
  StepSpec other = MakeStep(1, 1);
  other.after = {0};
  JobSpec spec;
  spec.steps = {first, second, other};
  const std::vector<TimeMs> paths = RemainingPathsMs(spec, StatedMs(spec));
  cr_expect_eq(paths[0], 4'000);
  cr_expect_eq(paths[1], 3'000);
  cr_expect_eq(CriticalPathMs(spec), 4'000);
}

// Guards against placing more on a worker than its capacity.
Test(Placement, full_workers_are_passed_over) {
  Fixture fixture = MakeFixture(MakeStep(2, 3'000));
  AddUsableWorker(fixture, "small", 2'000);
  AddUsableWorker(fixture, "large", 8'000);
  AddUsableWorker(fixture, "fitting", 4'000);
  Worker* chosen = ChooseOne(fixture);
  cr_assert_not_null(chosen);
  cr_expect_str_eq(chosen->info.id.c_str(), "fitting");
  fixture.fleet.workers.at("fitting").used = {2'000, 0, 0};
  fixture.fleet.workers.at("large").used = {6'000, 0, 0};
  cr_expect_null(ChooseOne(fixture));
}

// Guards against placing work on a worker that is draining, unreachable or
// quarantined, or that holds orphaned runs.
Test(Placement, unusable_workers_are_passed_over) {
  Fixture fixture = MakeFixture(MakeStep(1, 1'000));
  AddUsableWorker(fixture, "w", 8'000);
  Worker& worker = fixture.fleet.workers.at("w");
  cr_expect_not_null(ChooseOne(fixture));
  worker.info.draining = true;
  cr_expect_null(ChooseOne(fixture));
  worker.info.draining = false;
  worker.reachable = false;
  cr_expect_null(ChooseOne(fixture));
  worker.reachable = true;
  worker.health.quarantined_until_ms = kNow + 1;
  cr_expect_null(ChooseOne(fixture));
  worker.health.quarantined_until_ms = 0;
  worker.orphans["orphan"] = {1, 0};
  cr_expect_null(ChooseOne(fixture));
}

// Guards against exceeding a step's limit of tasks per worker and against
// placing a task on a worker without the required label.
Test(Placement, spread_and_label_are_kept) {
  StepSpec step = MakeStep(2, 1'000);
  step.max_per_worker = 1;
  step.required_label = "b";
  Fixture fixture = MakeFixture(step);
  AddUsableWorker(fixture, "w", 8'000);
  cr_expect_null(ChooseOne(fixture));
  fixture.fleet.workers.at("w").info.labels = {"b"};
  cr_expect_not_null(ChooseOne(fixture));
  AddRunningTask(fixture, *fixture.job, "w", 0, 0);
  cr_expect_null(ChooseOne(fixture));
}

// Guards against a limit per worker that counts tasks in place of runs: a run
// that is being stopped, or whose task this owner has given up, is still there.
// And against a plan that leaves its own placements in the count.
Test(Placement, limit_counts_runs_until_they_are_removed) {
  StepSpec step = MakeStep(4, 1'000);
  step.max_per_worker = 2;
  Fixture fixture = MakeFixture(step);
  AddUsableWorker(fixture, "w", 8'000);
  Worker& worker = fixture.fleet.workers.at("w");
  const StepState& state = fixture.job->occurrences.at(0).steps.front();
  const auto count_planned = [&] {
    const PlacementNeed need = NeedOf(fixture);
    return PlanStep(FindCandidates(fixture.fleet, need), need, {1, 2, 3})
        .placed.size();
  };
  cr_expect_eq(count_planned(), 2U);
  cr_expect_eq(HeldRunsOfStep(worker, state), 0U);
  AddRunningTask(fixture, *fixture.job, "w", 0, 0);
  // The start of a later run of the same task takes its place.
  AddRunningTask(fixture, *fixture.job, "w", 0, 0);
  cr_expect_eq(count_planned(), 1U);
  const std::string name = MakeTaskName({fixture.job.get(), 0, 0, 0});
  worker.runs.at(name).stop_wanted = true;
  TaskOf({fixture.job.get(), 0, 0, 0}).worker.clear();
  cr_expect_eq(count_planned(), 1U);
  RemoveRun(worker, name);
  cr_expect_eq(count_planned(), 2U);
  cr_expect(worker.limited_steps.empty());
}

// Guards against placing a gang partially or across two racks.
Test(Placement, gang_is_placed_whole_on_one_rack) {
  StepSpec step = MakeStep(4, 4'000);
  step.gang = true;
  step.same_rack = true;
  Fixture fixture = MakeFixture(step);
  AddUsableWorker(fixture, "a1", 8'000, "r1");
  AddUsableWorker(fixture, "b1", 8'000, "r2");
  cr_expect_not(ChooseGangOf(fixture, 4).has_value());
  AddUsableWorker(fixture, "b2", 8'000, "r2");
  const auto gang = ChooseGangOf(fixture, 4);
  cr_assert(gang.has_value());
  for (const Worker* worker : *gang) {
    cr_expect_str_eq(worker->info.rack.c_str(), "r2");
    cr_expect_eq(worker->used.milli_cores, 0);
  }
}

// Guards against counting tasks by their indices: the waiting tasks of a step
// may have gaps between them, and permits are requested for those without room.
Test(Placement, tasks_without_room_are_counted) {
  Fixture fixture = MakeFixture(MakeStep(10, 4'000));
  AddUsableWorker(fixture, "w", 8'000);
  const PlacementNeed need = NeedOf(fixture);
  const StepPlan plan =
      PlanStep(FindCandidates(fixture.fleet, need), need, {1, 4, 5, 9});
  cr_assert_eq(plan.placed.size(), 2U);
  cr_expect_eq(plan.placed[0].index, 1U);
  cr_expect_eq(plan.placed[1].index, 4U);
  cr_expect_eq(plan.unplaced, 2U);
  cr_expect_eq(fixture.fleet.workers.at("w").used.milli_cores, 0);
}

// Guards against using a ticket after it expired or for another incarnation of
// the worker.
Test(Placement, tickets_expire_and_belong_to_one_incarnation) {
  Fixture fixture = MakeFixture(MakeStep(1, 1'000));
  fixture.job->spec.policy.permits.required = true;
  AddUsableWorker(fixture, "w", 8'000);
  StepState& state = fixture.job->occurrences.at(0).steps.front();
  cr_expect_null(ChooseOne(fixture));
  AddTicket(state.permits, {"t", kNow + 1'000, 1, 0});
  cr_expect_not_null(ChooseOne(fixture));
  AddTicket(state.permits, {"t", kNow + 1'000, 2, 0});
  cr_expect_null(ChooseOne(fixture));
  AddTicket(state.permits, {"t", kNow, 1, 0});
  cr_expect_null(ChooseOne(fixture));
}

// Guards against requests for workers that cannot help: each worker in a
// request costs milliseconds of an authority that handles one call at a time.
Test(PermitPlan, requests_only_workers_that_can_help) {
  Fixture fixture = MakeFixture(MakeStep(1, 1'000));
  fixture.job->spec.policy.permits.required = true;
  StepState& state = fixture.job->occurrences.at(0).steps.front();
  for (int i = 0; i < 20; ++i)
    AddUsableWorker(fixture, "w" + std::to_string(i), 4'000);
  const auto slot_of = [&](const char* id) {
    return fixture.fleet.workers.at(id).slot;
  };
  AddDenial(state.permits, slot_of("w0"));
  fixture.fleet.workers.at("w1").used = {4'000, 0, 0};
  AddTicket(state.permits, {"old", kNow - 1, 1, slot_of("w2")});
  const auto names = ChooseWorkersToRequest(OrderByRoom(fixture.fleet, kNow),
                                            NeedOf(fixture), 1);
  cr_assert_not(names.empty());
  cr_expect_lt(names.size(), 12U);
  // A worker known to be allowed comes first.
  cr_expect_str_eq(names.front().c_str(), "w2");
  for (const std::string& name : names) {
    cr_expect(name != "w0" && name != "w1", "%s", name.c_str());
  }
}

// Guards against slow requests that delay quick ones in a burst of audits.
Test(PermitPlan, some_processes_stay_free_of_slow_requests) {
  PermitClients permit_clients;
  for (int i = 0; i < 9; ++i) permit_clients["d" + std::to_string(i)];
  int slow = 0;
  while (PermitClient* client = ChoosePermitClient(permit_clients, 600, kNow)) {
    client->slow++;
    client->outstanding++;
    client->busy_until_ms = kNow + 600;
    ++slow;
  }
  cr_expect_eq(slow, 7);
  const PermitClient* quick = ChoosePermitClient(permit_clients, 34, kNow);
  cr_assert_not_null(quick);
  cr_expect_eq(quick->slow, 0U);
}

// Guards against losing more work than necessary: the run with checkpoints is
// preempted first, and nothing is preempted if enough capacity is already being
// freed.
Test(Preemption, stops_what_loses_least) {
  Fixture fixture = MakeFixture(MakeStep(1, 4'000));
  AddUsableWorker(fixture, "w", 8'000);
  StepSpec plain = MakeStep(1, 4'000);
  plain.estimate_ms = 10'000;
  StepSpec saving = plain;
  saving.checkpoints = true;
  const auto plain_job = MakeOneStep(plain, 2);
  const auto saving_job = MakeOneStep(saving, 2);
  saving_job->spec.id = "fedcba9876543210";
  AddRunningTask(fixture, *plain_job, "w", 0, 10);
  AddRunningTask(fixture, *saving_job, "w", 0, 10);
  const auto victims = ChooseVictimsFor(fixture, 1);
  cr_assert_eq(victims.size(), 1U);
  cr_expect_str_eq(victims.front().task.c_str(), "fedcba9876543210.0.0.0");
  fixture.fleet.workers.at("w").runs.at(victims.front().task).stop_wanted =
      true;
  cr_expect(ChooseVictimsFor(fixture, 1).empty());
}

// Guards against stopping runs, and asking for permits, where the limit per
// worker keeps the task away in any case.
Test(Preemption, worker_at_the_limit_is_left_alone) {
  StepSpec step = MakeStep(2, 4'000);
  step.max_per_worker = 1;
  Fixture fixture = MakeFixture(step);
  AddUsableWorker(fixture, "w", 8'000);
  StepSpec low = MakeStep(1, 4'000);
  low.estimate_ms = 10'000;
  const auto low_job = MakeOneStep(low, 2);
  low_job->spec.id = "fedcba9876543210";
  AddRunningTask(fixture, *low_job, "w", 0, 10);
  const auto requested = [&] {
    return ChooseWorkersToRequest(OrderByRoom(fixture.fleet, kNow),
                                  NeedOf(fixture), 1);
  };
  cr_expect_eq(requested().size(), 1U);
  AddRunningTask(fixture, *fixture.job, "w", 0, 10);
  cr_expect(ChooseVictimsFor(fixture, 1).empty());
  RemoveRun(fixture.fleet.workers.at("w"), "0123456789abcdef.0.0.0");
  fixture.fleet.workers.at("w").info.capacity.milli_cores = 4'000;
  cr_expect_eq(ChooseVictimsFor(fixture, 1).size(), 1U);
  fixture.fleet.workers.at("w").info.capacity.milli_cores = 12'000;
  AddRunningTask(fixture, *fixture.job, "w", 0, 10);
  cr_expect(requested().empty());
}

// Guards against preempting urgent work for other urgent work.
Test(Preemption, urgent_runs_stay) {
  Fixture fixture = MakeFixture(MakeStep(1, 4'000));
  AddUsableWorker(fixture, "w", 4'000);
  StepSpec urgent = MakeStep(1, 4'000);
  urgent.estimate_ms = 10'000;
  const auto job = MakeOneStep(urgent, 0);
  AddRunningTask(fixture, *job, "w", 0, 10);
  cr_expect(ChooseVictimsFor(fixture, 1).empty());
}

// Guards against preempting a long-running task.
Test(Preemption, long_running_runs_stay) {
  Fixture fixture = MakeFixture(MakeStep(1, 4'000));
  AddUsableWorker(fixture, "w", 4'000);
  StepSpec long_running = MakeStep(1, 4'000);
  long_running.long_running = true;
  const auto job = MakeOneStep(long_running, 2);
  AddRunningTask(fixture, *job, "w", 0, 10);
  cr_expect(ChooseVictimsFor(fixture, 1).empty());
}

// Guards against progress that a new owner decodes differently from what was
// stored.
Test(JobRows, progress_survives_a_round_trip) {
  const auto job = MakeOneStep(MakeStep(3, 1'000));
  job->started = true;
  StepState& step = job->occurrences.at(0).steps.front();
  step.tasks[0].phase = TaskPhase::kDone;
  step.done = 1;
  // A run in progress is not stored: the next owner adopts it.
  step.tasks[1].run = 5;
  step.tasks[2].run = 4;
  step.tasks[2].ended_run = 3;
  step.tasks[2].failed_runs = {1, 3};
  step.tasks[2].checkpoint = "save";
  step.tasks[2].crashes = {{2, {CrashPhase::kOnProbation, 17}},
                           {3, {CrashPhase::kRunning, 0}}};
  const auto copy = MakeOneStep(MakeStep(3, 1'000));
  cr_assert(ApplyProgress(EncodeProgress(*job), *copy));
  const StepState& read = copy->occurrences.at(0).steps.front();
  cr_expect(copy->started);
  cr_expect_eq(read.done, 1U);
  cr_expect(read.tasks[0].phase == TaskPhase::kDone);
  cr_expect_eq(read.tasks[1].run, 0U);
  cr_expect_eq(read.tasks[2].run, 3U);
  cr_expect_eq(read.tasks[2].failed_runs.size(), 2U);
  cr_expect_str_eq(read.tasks[2].checkpoint.c_str(), "save");
  cr_expect(read.tasks[2].crashes == step.tasks[2].crashes);
  cr_expect_not(ApplyProgress("{\"occurrences\": 3}", *copy));
}

// Guards against crashes that daemons of two versions read differently: an
// older one stores and reads phases only, a newer one weights as well.
Test(JobRows, crashes_are_readable_across_versions) {
  const auto job = MakeOneStep(MakeStep(1, 1'000));
  TaskState& task = job->occurrences.at(0).steps.front().tasks[0];
  task.ended_run = 2;
  task.crashes = {{2, {CrashPhase::kOnProbation, 3}}};
  std::string row = EncodeProgress(*job);
  const std::string phases = R"({"2":"on_probation"})";
  const std::string weights = R"(,{"2":3})";
  cr_assert_neq(row.find(phases + weights), std::string::npos);
  row.erase(row.find(phases + weights) + phases.size(), weights.size());
  const auto copy = MakeOneStep(MakeStep(1, 1'000));
  cr_assert(ApplyProgress(row, *copy));
  const TaskCrashes& read =
      copy->occurrences.at(0).steps.front().tasks[0].crashes;
  cr_assert_eq(read.size(), 1U);
  cr_expect(read.at(2).phase == CrashPhase::kOnProbation);
  cr_expect_eq(read.at(2).weight, FullWeight(CrashPhase::kOnProbation));
}

// Guards against one damaged entry that hides the other workers of its row, or
// ends the process: a new owner would not wait for the leases of workers that
// it does not know of.
Test(JobRows, damaged_fleet_entries_cost_only_themselves) {
  RecordedWorker sound;
  sound.info.id = "i-1";
  sound.info.address = "10.0.0.1:80";
  const std::string row = EncodeFleet({sound});
  const std::string entry = row.substr(1, row.size() - 2);
  const DecodedFleet damaged =
      DecodeFleet("[[\"i-2\", 7], " + entry + ", 5, [], {\"a\": 1}]");
  cr_assert_eq(damaged.workers.size(), 2U);
  cr_expect_str_eq(damaged.workers[0].info.id.c_str(), "i-2");
  cr_expect_not(damaged.workers[0].cordoned);
  cr_expect_str_eq(damaged.workers[1].info.id.c_str(), "i-1");
  cr_expect_eq(damaged.unnamed, 3U);
  for (const char* text : {"", "{", "null", "\xff", "{\"a\": [1]}"}) {
    const DecodedFleet unreadable = DecodeFleet(text);
    cr_expect(unreadable.workers.empty());
    cr_expect_eq(unreadable.unnamed, 1U, "%s", text);
  }
}

// Guards against a fleet row that exceeds the store's row size: with a single
// row for all workers, every commit failed at 3,000 workers.
Test(JobRows, fleet_rows_stay_short) {
  constexpr int kWorkers = 3'000;
  constexpr size_t kMaxRowBytes = 65'536;
  std::map<std::string, std::vector<RecordedWorker>> rows;
  for (int i = 0; i < kWorkers; ++i) {
    RecordedWorker recorded;
    recorded.cordoned = true;
    recorded.cordoned_version = 1'000'000'000;
    WorkerInfo& worker = recorded.info;
    worker.id = "i-" + std::to_string(100'000'000 + i);
    worker.address = "10.128.100.100:" + std::to_string(10'000 + i);
    worker.service = "service";
    worker.incarnation = 1'700'000'000'000;
    rows[FleetKeyOf(worker.id)].push_back(recorded);
  }
  size_t read = 0;
  for (const auto& [key, workers] : rows) {
    const std::string text = EncodeFleet(workers);
    cr_expect_lt(text.size(), kMaxRowBytes);
    read += DecodeFleet(text).workers.size();
  }
  cr_expect_eq(read, kWorkers);
}

// Guards against mistaking the row of an open job for that of an ended one, or
// the reverse.
Test(JobRows, open_and_ended_rows_are_told_apart) {
  const auto job = MakeOneStep(MakeStep(1, 1'000));
  const DecodedJob open = DecodeJob(EncodeJob(job->spec));
  cr_assert(open.open.has_value());
  cr_expect_not(open.ended.has_value());
  cr_expect_eq(open.open->steps.front().estimate_ms, 1'000);
  const DecodedJob ended = DecodeJob(EncodeJobEnd({JobPhase::kFailed, 9}));
  cr_assert(ended.ended.has_value());
  cr_expect(ended.ended->phase == JobPhase::kFailed);
  const DecodedJob neither = DecodeJob("{\"id\": 7}");
  cr_expect(!neither.open.has_value() && !neither.ended.has_value());
}

}  // namespace dotterelcove::workflow
