// Crashes of workers: which runs they ended, and which tasks are given up.
#include <algorithm>
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

/// The crashes under a task, for a gang under its members, as
/// `index:run/phase`, separated by spaces.
std::string DescribeCrashes(const TaskRef& task) {
  std::string text;
  const std::vector<TaskState>& tasks = StepOf(task).tasks;
  for (size_t i = 0; i < tasks.size(); ++i) {
    if (!SpecOf(task).gang && i != task.index) continue;
    for (const auto& [run, phase] : tasks[i].crashes) {
      if (!text.empty()) text += ' ';
      text += std::to_string(i) + ":" + std::to_string(run) + "/";
      text += NameOf(kCrashPhaseNames, phase);
    }
  }
  return text;
}

/// Workers that do not answer, which shows whether one crashed alone.
size_t CountSilentWorkers(const Fleet& fleet) {
  return static_cast<size_t>(
      std::count_if(fleet.workers.begin(), fleet.workers.end(),
                    [](const auto& entry) { return entry.second.cordoned; }));
}

}  // namespace

bool IsSuspect(const TaskRef& task) { return IsSuspect(CrashesUnder(task)); }

bool IsLeaving(const Worker& worker) {
  return worker.info.draining || worker.maintenance_planned;
}

CrashPhase PhaseAtCrash(const Worker& worker, const PlacedRun& run) {
  if (run.crash) return *run.crash;
  if (run.is_adopted) return CrashPhase::kRunning;
  return PhaseAtCrash(run.confirmed || run.listed, run.on_probation,
                      worker.heard_ms - run.placed_ms);
}

TaskCrashes CrashesUnder(const TaskRef& task) {
  if (!SpecOf(task).gang) return TaskOf(task).crashes;
  TaskCrashes crashes;
  for (const TaskState& member : StepOf(task).tasks) {
    for (const auto& [run, phase] : member.crashes) {
      CrashPhase& strongest = crashes[run];
      strongest = std::max(strongest, phase);
    }
  }
  return crashes;
}

void RecordCrash(Controller& c, const TaskRef& task, uint32_t run,
                 CrashPhase phase, const Worker& worker) {
  Job& job = *task.job;
  TaskState& state = TaskOf(task);
  if (state.phase == TaskPhase::kDone || IsFinal(job.phase)) return;
  const auto [known, is_new] = state.crashes.emplace(run, phase);
  if (!is_new && known->second >= phase) return;
  known->second = phase;
  const TaskCrashes crashes = CrashesUnder(task);
  LogAlways(
      LogLevel::kWarning, "worker_crashed_under_task",
      {F("task", MakeTaskName(task)), F("run", run),
       F("worker", worker.info.id), F("address", worker.info.address),
       F("phase", NameOf(kCrashPhaseNames, phase)),
       F("ran_ms", worker.heard_ms - state.started_ms),
       F("unheard_ms", c.runtime.now() - worker.heard_ms),
       F("silent_workers", CountSilentWorkers(c.fleet)),
       F("crashes", crashes.size()), F("evidence", DescribeCrashes(task))});
  AvoidWorker(c, state, worker.info.id);
  if (MustGiveUp(crashes)) {
    CloseJob(c, job, JobPhase::kFailed, "task_crashes_its_workers",
             MakeTaskName(task) + " " + DescribeCrashes(task));
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

void ForgetCrashes(Controller& c, const TaskRef& task) {
  TaskState& state = TaskOf(task);
  if (state.crashes.empty()) return;
  state.crashes.clear();
  MarkDirty(c, *task.job);
}

void LapseRuns(Controller& c, Worker& worker, RunSet set) {
  const size_t earlier = worker.lapsed.size();
  for (const auto& [name, run] : worker.runs) {
    if (set == RunSet::kListed && !run.listed) continue;
    if (TaskOf(run.task).worker != worker.info.id) continue;
    worker.lapsed.push_back({name, run.run, PhaseAtCrash(worker, run)});
  }
  MarkRunsLost(c, worker, RunLoss::kLeaseExpired, set);
  if (IsLeaving(worker)) return;
  for (size_t i = earlier; i < worker.lapsed.size(); ++i) {
    const LapsedRun& run = worker.lapsed[i];
    const TaskRef task = FindOpenTask(c, run.task);
    if (task.job == nullptr || run.phase == CrashPhase::kRunning) continue;
    RecordCrash(c, task, run.run, CrashPhase::kUnconfirmed, worker);
  }
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

void DropLapsedCrashes(Controller& c, Worker& worker) {
  for (const LapsedRun& run : std::exchange(worker.lapsed, {})) {
    const TaskRef task = FindOpenTask(c, run.task);
    if (task.job == nullptr) continue;
    if (TaskOf(task).crashes.erase(run.run) > 0) MarkDirty(c, *task.job);
  }
}

}  // namespace dotterelcove::workflow
