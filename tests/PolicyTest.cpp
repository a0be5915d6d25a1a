#include <criterion/criterion.h>

#include "CoreHarness.h"

namespace dotterelcove::core {
namespace {

constexpr Resources kHalf{2'000, 4'000, 0};
constexpr Resources kWhole{4'000, 8'000, 0};

JobSpec MakeTeamJob(const std::string& id, const std::string& team,
                    RequestClass request_class, Resources size) {
  JobSpec spec = MakeJob(id, request_class, size);
  spec.team = team;
  return spec;
}

/// Ends the tasks that the core asked to stop or to checkpoint; returns their
/// number.
int EndStopped(CoreHarness& harness) {
  int ended = 0;
  for (const Command& command : std::vector<Command>(harness.last)) {
    if (command.kind != CommandKind::kCheckpoint &&
        command.kind != CommandKind::kStop) {
      continue;
    }
    End(harness, command.task.job, command.task.member, TaskEnd::kPreempted);
    ended++;
  }
  return ended;
}

}  // namespace

// Guards against an urgent job that waits for batch work in a full cell, and
// against preempting the task that loses more work.
Test(Policy, urgent_preempts_the_batch_task_with_the_least_lost_work) {
  CoreHarness harness = MakeHarness(2, kWhole);
  Submit(*harness.cell, MakeJob("old", RequestClass::kBatch, kWhole), 0);
  RunTick(harness);
  harness.now += 60'000;
  Submit(*harness.cell, MakeJob("young", RequestClass::kBatch, kWhole), 0);
  RunTick(harness);
  harness.now += 1'000;
  Submit(*harness.cell, MakeJob("u", RequestClass::kUrgent, kHalf),
         harness.now);
  RunTick(harness);
  cr_assert_eq(CountCommands(harness, CommandKind::kCheckpoint), 1);
  cr_assert_str_eq(harness.last.back().task.job.c_str(), "young");
  cr_assert_eq(EndStopped(harness), 1);
  RunTick(harness);
  cr_assert(harness.held.contains({"u", 0}));
  // The freed capacity goes to the urgent job, not back to the preempted one.
  cr_assert_not(harness.held.contains({"young", 0}));
}

// Guards against an urgent start that waits for a task that ignores the
// checkpoint.
Test(Policy, preemption_escalates_until_the_task_ends) {
  CoreHarness harness = MakeHarness(1, kWhole);
  Submit(*harness.cell, MakeJob("b", RequestClass::kBatch, kWhole), 0);
  RunTick(harness);
  Submit(*harness.cell, MakeJob("u", RequestClass::kUrgent, kHalf),
         harness.now);
  const CommandKind expected[] = {CommandKind::kCheckpoint,
                                  CommandKind::kThrottle, CommandKind::kStop};
  for (const CommandKind kind : expected) {
    RunTick(harness);
    cr_assert_eq(harness.last.size(), 1u);
    cr_assert_eq(harness.last[0].kind, kind);
    harness.now += 300;
  }
}

// Guards against preempting tasks that must not run twice, urgent tasks and
// services.
Test(Policy, never_preempts_what_cannot_run_again) {
  struct Case {
    const char* name;
    RequestClass request_class;
    bool idempotent;
  };
  const Case cases[] = {{"urgent", RequestClass::kUrgent, false},
                        {"idempotent urgent", RequestClass::kUrgent, true},
                        {"service", RequestClass::kService, true},
                        {"batch", RequestClass::kBatch, false}};
  for (const Case& row : cases) {
    CoreHarness harness = MakeHarness(1, kWhole);
    JobSpec spec = MakeJob("a", row.request_class, kWhole);
    spec.idempotent = row.idempotent;
    Submit(*harness.cell, spec, harness.now);
    RunTick(harness);
    Submit(*harness.cell, MakeJob("u", RequestClass::kUrgent, kHalf),
           harness.now);
    for (int i = 0; i < 50; ++i) {
      harness.now += 100;
      RunTick(harness);
      cr_assert(harness.last.empty(), "%s was preempted", row.name);
    }
  }
}

// Guards against a team that keeps borrowed capacity to which another team's
// quota entitles that other team, and against preempting teams within their own
// quota.
Test(Policy, borrowed_capacity_is_returned) {
  CoreHarness harness = MakeHarness(4, kWhole);
  SetQuota(*harness.cell, "borrower", {4'000, 8'000, 0});
  SetQuota(*harness.cell, "within_quota", {4'000, 8'000, 0});
  SetQuota(*harness.cell, "owner", {8'000, 16'000, 0});
  Submit(*harness.cell,
         MakeTeamJob("c", "within_quota", RequestClass::kBatch, kWhole),
         harness.now);
  RunTick(harness);
  for (int i = 0; i < 10; ++i) {
    Submit(*harness.cell,
           MakeTeamJob("f" + std::to_string(i), "borrower",
                       RequestClass::kBatch, kWhole),
           harness.now);
  }
  RunTick(harness);
  cr_assert_eq(harness.held.size(), 4u);
  for (const char* id : {"o1", "o2", "o3"}) {
    Submit(*harness.cell,
           MakeTeamJob(id, "owner", RequestClass::kBatch, kWhole), harness.now);
  }
  for (int i = 0; i < 30; ++i) {
    harness.now += 500;
    RunTick(harness);
    EndStopped(harness);
  }
  cr_assert(harness.held.contains({"c", 0}));
  cr_assert(harness.held.contains({"o1", 0}));
  cr_assert(harness.held.contains({"o2", 0}));
  cr_assert_not(harness.held.contains({"o3", 0}));
  cr_assert_eq(harness.held.size(), 4u);
}

// Guards against starvation of a gang by smaller jobs.
Test(Policy, reservation_bounds_the_wait_of_a_gang) {
  CoreHarness harness = MakeHarness(4, kWhole);
  std::map<std::string, TimeMs> ends;
  JobSpec gang = MakeJob("g", RequestClass::kBatch, kWhole, 4);
  gang.gang = true;
  int submitted = 0;
  for (int i = 0; i < 600 && !harness.held.contains({"g", 0}); ++i) {
    if (i == 20) Submit(*harness.cell, gang, harness.now);
    if (submitted < i / 2 + 4) {
      JobSpec spec = MakeJob("s" + std::to_string(submitted++),
                             RequestClass::kBatch, kHalf);
      Submit(*harness.cell, spec, harness.now);
    }
    RunTick(harness);
    for (const Command& command : harness.last) {
      if (command.kind == CommandKind::kStart) {
        ends[command.task.job] = harness.now + 10'000;
      }
    }
    harness.now += 250;
    for (const auto& [job, at] : ends) {
      if (at <= harness.now && harness.held.contains({job, 0})) {
        End(harness, job, 0, TaskEnd::kSucceeded);
      }
    }
  }
  cr_assert(harness.held.contains({"g", 0}));
  cr_assert_leq(harness.now, 1'000 + 5'000 + 12'000);
}

// Guards against starvation of a long batch job by newer short ones: each
// ageing step moves it up by one level.
Test(Policy, ageing_bounds_the_wait_of_a_long_job) {
  CoreOptions options;
  options.ageing_step_ms = 1'000;
  options.reservations = false;
  CoreHarness harness = MakeHarness(1, kWhole, options);
  JobSpec spec = MakeJob("long", RequestClass::kBatch, kWhole);
  spec.duration_ms = 3'600'000;
  Submit(*harness.cell, spec, harness.now);
  for (int i = 0; i < 40 && !harness.held.contains({"long", 0}); ++i) {
    spec = MakeJob("s" + std::to_string(i), RequestClass::kBatch, kWhole);
    spec.duration_ms = 500;
    Submit(*harness.cell, spec, harness.now);
    RunTick(harness);
    if (i == 0) cr_assert(harness.held.contains({"s0", 0}));
    harness.now += 500;
    if (harness.held.contains({"long", 0})) break;
    End(harness, harness.held.begin()->first.first, 0, TaskEnd::kSucceeded);
  }
  cr_assert(harness.held.contains({"long", 0}));
  // At most five levels, and the task that was running then.
  cr_assert_leq(harness.now, 1'000 + 6'000 + 500);
}

// Guards against a worker that fails every task and takes most of the queue
// because it is always free, and against counting failures of a job that fails
// everywhere against the workers.
Test(Policy, quarantine_of_a_worker_that_fails_everything) {
  CoreHarness harness = MakeHarness(10, kWhole);
  for (int i = 0; i < 40; ++i) {
    Submit(*harness.cell,
           MakeJob("j" + std::to_string(i), RequestClass::kBatch, kWhole),
           harness.now);
  }
  int failures = 0;
  for (int i = 0; i < 200; ++i) {
    RunTick(harness);
    harness.now += 100;
    const auto held = harness.held;
    for (const auto& [key, task] : held) {
      const bool bad = task.worker == "w3" || key.first == "j7";
      failures += task.worker == "w3";
      End(harness, key.first, key.second,
          bad ? TaskEnd::kFailed : TaskEnd::kSucceeded);
    }
  }
  RunTick(harness);
  cr_assert_eq(Stats(*harness.cell).workers_quarantined, 1u);
  cr_assert_leq(failures, 4);
  cr_assert_eq(harness.ended.size(), 40u);
  for (const auto& [id, command] : harness.ended) {
    cr_assert_eq(command.end, id == "j7" ? JobEnd::kFailed : JobEnd::kDone);
  }
  // The worker is readmitted once a probe succeeds.
  for (int i = 0; i < 10; ++i) {
    Submit(*harness.cell,
           MakeJob("k" + std::to_string(i), RequestClass::kBatch, kWhole),
           harness.now);
  }
  harness.now += 60'000;
  for (int i = 0; i < 3; ++i) {
    RunTick(harness);
    const auto held = harness.held;
    for (const auto& [key, task] : held) {
      End(harness, key.first, key.second, TaskEnd::kSucceeded);
    }
  }
  RunTick(harness);
  cr_assert_eq(Stats(*harness.cell).workers_quarantined, 0u);
}

// Guards against quarantine of healthy workers because of a workload that fails
// everywhere.
Test(Policy, a_failing_workload_does_not_quarantine_workers) {
  CoreHarness harness = MakeHarness(20, kWhole);
  for (int i = 0; i < 60; ++i) {
    JobSpec spec =
        MakeJob("good" + std::to_string(i), RequestClass::kBatch, kHalf);
    spec.workload = "service/good";
    Submit(*harness.cell, spec, harness.now);
    spec = MakeJob("bad" + std::to_string(i), RequestClass::kBatch, kHalf);
    spec.workload = "service/bad";
    Submit(*harness.cell, spec, harness.now);
  }
  for (int i = 0; i < 300; ++i) {
    RunTick(harness);
    harness.now += 100;
    const auto held = harness.held;
    for (const auto& [key, task] : held) {
      End(harness, key.first, key.second,
          key.first[0] == 'b' ? TaskEnd::kFailed : TaskEnd::kSucceeded);
    }
    cr_assert_eq(Stats(*harness.cell).workers_quarantined, 0u);
  }
  cr_assert_eq(harness.ended.size(), 120u);
}

// Guards against services that all run in one rack or zone.
Test(Policy, services_are_spread_over_zones_and_racks) {
  CoreHarness harness = MakeHarness(24, kWhole);
  Submit(*harness.cell, MakeJob("s", RequestClass::kService, kHalf, 6),
         harness.now);
  RunTick(harness);
  std::map<std::string, int> racks;
  for (const auto& [key, task] : harness.held) {
    const int worker = std::stoi(task.worker.substr(1));
    racks[harness.workers[static_cast<size_t>(worker)].rack]++;
  }
  cr_assert_eq(racks.size(), 6u);
}

// Guards against declared sizes that are off by up to ten times: too small
// overloads the VM, too large wastes it.
Test(Policy, sizes_follow_reported_usage) {
  struct Case {
    const char* name;
    Resources used;
    Resources expected;
  };
  const Case cases[] = {{"right", {1'000, 1'024, 0}, {1'000, 1'024, 0}},
                        {"too large", {100, 102, 0}, {200, 128, 0}},
                        {"too small", {3'000, 3'072, 0}, {3'600, 3'712, 0}},
                        {"beyond any worker", {9'000, 9'000, 0}, kWhole}};
  for (const Case& row : cases) {
    CoreHarness harness = MakeHarness(4, kWhole);
    Submit(*harness.cell, MakeJob("a", RequestClass::kBatch, {1'000, 1'024, 0}),
           harness.now);
    RunTick(harness);
    for (int i = 0; i < 30; ++i) {
      ReportUsage(*harness.cell, {"a", 0, 1}, row.used, harness.now);
    }
    RunTick(harness);
    Submit(*harness.cell, MakeJob("b", RequestClass::kBatch, {1'000, 1'024, 0}),
           harness.now);
    RunTick(harness);
    const Resources size = harness.held.at({"b", 0}).size;
    cr_assert_eq(size.milli_cores, row.expected.milli_cores, "%s", row.name);
    cr_assert_eq(size.memory_mb, row.expected.memory_mb, "%s", row.name);
  }
}

// Guards against jobs that wait for a worker that does not exist.
Test(Policy, jobs_that_can_never_run_are_refused_with_the_nearest_shape) {
  CoreHarness harness = MakeHarness(2, kWhole);
  AddWorker(*harness.cell, {"acc", "z0", "r9", {2'000, 4'000, 2}});
  JobSpec spec = MakeJob("j", RequestClass::kBatch, {2'000, 4'000, 4});
  const SubmitDecision decision = Submit(*harness.cell, spec, harness.now);
  cr_assert(!decision.accepted);
  cr_assert_eq(decision.nearest.accelerators, 2);
  cr_assert_eq(decision.nearest.milli_cores, 2'000);
  spec = MakeJob("g", RequestClass::kBatch, kWhole, 3);
  spec.gang = true;
  cr_assert(!Submit(*harness.cell, spec, harness.now).accepted);
  spec.tasks = 2;
  cr_assert(Submit(*harness.cell, spec, harness.now).accepted);
}

// Guards against urgent requests refused because batch work filled the queue.
Test(Policy, batch_is_shed_first_under_overload) {
  CoreOptions options;
  options.max_queued = 100;
  CoreHarness harness = MakeHarness(1, kWhole, options);
  int accepted = 0;
  const auto submit = [&](RequestClass request_class, int count) {
    accepted = 0;
    for (int i = 0; i < count; ++i) {
      const std::string id =
          std::string(NameOf(kRequestClassNames, request_class)) +
          std::to_string(i);
      const SubmitDecision decision = Submit(
          *harness.cell, MakeJob(id, request_class, kWhole), harness.now);
      accepted += decision.accepted;
      if (!decision.accepted) cr_assert_gt(decision.retry_after_ms, 0);
    }
    return accepted;
  };
  cr_assert_eq(submit(RequestClass::kBatch, 200), 80);
  cr_assert_eq(submit(RequestClass::kUrgent, 60), 60);
  RunTick(harness);
  cr_assert_eq(harness.ended.size(), 40u);
  for (const auto& [id, command] : harness.ended) {
    cr_assert_eq(command.end, JobEnd::kNotRun);
    cr_assert_gt(command.retry_after_ms, 0);
  }
}

// Guards against a burst of cancellations that delays placements.
Test(Policy, cancellations_per_tick_are_bounded) {
  CoreOptions options;
  options.cancellations_per_tick = 100;
  CoreHarness harness = MakeHarness(1, kWhole, options);
  for (int i = 0; i < 1'000; ++i) {
    Submit(*harness.cell,
           MakeJob("j" + std::to_string(i), RequestClass::kBatch, kWhole), 0);
  }
  RunTick(harness);
  for (int i = 0; i < 1'000; ++i) {
    Cancel(*harness.cell, "j" + std::to_string(i), harness.now);
  }
  for (int tick = 1; tick <= 10; ++tick) {
    Submit(*harness.cell,
           MakeJob("u" + std::to_string(tick), RequestClass::kUrgent, kHalf),
           0);
    RunTick(harness);
    cr_assert_leq(harness.ended.size(), 100u * static_cast<size_t>(tick));
  }
  cr_assert_geq(harness.ended.size(), 999u);
}

}  // namespace dotterelcove::core
