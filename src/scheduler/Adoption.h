/// Brings the tasks that workers report after a take-over together with the
/// jobs they belong to, see docs/design.md 3.4.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "scheduler/CellDriver.h"
#include "scheduler/JobTable.h"
#include "scheduler/WorkerPool.h"

namespace dotterelcove {

/// A job whose tasks may be on a worker that has not answered yet is held back
/// from the core; it is released when all its members have been found, or when
/// every worker of the earlier owners has answered or lapsed.
class Adoption {
 public:
  /// `open` hands a job to the core; a job that the core refuses may be
  /// removed by it.
  Adoption(JobTable& jobs, CellDriver& driver, WorkerPool& pool,
           std::function<void(Job&)> open);
  Adoption(const Adoption&) = delete;
  Adoption& operator=(const Adoption&) = delete;

  /// Holds a job, or opens it at once when no worker is in doubt. Returns
  /// whether it is held; a job that was opened may have been refused and
  /// removed.
  bool HoldOrOpen(Job& job);
  /// Whether a worker of an earlier owner has neither answered nor lapsed.
  bool has_unresolved_workers() const;
  void OnFenced(const std::string& worker, const FenceReply& reply);
  void OnEnded(const std::string& worker, const EndedTask& task,
               const Acknowledge& acknowledge);
  /// A worker has answered or lapsed; `unknown` tells that it can no longer say
  /// what it ran for earlier owners.
  void OnSettled(bool unknown);

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
  /// Some worker may have run anything and cannot tell any more.
  bool any_history_lost = false;
  bool all_workers_resolved = false;
  /// Acknowledgements of ended tasks that wait for their job's release.
  std::map<std::string, Acknowledge> held_acknowledgements;
  std::vector<std::string> held_jobs;
};

}  // namespace dotterelcove
