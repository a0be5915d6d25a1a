// Crashes of workers: which runs they ended, and which tasks are given up.
#include <utility>

#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"

namespace dotterelcove::workflow {
namespace {

/// The job's task that a lapsed run belongs to, or a reference without a job.
TaskRef FindOpenTask(Controller& c, const std::string& text) {
  TaskName name;
  if (!ParseTaskName(text, name)) return {};
  const TaskRef task = FindTask(c.jobs, name);
  if (task.job == nullptr || IsFinal(task.job->phase)) return {};
  return task;
}

}  // namespace

bool IsSuspect(const TaskRef& task) {
  return TaskOf(task).may_have_crashed_worker || IsSuspect(CrashesUnder(task));
}

bool IsLeaving(const Worker& worker) {
  return worker.info.draining || worker.maintenance_planned;
}

CrashPhase PhaseAtCrash(const Worker& worker, const PlacedRun& run) {
  return PhaseAtCrash(run.confirmed || run.listed, run.on_probation,
                      worker.heard_ms - run.placed_ms);
}

TaskCrashes CrashesUnder(const TaskRef& task) {
  if (!SpecOf(task).gang) return TaskOf(task).crashes;
  TaskCrashes crashes;
  for (const TaskState& member : StepOf(task).tasks) {
    crashes.insert(member.crashes.begin(), member.crashes.end());
  }
  return crashes;
}

void RecordCrash(Controller& c, const TaskRef& task, uint32_t run,
                 CrashPhase phase, const Worker& worker) {
  Job& job = *task.job;
  TaskState& state = TaskOf(task);
  if (state.phase == TaskPhase::kDone || IsFinal(job.phase)) return;
  if (!state.crashes.emplace(run, phase).second) return;
  c.stats.crashes++;
  const TaskCrashes crashes = CrashesUnder(task);
  LogAlways(LogLevel::kWarning, "worker_crashed_under_task",
            {F("task", MakeTaskName(task)), F("run", run),
             F("worker", worker.info.id), F("address", worker.info.address),
             F("phase", NameOf(kCrashPhaseNames, phase)),
             F("crashes", crashes.size())});
  AvoidWorker(c, state, worker.info.id);
  if (MustGiveUp(crashes)) {
    CloseJob(c, job, JobPhase::kFailed, "task_crashes_its_workers");
    return;
  }
  job.has_unstored_crashes = true;
  MarkDirty(c, job);
}

void OnWorkerGone(Controller& c, Worker& worker) {
  RecordLapsedCrashes(c, worker);
  if (worker.runs.empty() && worker.orphans.empty()) return;
  Log(LogLevel::kWarning, "worker_gone",
      {F("worker", worker.info.id), F("address", worker.info.address),
       F("runs_lost", worker.runs.size()), F("leaving", IsLeaving(worker)),
       F("silent_ms", c.runtime.now() - worker.heard_ms)});
  MarkRunsLost(c, worker,
               IsLeaving(worker) ? RunLoss::kWorkerLeft : RunLoss::kCrash,
               RunSet::kAll);
  RemoveOrphans(c, worker);
  RequestSchedule(c);
}

void KeepLapsedRuns(Controller& c, Worker& worker) {
  for (const auto& [name, run] : worker.runs) {
    TaskState& task = TaskOf(run.task);
    if (task.worker != worker.info.id) continue;
    const CrashPhase phase = PhaseAtCrash(worker, run);
    if (phase != CrashPhase::kRunning) task.may_have_crashed_worker = true;
    worker.lapsed.push_back({name, run.run, phase});
  }
  RequestSchedule(c);
}

void RecordLapsedCrashes(Controller& c, Worker& worker) {
  const std::vector<LapsedRun> lapsed = std::exchange(worker.lapsed, {});
  if (IsLeaving(worker)) return;
  for (const LapsedRun& run : lapsed) {
    const TaskRef task = FindOpenTask(c, run.task);
    if (task.job == nullptr) continue;
    RecordCrash(c, task, run.run, run.phase, worker);
  }
}

void RecordLikelyCrashes(Controller& c, Worker& worker) {
  std::erase_if(worker.lapsed, [](const LapsedRun& run) {
    return run.phase == CrashPhase::kRunning ||
           run.phase == CrashPhase::kUnconfirmed;
  });
  RecordLapsedCrashes(c, worker);
}

}  // namespace dotterelcove::workflow
