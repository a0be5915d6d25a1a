/// Matches the tasks that workers report after a takeover with the jobs they
/// belong to, see docs/design.md 3.4.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "scheduler/CellDriver.h"
#include "scheduler/JobTable.h"
#include "scheduler/WorkerPool.h"

namespace dotterelcove {

/// While one of its tasks may be on a worker that has not answered a fence
/// since the takeover, a job is held, that is, not submitted to the core. It is
/// released once all its members have been reported, or once each worker used
/// by earlier owners has answered or its lease has lapsed.
class Adoption {
 public:
  /// `open` submits a job to the core; it may remove a job that the core
  /// refuses from `jobs`.
  Adoption(JobTable& jobs, CellDriver& driver, WorkerPool& pool,
           std::function<void(Job&)> open);
  Adoption(const Adoption&) = delete;
  Adoption& operator=(const Adoption&) = delete;

  /// Holds a job, or releases it at once when no worker is unresolved or all
  /// its members have been reported. Returns whether it is held; a job that was
  /// released may have been refused and removed.
  bool HoldOrOpen(Job& job);
  /// Whether a worker used by an earlier owner has neither answered a fence nor
  /// let its lease lapse.
  bool has_unresolved_workers() const;
  void OnFenced(const std::string& worker, const FenceReply& reply);
  void OnEnded(const std::string& worker, const EndedTask& task,
               const Acknowledge& acknowledge);
  /// A worker has answered a fence or its lease has lapsed. `history_lost`: it
  /// can no longer report what it ran for earlier owners, because it restarted
  /// or its lease lapsed before it answered.
  void OnWorkerResolved(bool history_lost);

 private:
  void Release(Job& job);
  void AddReportedTask(const std::string& worker, const WorkerTask& task,
                       TimeMs started_ms, const EndedTask* ended);
  Job* FindOrRebuild(const WorkerTask& task);
  bool AllMembersReported(const Job& job) const;
  void Replay(Job* job, std::vector<ReportedTask> found);

  JobTable& jobs;
  CellDriver& driver;
  WorkerPool& pool;
  std::function<void(Job&)> open;
  /// Some worker may have run any task of an earlier owner and can no longer
  /// report it.
  bool any_history_lost = false;
  bool all_workers_resolved = false;
  /// Acknowledgements of ended tasks, by task id, until their job is released.
  std::map<std::string, Acknowledge> held_acknowledgements;
  std::vector<std::string> held_jobs;
};

}  // namespace dotterelcove
