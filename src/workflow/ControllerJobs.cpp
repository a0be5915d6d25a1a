// Jobs: admission, ends of runs, and completion.
#include <algorithm>
#include <utility>

#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"

namespace dotterelcove::workflow {
namespace {

/// Base delay of the retry of a failed task, doubled with each failure.
constexpr TimeMs kRetryBaseMs = 50;

bool IsCancelRow(const std::string& key) {
  const std::string_view suffix = kCancelSuffix;
  return key.size() > suffix.size() &&
         key.compare(key.size() - suffix.size(), suffix.size(), suffix) == 0;
}

void CancelJob(Controller& c, const std::string& id) {
  Job* job = FindJob(c.jobs, id);
  if (job == nullptr) {
    if (!c.ended.contains(id)) c.cancelled_ids.insert(id);
    return;
  }
  if (job->cancel_requested || IsFinal(job->phase)) return;
  job->cancel_requested = true;
  CloseJob(c, *job, JobPhase::kCancelled, "cancelled_by_caller");
}

void AdmitJob(Controller& c, const StoreRow& row) {
  if (c.jobs.jobs.contains(row.key) || c.ended.contains(row.key)) return;
  DecodedJob decoded = DecodeJob(row.value);
  if (decoded.ended) {
    c.ended[row.key] = {decoded.ended->phase, c.runtime.now()};
    return;
  }
  if (!decoded.open || decoded.open->id != row.key) {
    Log(LogLevel::kError, "job_row_unreadable",
        {F("job", row.key), F("version", row.version)});
    return;
  }
  auto job =
      MakeJob(std::move(*decoded.open), c.runtime.now(), c.runtime.wall_ms());
  Log(LogLevel::kInfo, "job_admitted",
      {F("job", row.key), F("queue", job->spec.queue),
       F("steps", job->spec.steps.size()), F("version", row.version),
       F("age_ms", c.runtime.now() - job->accepted_ms)});
  job->version = row.version;
  AttachAccount(c, *job);
  ApplyRunTimes(c, *job);
  Job* admitted = job.get();
  c.jobs.jobs[row.key] = std::move(job);
  AdoptPolicy(c, *admitted);
  if (c.cancelled_ids.erase(row.key) > 0) {
    admitted->cancel_requested = true;
    CloseJob(c, *admitted, JobPhase::kCancelled, "cancelled_by_caller");
    return;
  }
  ApplyDeferredEnds(c, row.key);
  WatchJob(c, *admitted);
  SyncOrphansOf(c, *admitted);
  if (IsOwnershipConfirmed(c, *admitted)) return;
  c.log->Commit({}, {},
                Guard(c, [](Controller& self) { RequestSchedule(self); }));
}

uint32_t CountFailures(const Job& job, const TaskRef& task) {
  const StepState& step = job.occurrences.at(task.occurrence).steps[task.step];
  if (!job.spec.steps[task.step].gang) {
    return static_cast<uint32_t>(step.tasks[task.index].failed_runs.size());
  }
  // The first member that fails ends the run of the whole gang, so failures are
  // counted per run number.
  std::set<uint32_t> runs;
  for (const TaskState& member : step.tasks) {
    runs.insert(member.failed_runs.begin(), member.failed_runs.end());
  }
  return static_cast<uint32_t>(runs.size());
}

/// Marks one task as done, and the occurrence and the job if that completes
/// them.
void MarkDone(Controller& c, const TaskRef& ref) {
  Job& job = *ref.job;
  Occurrence& occurrence = job.occurrences.at(ref.occurrence);
  StepState& step = occurrence.steps[ref.step];
  TaskState& task = step.tasks[ref.index];
  if (task.phase == TaskPhase::kDone) return;
  SetPhase(step, task, TaskPhase::kDone);
  task.worker.clear();
  task.checkpoint.clear();
  step.done++;
  if (step.done < step.tasks.size()) return;
  const bool all_done = std::all_of(
      occurrence.steps.begin(), occurrence.steps.end(),
      [](const StepState& each) { return each.done == each.tasks.size(); });
  if (!all_done) {
    WatchJob(c, job);
    return;
  }
  occurrence.complete = true;
  job.occurrences_done++;
  const uint32_t wanted = std::max(job.spec.occurrences, 1U);
  if (job.occurrences_done >= wanted) {
    CloseJob(c, job, JobPhase::kCompleted, "all_tasks_done");
  }
}

void MarkStepDone(Controller& c, const TaskRef& ref) {
  const size_t count = StepOf(ref).tasks.size();
  for (uint32_t i = 0; i < count; ++i) {
    MarkDone(c, {ref.job, ref.occurrence, ref.step, i});
  }
}

void RecordCheckpoint(const TaskRef& ref, const std::string& checkpoint) {
  if (checkpoint.empty()) return;
  if (!SpecOf(ref).gang) {
    TaskOf(ref).checkpoint = checkpoint;
    return;
  }
  // A checkpoint of any member covers the whole gang.
  for (TaskState& member : StepOf(ref).tasks) member.checkpoint = checkpoint;
}

void ApplyFailure(Controller& c, const TaskRef& ref, uint32_t run,
                  const std::string& worker) {
  TaskState& task = TaskOf(ref);
  // Failures of a long-running task are unlimited, so they are not counted.
  if (SpecOf(ref).long_running) task.failed_runs.clear();
  if (!task.failed_runs.insert(run).second) return;
  c.stats.ends_failed++;
  AvoidWorker(c, task, worker);
  task.not_before_ms = c.runtime.now() + (kRetryBaseMs << std::min<size_t>(
                                              task.failed_runs.size(), 5));
  if (Worker* held = FindWorker(c.fleet, worker)) {
    WorkerHealth& health = held->health;
    health.failures_in_a_row++;
    constexpr uint32_t kFailuresBeforeQuarantine = 2;
    constexpr TimeMs kFailureQuarantineMs = 1'500;
    if (health.failures_in_a_row >= kFailuresBeforeQuarantine) {
      Quarantine(c, *held, kFailureQuarantineMs, "tasks_fail");
    }
  }
  Job& job = *ref.job;
  if (SpecOf(ref).long_running) return;
  if (CountFailures(job, ref) < job.spec.policy.attempts) return;
  CloseJob(c, job, JobPhase::kFailed, "attempts_used_up");
}

void UpdateSlowness(Controller& c, const TaskRef& ref,
                    const std::string& worker) {
  Worker* held = FindWorker(c.fleet, worker);
  if (held == nullptr) return;
  WorkerHealth& health = held->health;
  health.failures_in_a_row = 0;
  health.quarantines = 0;
  const TaskState& task = TaskOf(ref);
  const TimeMs expected_ms = ExpectedMsOn(*held, ref);
  if (expected_ms <= 0 || task.started_ms <= 0) return;
  const double ratio = static_cast<double>(c.runtime.now() - task.started_ms) /
                       static_cast<double>(expected_ms);
  constexpr double kWeight = 0.3;
  health.slowness += kWeight * (std::min(ratio, 20.0) - health.slowness);
  health.samples++;
}

}  // namespace

uint32_t NextRun(const Controller& c, const TaskState& task) {
  // Each epoch has its own range of run numbers, so that they do not collide
  // although starts are not recorded.
  constexpr uint64_t kRunsPerEpoch = 1'024;
  const uint64_t base = (c.epoch - 1) * kRunsPerEpoch;
  return static_cast<uint32_t>(std::max<uint64_t>(task.run, base) + 1);
}

void AdmitRow(Controller& c, const StoreRow& row) {
  if (c.stopped) return;
  if (!c.loaded) {
    c.early_rows.push_back(row);
    return;
  }
  if (row.removed) return;
  if (IsCancelRow(row.key)) {
    CancelJob(c, row.key.substr(0, row.key.size() -
                                       std::string_view(kCancelSuffix).size()));
    return;
  }
  AdmitJob(c, row);
}

namespace {

/// Stops the run that still holds a task after another run of it was done.
void StopOtherRun(Controller& c, const TaskRef& ref, const std::string& worker,
                  bool held) {
  const TaskState& task = TaskOf(ref);
  if (held || task.worker.empty()) return;
  Worker* other = FindWorker(c.fleet, task.worker);
  if (other == nullptr) return;
  Log(LogLevel::kInfo, "task_done_elsewhere",
      {F("task", MakeTaskName(ref)), F("worker", worker)});
  StopRun(c, *other, MakeTaskName(ref), "done_elsewhere");
}

}  // namespace

void AvoidWorker(Controller& c, TaskState& task, const std::string& worker) {
  constexpr TimeMs kAvoidMs = 2'000;
  task.avoid.insert(worker);
  task.avoid_until_ms = c.runtime.now() + kAvoidMs;
}

void ReleaseTask(Controller& c, const TaskRef& ref) {
  TaskState& task = TaskOf(ref);
  if (task.phase == TaskPhase::kDone) return;
  SetPhase(StepOf(ref), task, TaskPhase::kWaiting);
  task.worker.clear();
  task.percent = 0;
  WatchJob(c, *ref.job);
}

void ApplyEnd(Controller& c, const TaskRef& ref, const ReportedEnd& end,
              const std::string& worker, bool held) {
  Job& job = *ref.job;
  TaskState& task = TaskOf(ref);
  if (task.phase == TaskPhase::kDone) return;
  job.started = true;
  Log(LogLevel::kInfo, "task_ended",
      {F("task", end.task), F("run", end.run), F("worker", worker),
       F("end", NameOf(kRunEndNames, end.end)), F("held", held),
       F("ran_ms", held ? c.runtime.now() - task.started_ms : -1),
       F("estimate_ms", SpecOf(ref).estimate_ms)});
  if (end.end == RunEnd::kDone && !SpecOf(ref).long_running) {
    StopOtherRun(c, ref, worker, held);
    c.stats.ends_done++;
    if (held) UpdateSlowness(c, ref, worker);
    if (SpecOf(ref).gang) {
      MarkStepDone(c, ref);
    } else {
      MarkDone(c, ref);
    }
    MarkDirty(c, job);
    return;
  }
  if (end.run >= task.ended_run) RecordCheckpoint(ref, end.checkpoint);
  task.run = std::max(task.run, end.run);
  task.ended_run = std::max(task.ended_run, end.run);
  if (held) ReleaseTask(c, ref);
  if (end.end == RunEnd::kFailed) {
    ApplyFailure(c, ref, end.run, worker);
  } else {
    c.stats.ends_other++;
  }
  MarkDirty(c, job);
}

void CloseJob(Controller& c, Job& job, JobPhase phase, const char* reason,
              const std::string& evidence) {
  if (IsFinal(job.phase)) return;
  job.phase = phase;
  Log(LogLevel::kInfo, "job_closing",
      {F("job", job.spec.id), F("phase", NameOf(kJobPhaseNames, phase)),
       F("reason", reason), F("evidence", evidence)});
  StopJob(c, job, reason);
  c.dirty.insert(&job);
  job.closing = true;
  FlushProgress(c);
}

void EraseIfClosed(Controller& c, Job& job) {
  if (!job.closed || !job.placed.empty()) return;
  const std::string id = job.spec.id;
  NoteIfRunsMayGoOn(c, job);
  c.watched.erase(id);
  c.ended[id] = {job.phase, job.closed_ms};
  c.dirty.erase(&job);
  c.jobs.jobs.erase(id);
}

std::optional<JobPhase> QueryJob(const Controller& c, const std::string& id) {
  const auto ended = c.ended.find(id);
  if (ended != c.ended.end()) return ended->second.phase;
  const auto found = c.jobs.jobs.find(id);
  if (found == c.jobs.jobs.end()) return std::nullopt;
  const Job& job = *found->second;
  if (job.closed) return job.committed_phase;
  return job.started ? JobPhase::kRunning : JobPhase::kQueued;
}

std::optional<std::map<std::string, uint32_t>> CountPending(
    const Controller& c) {
  if (!c.loaded) return std::nullopt;
  std::map<std::string, uint32_t> pending;
  for (const auto& [id, job] : c.jobs.jobs) {
    if (job->started || IsFinal(job->phase)) continue;
    pending[job->spec.queue]++;
  }
  return pending;
}

}  // namespace dotterelcove::workflow
