// Runs that a worker lists although this owner has not placed them there: a
// predecessor started them, or they began late after the owner had given them
// up. They are adopted or stopped; until one of the two has happened, neither
// the task nor the worker is used.
#include <utility>

#include "base/Hash.h"
#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"

namespace dotterelcove::workflow {
namespace {

constexpr TimeMs kOrphanStopRetryMs = 500;
/// How long a run of a job that this owner does not know is left alone: a
/// predecessor may have been told of the job first, and the job table is
/// followed with some delay.
constexpr TimeMs kUnknownJobGraceMs = 1'500;

/// Whether the run can be the one that this owner would place now.
bool IsAdoptable(const TaskRef& task, uint32_t run) {
  return task.job != nullptr && !IsFinal(task.job->phase) &&
         TaskOf(task).phase == TaskPhase::kWaiting && run > TaskOf(task).run;
}

void Adopt(Controller& c, Worker& worker, const ReportedRun& reported,
           const TaskRef& task) {
  RemoveOrphan(c, worker, reported.task);
  TaskState& state = TaskOf(task);
  SetPhase(StepOf(task), state, TaskPhase::kRunning);
  state.run = reported.run;
  state.worker = worker.info.id;
  state.started_ms = c.runtime.now();
  state.progress_ms = c.runtime.now();
  state.percent = reported.percent;
  PlacedRun run;
  run.task = task;
  run.run = reported.run;
  run.size = SizeOnWorker(SpecOf(task));
  run.token = TokenFor(c, worker);
  run.confirmed = true;
  run.listed = true;
  run.syncs_before_confirmed = worker.syncs_sent;
  run.placed_ms = c.runtime.now();
  run.is_adopted = true;
  run.usage = reported.usage;
  // The predecessor may have changed its pace.
  run.pace_known = false;
  if (SpecOf(task).gang)
    run.gang = Hash64(MakeStepName(*task.job, task.occurrence, task.step)) | 1U;
  AddRun(worker, reported.task, run);
  task.job->started = true;
}

void SendStop(Controller& c, Worker& worker, const std::string& name,
              OrphanedRun& orphan) {
  orphan.stop_sent_ms = c.runtime.now();
  c.stats.stops++;
  const std::string id = worker.info.id;
  const uint64_t incarnation = worker.info.incarnation;
  const uint64_t token = TokenFor(c, worker);
  c.port.stop(AddressOf(worker), {name, orphan.run, token},
              Guard(c, [id, incarnation, name, token](
                           Controller& self, const OrderAnswer& answer) {
                if (answer.status == OrderStatus::kFenced) {
                  OnTokenRejected(self, id, token);
                  return;
                }
                Worker* again = FindWorker(self.fleet, id);
                if (again == nullptr) return;
                if (again->info.incarnation != incarnation) return;
                if (!again->orphans.contains(name)) return;
                // A sync shows when the run has ended; one may already be in
                // flight.
                if (again->syncs == 0) Sync(self, *again, 0);
              }));
}

/// Whether the owner may yet learn of the job that the run belongs to.
bool MayBecomeKnown(const Controller& c, const TaskName& name,
                    const OrphanedRun& orphan) {
  if (c.ended.contains(name.job)) return false;
  const auto job = c.jobs.jobs.find(name.job);
  const bool is_complete = job != c.jobs.jobs.end() &&
                           name.occurrence < job->second->next_occurrence;
  if (is_complete) return false;
  return c.runtime.now() - orphan.found_ms < kUnknownJobGraceMs;
}

}  // namespace

bool HandleUnplacedRun(Controller& c, Worker& worker,
                       const ReportedRun& reported) {
  TaskName name;
  TaskRef task;
  const bool is_task = ParseTaskName(reported.task, name);
  if (is_task) task = FindReportedTask(c, name);
  if (IsAdoptable(task, reported.run)) {
    Adopt(c, worker, reported, task);
    return true;
  }
  const bool is_new = !worker.orphans.contains(reported.task);
  OrphanedRun& orphan = worker.orphans[reported.task];
  orphan.run = reported.run;
  const TimeMs now_ms = c.runtime.now();
  if (is_new) {
    orphan.found_ms = now_ms;
    c.orphaned[reported.task].insert(worker.info.id);
    TryAllSteps(c);
    LogAlways(
        LogLevel::kWarning, "orphaned_run_found",
        {F("task", reported.task), F("run", reported.run),
         F("worker", worker.info.id), F("job_known", task.job != nullptr)});
    if (is_task && task.job == nullptr) LookUpReportedJob(c, name.job);
  }
  const bool waits =
      is_task && task.job == nullptr && MayBecomeKnown(c, name, orphan);
  if (waits) return false;
  if (orphan.stop_sent_ms > 0 &&
      now_ms - orphan.stop_sent_ms < kOrphanStopRetryMs) {
    return false;
  }
  SendStop(c, worker, reported.task, orphan);
  return false;
}

void RemoveOrphan(Controller& c, Worker& worker, const std::string& task) {
  if (worker.orphans.erase(task) == 0) return;
  const auto found = c.orphaned.find(task);
  if (found == c.orphaned.end()) return;
  found->second.erase(worker.info.id);
  if (found->second.empty()) c.orphaned.erase(found);
  TryAllSteps(c);
  RequestSchedule(c);
}

void RemoveOrphans(Controller& c, Worker& worker) {
  while (!worker.orphans.empty()) {
    const std::string task = worker.orphans.begin()->first;
    RemoveOrphan(c, worker, task);
  }
}

void SyncOrphansOf(Controller& c, const Job& job) {
  const std::string prefix = job.spec.id + ".";
  std::set<std::string> workers;
  for (auto it = c.orphaned.lower_bound(prefix);
       it != c.orphaned.end() && it->first.starts_with(prefix); ++it) {
    workers.insert(it->second.begin(), it->second.end());
  }
  for (const std::string& id : workers) {
    if (Worker* worker = FindWorker(c.fleet, id)) Sync(c, *worker, 0);
  }
}

}  // namespace dotterelcove::workflow
