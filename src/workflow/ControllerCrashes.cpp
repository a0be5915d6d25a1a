// Crashes of workers: which runs they ended, and which tasks are given up.
#include <algorithm>
#include <cstdlib>
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
/// `index:run/phase=weight`, separated by spaces.
std::string DescribeCrashes(const TaskRef& task) {
  std::string text;
  const std::vector<TaskState>& tasks = StepOf(task).tasks;
  for (size_t i = 0; i < tasks.size(); ++i) {
    if (!SpecOf(task).gang && i != task.index) continue;
    for (const auto& [run, crash] : tasks[i].crashes) {
      if (!text.empty()) text += ' ';
      text += std::to_string(i) + ":" + std::to_string(run) + "/";
      text += NameOf(kCrashPhaseNames, crash.phase);
      text += '=';
      text += std::to_string(crash.weight);
    }
  }
  return text;
}

/// Whether a run that was confirmed had just started when the worker was last
/// heard of.
bool FollowsStart(const Worker& worker) {
  const auto had_just_started = [](CrashPhase phase) {
    return phase == CrashPhase::kJustStarted ||
           phase == CrashPhase::kOnProbation;
  };
  return std::any_of(
             worker.runs.begin(), worker.runs.end(),
             [&](const auto& entry) {
               return had_just_started(PhaseAtCrash(worker, entry.second));
             }) ||
         std::any_of(
             worker.lapsed.begin(), worker.lapsed.end(),
             [&](const LapsedRun& run) { return had_just_started(run.phase); });
}

bool IsNoted(const Fleet& fleet, const Worker& worker) {
  return std::any_of(fleet.losses.begin(), fleet.losses.end(),
                     [&](const WorkerLoss& loss) {
                       return loss.worker == worker.info.id &&
                              loss.heard_ms == worker.heard_ms;
                     });
}

/// The losses around the crash of a worker that was last heard of at
/// `heard_ms`. Workers that do not answer count as lost.
FleetLosses CountLosses(const Fleet& fleet, const std::string& crashed,
                        TimeMs heard_ms) {
  FleetLosses losses;
  const auto is_together = [heard_ms](TimeMs other_ms) {
    return std::abs(other_ms - heard_ms) <= kTogetherMs;
  };
  for (const WorkerLoss& loss : fleet.losses) {
    if (loss.follows_start || loss.worker == crashed) continue;
    if (loss.heard_ms + kLossMemoryMs >= heard_ms) ++losses.recent;
    if (is_together(loss.heard_ms)) ++losses.together;
  }
  for (const auto& [id, worker] : fleet.workers) {
    if (worker.listed || worker.reachable) ++losses.workers;
    if (!worker.cordoned || id == crashed) continue;
    if (IsNoted(fleet, worker) || FollowsStart(worker)) continue;
    if (is_together(worker.heard_ms)) ++losses.together;
  }
  losses.workers = std::max(losses.workers, losses.together + 1);
  return losses;
}

/// Whether the task itself or, for a gang, any of its members is to blame.
bool IsToBlame(const TaskRef& task) {
  if (MustGiveUp(TaskOf(task).crashes)) return true;
  const StepSpec& spec = SpecOf(task);
  return spec.gang && MustGiveUp(CrashesUnder(task), spec.count);
}

/// A crash under a run, from its record to its weighing.
struct CrashRecord {
  std::string task;
  uint32_t run = 0;
  CrashedWorker worker;
  TimeMs started_ms = 0;
};

void LogCrash(const Controller& c, const TaskRef& task,
              const CrashRecord& record, const FleetLosses& losses) {
  const Crash& crash = TaskOf(task).crashes.at(record.run);
  LogAlways(LogLevel::kWarning, "worker_crashed_under_task",
            {F("task", record.task), F("run", record.run),
             F("worker", record.worker.address.id),
             F("address", record.worker.address.address),
             F("phase", NameOf(kCrashPhaseNames, crash.phase)),
             F("weight", crash.weight),
             F("ran_ms", record.worker.heard_ms - record.started_ms),
             F("unheard_ms", c.runtime.now() - record.worker.heard_ms),
             F("workers", losses.workers), F("lost_together", losses.together),
             F("lost_recently", losses.recent),
             F("crashes", CrashesUnder(task).size()),
             F("evidence", DescribeCrashes(task))});
}

void StoreCrashes(Controller& c, Job& job) {
  job.has_unstored_crashes = true;
  MarkDirty(c, job);
}

void ApplyWeight(Controller& c, const CrashRecord& record) {
  const TaskRef task = FindOpenTask(c, record.task);
  if (task.job == nullptr) return;
  TaskState& state = TaskOf(task);
  // A later run may have ended well before this crash was weighed.
  if (state.phase == TaskPhase::kDone) return;
  const auto found = state.crashes.find(record.run);
  if (found == state.crashes.end()) return;
  const FleetLosses losses =
      CountLosses(c.fleet, record.worker.address.id, record.worker.heard_ms);
  Crash& crash = found->second;
  crash.weight = WeighCrash(crash.phase, losses);
  // A start that is never answered says nothing about a worker that may have
  // been down before.
  constexpr TimeMs kFreshMs = 300;
  const bool was_down = record.started_ms > record.worker.heard_ms + kFreshMs;
  if (crash.phase == CrashPhase::kUnconfirmed && was_down) crash.weight = 0;
  LogCrash(c, task, record, losses);
  if (IsToBlame(task)) {
    CloseJob(c, *task.job, JobPhase::kFailed, "task_crashes_its_workers",
             record.task + " " + DescribeCrashes(task));
    return;
  }
  StoreCrashes(c, *task.job);
}

/// Adds the crash without a weight; returns false if it is known already.
bool AddCrash(Controller& c, const TaskRef& task, uint32_t run,
              CrashPhase phase, const std::string& worker) {
  TaskState& state = TaskOf(task);
  if (state.phase == TaskPhase::kDone || IsFinal(task.job->phase)) return false;
  const auto [known, is_new] = state.crashes.emplace(run, Crash{phase, 0});
  if (!is_new && known->second.phase > phase) return false;
  if (!is_new && known->second.weight > 0) return false;
  known->second.phase = phase;
  AvoidWorker(c, state, worker);
  task.job->changes++;
  state.not_before_ms = std::max(state.not_before_ms,
                                 c.runtime.now() + RetryDelayMs(state.crashes));
  return true;
}

CrashRecord MakeRecord(const TaskRef& task, uint32_t run,
                       const CrashedWorker& worker) {
  return {MakeTaskName(task), run, worker, TaskOf(task).started_ms};
}

/// Records that a worker may have crashed under the run: its lease has expired.
void RecordPossibleCrash(Controller& c, const TaskRef& task, uint32_t run,
                         const CrashedWorker& worker) {
  const std::string& id = worker.address.id;
  if (!AddCrash(c, task, run, CrashPhase::kUnconfirmed, id)) return;
  const CrashRecord record = MakeRecord(task, run, worker);
  LogCrash(
      c, task, record,
      CountLosses(c.fleet, record.worker.address.id, record.worker.heard_ms));
  StoreCrashes(c, *task.job);
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
    for (const auto& [run, crash] : member.crashes) {
      const auto [known, is_new] = crashes.emplace(run, crash);
      if (is_new) continue;
      Crash& strongest = known->second;
      strongest.phase = std::max(strongest.phase, crash.phase);
      strongest.weight = std::max(strongest.weight, crash.weight);
    }
  }
  return crashes;
}

void NoteLoss(Controller& c, const Worker& worker) {
  if (worker.heard_ms == 0 || IsLeaving(worker)) return;
  if (IsNoted(c.fleet, worker)) return;
  std::deque<WorkerLoss>& losses = c.fleet.losses;
  losses.push_back({worker.info.id, worker.heard_ms, FollowsStart(worker)});
  // Losses are noticed some seconds after the workers were last heard of.
  constexpr TimeMs kKeepMs = 2 * kLossMemoryMs;
  while (losses.front().heard_ms + kKeepMs < c.runtime.now()) {
    losses.pop_front();
  }
}

void RecordCrash(Controller& c, const TaskRef& task, uint32_t run,
                 CrashPhase phase, const CrashedWorker& worker) {
  if (!AddCrash(c, task, run, phase, worker.address.id)) return;
  const CrashRecord record = MakeRecord(task, run, worker);
  StoreCrashes(c, *task.job);
  // By then a worker that crashed at the same moment has missed a sync.
  constexpr TimeMs kSettleMs = 1'700;
  const TimeMs wait_ms = worker.heard_ms + kSettleMs - c.runtime.now();
  if (wait_ms <= 0) {
    ApplyWeight(c, record);
    return;
  }
  c.runtime.after(wait_ms, Guard(c, [record](Controller& self) {
                    ApplyWeight(self, record);
                  }));
}

void OnWorkerGone(Controller& c, Worker& worker) {
  NoteLoss(c, worker);
  RecordLapsedCrashes(c, worker);
  if (worker.runs.empty() && worker.orphans.empty()) return;
  Log(LogLevel::kWarning, "worker_gone",
      {F("worker", worker.info.id), F("address", worker.info.address),
       F("runs_lost", worker.runs.size()), F("leaving", IsLeaving(worker)),
       F("silent_ms", c.runtime.now() - worker.heard_ms)});
  const RunLoss loss =
      IsLeaving(worker) ? RunLoss::kWorkerLeft : RunLoss::kCrash;
  MarkRunsLost(c, worker, {loss, LossEvidence::kOtherWorker}, RunSet::kAll);
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
  MarkRunsLost(c, worker, {RunLoss::kLeaseExpired, LossEvidence::kLeaseTime},
               set);
  if (IsLeaving(worker)) return;
  for (size_t i = earlier; i < worker.lapsed.size(); ++i) {
    const LapsedRun& run = worker.lapsed[i];
    const TaskRef task = FindOpenTask(c, run.task);
    if (task.job == nullptr || run.phase == CrashPhase::kRunning) continue;
    RecordPossibleCrash(c, task, run.run, {AddressOf(worker), worker.heard_ms});
  }
}

void RecordLapsedCrashes(Controller& c, Worker& worker) {
  const std::vector<LapsedRun> lapsed = std::exchange(worker.lapsed, {});
  if (IsLeaving(worker)) return;
  for (const LapsedRun& run : lapsed) {
    const TaskRef task = FindOpenTask(c, run.task);
    if (task.job == nullptr) continue;
    RecordCrash(c, task, run.run, run.phase,
                {AddressOf(worker), worker.heard_ms});
  }
}

void DropLapsedCrashes(Controller& c, Worker& worker) {
  for (const LapsedRun& run : std::exchange(worker.lapsed, {})) {
    const TaskRef task = FindOpenTask(c, run.task);
    if (task.job == nullptr) continue;
    if (TaskOf(task).crashes.erase(run.run) == 0) continue;
    task.job->changes++;
    MarkDirty(c, *task.job);
  }
}

}  // namespace dotterelcove::workflow
