// Reports of workers about tasks that this owner does not know: their job was
// accepted before this owner took over and its row is not read yet, or a
// predecessor with another clock began an occurrence earlier.
#include <algorithm>
#include <optional>
#include <utility>

#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"

namespace dotterelcove::workflow {
namespace {

constexpr TimeMs kLookUpRetryMs = 200;

void LogDropped(const Worker& worker, const ReportedEnd& end, bool job_ended) {
  Log(LogLevel::kInfo, "end_without_job",
      {F("task", end.task), F("run", end.run),
       F("end", NameOf(kRunEndNames, end.end)), F("number", end.number),
       F("worker", worker.info.id), F("job_ended", job_ended)});
}

/// Removes and returns the first deferred end of the job. A commit that is made
/// while the ends are applied one by one must not cover those still deferred.
std::optional<ReportedEnd> TakeDeferredEnd(Worker& worker,
                                           const std::string& job) {
  const auto found =
      std::find_if(worker.deferred_ends.begin(), worker.deferred_ends.end(),
                   [&](const ReportedEnd& end) {
                     TaskName name;
                     return ParseTaskName(end.task, name) && name.job == job;
                   });
  if (found == worker.deferred_ends.end()) return std::nullopt;
  ReportedEnd end = std::move(*found);
  worker.deferred_ends.erase(found);
  return end;
}

void OnLookedUp(Controller& c, const std::string& job,
                const StoreAnswer& answer) {
  if (answer.status != StoreStatus::kOk) {
    c.runtime.after(kLookUpRetryMs, Guard(c, [job](Controller& self) {
                      self.job_lookups.erase(job);
                      LookUpReportedJob(self, job);
                    }));
    return;
  }
  c.job_lookups.erase(job);
  for (const StoreRow& row : answer.rows) AdmitRow(c, row);
  // Another version of this program may be able to read a row that this one
  // cannot, so the ends of its job stay unacknowledged.
  const bool is_unreadable = !answer.rows.empty() && !c.ended.contains(job) &&
                             FindJob(c.jobs, job) == nullptr;
  if (!is_unreadable) ApplyDeferredEnds(c, job);
}

}  // namespace

TaskRef FindReportedTask(Controller& c, const TaskName& name) {
  const TaskRef task = FindTask(c.jobs, name);
  if (task.job != nullptr) return task;
  Job* job = FindJob(c.jobs, name.job);
  if (job == nullptr) return {};
  if (!AddOccurrencesUpTo(*job, name.occurrence)) return {};
  LogAlways(LogLevel::kInfo, "occurrence_reported_before_due",
            {F("job", name.job), F("occurrence", name.occurrence)});
  WatchJob(c, *job);
  return FindTask(c.jobs, name);
}

void DeferEnd(Controller& c, Worker& worker, const ReportedEnd& end) {
  TaskName name;
  const bool is_task = ParseTaskName(end.task, name);
  if (!is_task || c.ended.contains(name.job) ||
      FindJob(c.jobs, name.job) != nullptr) {
    LogDropped(worker, end, c.ended.contains(name.job));
    return;
  }
  LogAlways(LogLevel::kWarning, "end_of_unknown_job",
            {F("task", end.task), F("run", end.run),
             F("end", NameOf(kRunEndNames, end.end)), F("number", end.number),
             F("worker", worker.info.id)});
  worker.deferred_ends.push_back(end);
  LookUpReportedJob(c, name.job);
}

void LookUpReportedJob(Controller& c, const std::string& job) {
  if (c.ended.contains(job) || !c.job_lookups.insert(job).second) return;
  c.store.read_one(kJobTable, job,
                   Guard(c, [job](Controller& self, const StoreAnswer& answer) {
                     OnLookedUp(self, job, answer);
                   }));
}

void ApplyDeferredEnds(Controller& c, const std::string& job) {
  const bool is_known = FindJob(c.jobs, job) != nullptr;
  bool any = false;
  for (auto& [id, worker] : c.fleet.workers) {
    while (const std::optional<ReportedEnd> end =
               TakeDeferredEnd(worker, job)) {
      any = true;
      if (is_known) {
        ApplyReportedEnd(c, worker, *end);
      } else {
        LogDropped(worker, *end, c.ended.contains(job));
      }
    }
  }
  if (any) FlushProgress(c);
}

}  // namespace dotterelcove::workflow
