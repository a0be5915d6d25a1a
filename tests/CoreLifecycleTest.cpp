#include <criterion/criterion.h>

#include "CoreHarness.h"

namespace dotterelcove::core {
namespace {

constexpr Resources kWorkerSize{16'000, 32'000, 0};
constexpr Resources kSmall{1'000, 1'000, 0};

}  // namespace

// Guards against a wrong outcome after each way in which an attempt can end:
// repeated work that may have run, or a job that never ends.
Test(CoreLifecycle, ends_and_retries) {
  struct Case {
    const char* name;
    bool idempotent;
    TaskEnd end;
    bool ends;
    JobEnd job_end;
  };
  const Case cases[] = {
      {"success", true, TaskEnd::kSucceeded, true, JobEnd::kDone},
      {"success, not idempotent", false, TaskEnd::kSucceeded, true,
       JobEnd::kDone},
      {"failure", true, TaskEnd::kFailed, false, JobEnd::kDone},
      {"failure, not idempotent", false, TaskEnd::kFailed, true,
       JobEnd::kFailed},
      {"loss", true, TaskEnd::kLost, false, JobEnd::kDone},
      {"loss, not idempotent", false, TaskEnd::kLost, true, JobEnd::kUnknown},
      {"refusal", true, TaskEnd::kNotStarted, false, JobEnd::kDone},
      {"refusal, not idempotent", false, TaskEnd::kNotStarted, false,
       JobEnd::kDone},
      {"preemption", true, TaskEnd::kPreempted, false, JobEnd::kDone},
      {"preemption, not idempotent", false, TaskEnd::kPreempted, true,
       JobEnd::kUnknown},
  };
  for (const Case& row : cases) {
    CoreHarness harness = MakeHarness(4, kWorkerSize);
    JobSpec spec = MakeJob("j", RequestClass::kUrgent, kSmall);
    spec.idempotent = row.idempotent;
    cr_assert(Submit(*harness.cell, spec, harness.now).accepted);
    RunTick(harness);
    cr_assert_eq(harness.held.size(), 1u, "%s", row.name);
    End(harness, "j", 0, row.end);
    RunTick(harness);
    harness.now += 60'000;
    RunTick(harness);
    cr_assert_eq(harness.ended.contains("j"), row.ends, "%s", row.name);
    if (row.ends)
      cr_assert_eq(harness.ended["j"].end, row.job_end, "%s", row.name);
    cr_assert_eq(harness.held.size(), row.ends ? 0u : 1u, "%s", row.name);
  }
}

// Guards against endless retries of a job that always fails.
Test(CoreLifecycle, failing_job_ends_after_max_attempts) {
  CoreHarness harness = MakeHarness(8, kWorkerSize);
  cr_assert(Submit(*harness.cell, MakeJob("j", RequestClass::kBatch, kSmall), 0)
                .accepted);
  int starts = 0;
  for (int i = 0; i < 20 && !harness.ended.contains("j"); ++i) {
    harness.now += 60'000;
    RunTick(harness);
    if (harness.held.empty()) continue;
    starts++;
    End(harness, "j", 0, TaskEnd::kFailed);
  }
  cr_assert_eq(harness.ended["j"].end, JobEnd::kFailed);
  cr_assert_eq(starts, 5);
}

// Guards against "not run" for work that a worker was asked to start, and
// against "cancelled" for work that never ran.
Test(CoreLifecycle, cancel_tells_whether_something_ran) {
  struct Case {
    const char* name;
    bool started;
    TaskEnd end;
    JobEnd job_end;
  };
  const Case cases[] = {
      {"queued", false, TaskEnd::kCancelled, JobEnd::kNotRun},
      {"refused by the worker", true, TaskEnd::kNotStarted, JobEnd::kNotRun},
      {"stopped", true, TaskEnd::kCancelled, JobEnd::kCancelled},
      {"finished meanwhile", true, TaskEnd::kSucceeded, JobEnd::kDone},
      {"lost", true, TaskEnd::kLost, JobEnd::kCancelled},
  };
  for (const Case& row : cases) {
    CoreHarness harness = MakeHarness(2, kWorkerSize);
    Submit(*harness.cell, MakeJob("j", RequestClass::kBatch, kSmall), 0);
    if (row.started) RunTick(harness);
    Cancel(*harness.cell, "j", harness.now);
    RunTick(harness);
    if (row.started) {
      cr_assert_eq(CountCommands(harness, CommandKind::kStop), 1);
      cr_assert(!harness.ended.contains("j"), "%s", row.name);
      End(harness, "j", 0, row.end);
      RunTick(harness);
    }
    cr_assert(harness.ended.contains("j"), "%s", row.name);
    cr_assert_eq(harness.ended["j"].end, row.job_end, "%s", row.name);
  }
}

// Guards against a late report about an earlier attempt that ends the current
// one.
Test(CoreLifecycle, report_about_an_earlier_attempt_is_ignored) {
  CoreHarness harness = MakeHarness(4, kWorkerSize);
  Submit(*harness.cell, MakeJob("j", RequestClass::kBatch, kSmall), 0);
  RunTick(harness);
  const TaskRef first = harness.held.begin()->second.ref;
  LoseWorker(harness, harness.held.begin()->second.worker);
  RunTick(harness);
  cr_assert_eq(harness.held.size(), 1u);
  TaskEnded(*harness.cell, first, TaskEnd::kSucceeded, harness.now);
  RunTick(harness);
  cr_assert(harness.ended.empty());
}

// Guards against members of a gang that still run when the gang starts again.
Test(CoreLifecycle, gang_restarts_as_a_whole_after_a_loss) {
  CoreHarness harness = MakeHarness(4, {4'000, 8'000, 0});
  JobSpec spec = MakeJob("g", RequestClass::kBatch, {2'000, 1'000, 0}, 6);
  spec.gang = true;
  cr_assert(Submit(*harness.cell, spec, harness.now).accepted);
  RunTick(harness);
  cr_assert_eq(harness.held.size(), 6u);
  LoseWorker(harness, harness.held.begin()->second.worker);
  const auto left = harness.held;
  cr_assert_lt(left.size(), 6u);
  RunTick(harness);
  cr_assert_eq(CountCommands(harness, CommandKind::kStop),
               static_cast<int>(left.size()));
  for (const auto& [key, task] : left) {
    cr_assert_eq(CountCommands(harness, CommandKind::kStart), 0);
    End(harness, key.first, key.second, TaskEnd::kCancelled);
    RunTick(harness);
  }
  cr_assert_eq(CountCommands(harness, CommandKind::kStart), 6);
}

// Guards against a second run of a member that had succeeded when the gang
// restarts; found by the property tests.
Test(CoreLifecycle, gang_that_is_not_idempotent_never_runs_a_member_twice) {
  for (const TaskEnd end : {TaskEnd::kNotStarted, TaskEnd::kLost}) {
    CoreHarness harness = MakeHarness(4, kWorkerSize);
    JobSpec spec = MakeJob("g", RequestClass::kBatch, kSmall, 2);
    spec.gang = true;
    spec.idempotent = false;
    Submit(*harness.cell, spec, harness.now);
    RunTick(harness);
    End(harness, "g", 0, TaskEnd::kSucceeded);
    RunTick(harness);
    End(harness, "g", 1, end);
    RunTick(harness);
    for (int i = 0; i < 5; ++i) {
      harness.now += 5'000;
      RunTick(harness);
      cr_assert(harness.held.empty());
    }
    cr_assert_eq(harness.ended.at("g").end, JobEnd::kUnknown);
  }
}

// Guards against a partially placed gang.
Test(CoreLifecycle, gang_that_does_not_fit_starts_no_member) {
  CoreHarness harness = MakeHarness(2, {4'000, 8'000, 0});
  Submit(*harness.cell, MakeJob("a", RequestClass::kBatch, {3'000, 1'000, 0}),
         0);
  RunTick(harness);
  JobSpec spec = MakeJob("g", RequestClass::kBatch, {2'000, 1'000, 0}, 4);
  spec.gang = true;
  cr_assert(Submit(*harness.cell, spec, harness.now).accepted);
  RunTick(harness);
  cr_assert_eq(harness.held.size(), 1u);
  End(harness, "a", 0, TaskEnd::kSucceeded);
  RunTick(harness);
  cr_assert_eq(harness.held.size(), 4u);
}

// Guards against a second start of a task found on a worker after a takeover.
Test(CoreLifecycle, adopted_tasks_are_not_started_again) {
  CoreHarness harness = MakeHarness(3, kWorkerSize);
  Submit(*harness.cell, MakeJob("j", RequestClass::kBatch, kSmall, 3), 0);
  cr_assert(AdoptTask(*harness.cell, {"j", 0, 4}, "w1", 500));
  cr_assert(!AdoptTask(*harness.cell, {"j", 0, 3}, "w2", 500));
  cr_assert(!AdoptTask(*harness.cell, {"other", 0, 1}, "w1", 500));
  AdoptUncertain(*harness.cell, {"j", 1, 2}, "w2");
  AdoptEnded(*harness.cell, "j", 2);
  RunTick(harness);
  cr_assert(harness.last.empty());
  SetWorkerState(*harness.cell, "w2", WorkerState::kLost, harness.now);
  RunTick(harness);
  cr_assert_eq(CountCommands(harness, CommandKind::kStart), 1);
  cr_assert_eq(harness.last[0].task.member, 1u);
  cr_assert_gt(harness.last[0].task.attempt, 2u);
  TaskEnded(*harness.cell, {"j", 0, 4}, TaskEnd::kSucceeded, harness.now);
  End(harness, "j", 1, TaskEnd::kSucceeded);
  RunTick(harness);
  cr_assert_eq(harness.ended["j"].end, JobEnd::kDone);
}

// Guards against a job that starts after its start-by time, and against "not
// run" for one whose start was sent.
Test(CoreLifecycle, start_by_ends_only_what_never_started) {
  CoreHarness harness = MakeHarness(1, {1'000, 1'000, 0});
  JobSpec first = MakeJob("a", RequestClass::kUrgent, kSmall);
  first.start_by_ms = harness.now + 100;
  JobSpec second = first;
  second.id = "b";
  Submit(*harness.cell, first, harness.now);
  Submit(*harness.cell, second, harness.now);
  RunTick(harness);
  harness.now += 100;
  RunTick(harness);
  cr_assert_eq(harness.ended.size(), 1u);
  cr_assert_eq(harness.ended["b"].end, JobEnd::kNotRun);
  cr_assert_eq(CountCommands(harness, CommandKind::kStop), 0);
}

}  // namespace dotterelcove::core
