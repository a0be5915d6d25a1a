/// Drives the decision core: runs its ticks, turns its commands into calls to
/// workers, and passes the answers of workers back to it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/Core.h"
#include "scheduler/JobTable.h"
#include "scheduler/Services.h"
#include "scheduler/WorkerPool.h"

namespace dotterelcove {

/// A task that is, or may be, on a worker.
struct TaskEntry {
  core::TaskRef ref;
  std::string id;
  std::string worker;
  FenceToken token;
  uint64_t incarnation = 0;
  TimeMs sent_ms = 0;
  /// The worker has confirmed the start.
  bool confirmed = false;
  /// Control action to send as soon as the start is confirmed.
  std::optional<ControlAction> pending_action;
};

struct CellDriverCallbacks {
  /// The core has ended the job and none of its tasks is on a worker any more.
  std::function<void(Job&)> decided;
  /// A member succeeded; `acknowledge` lets the worker discard its result.
  std::function<void(Job&, uint32_t member, Acknowledge acknowledge)>
      member_succeeded;
  std::function<void(uint64_t epoch)> higher_epoch;
};

class CellDriver {
 public:
  CellDriver(Services& services, JobTable& jobs, uint64_t epoch,
             CellDriverCallbacks callbacks);
  CellDriver(const CellDriver&) = delete;
  CellDriver& operator=(const CellDriver&) = delete;

  /// Must be called once, before any other function. The pool is not passed to
  /// the constructor because its callbacks call this object.
  void SetPool(WorkerPool& pool);
  void SetQuota(const std::string& team, const Resources& quota);
  void SetWorker(const Vm& vm, core::WorkerState state);

  /// Submits a job to the core.
  core::SubmitDecision Open(Job& job);
  void Cancel(Job& job);
  /// Ends a job without a decision of the core, once its tasks have ended.
  void Decide(Job& job, core::JobEnd end, std::string message);

  /// Takes over a task of an open job that a worker already held before this
  /// process knew of it. Returns false when the worker is unknown or the core
  /// rejects the task.
  bool Adopt(Job& job, const ReportedTask& found);
  /// Records that a member of an open job ended under an earlier owner.
  void AdoptEnded(Job& job, uint32_t member);
  /// Compares the tasks believed to be on a worker with its answer to a fence.
  void Reconcile(const std::string& worker, const FenceReply& reply);
  void OnEnded(const std::string& worker, const EndedTask& task,
               const Acknowledge& acknowledge);
  void OnUsage(const std::vector<TaskUsage>& usage);

  /// Stops placing tasks, for a planned shutdown.
  void StopPlacing();
  /// Schedules the next tick at once.
  void Wake();
  bool HasTask(const std::string& task) const;
  const core::Cell& cell() const { return *this->core_cell; }
  const std::unordered_map<std::string, TaskEntry>& tasks() const {
    return this->entries;
  }

 private:
  void OnTick();
  void ScheduleTick();
  void Execute(const core::Command& command);
  void StartOnWorker(const core::Command& command);
  void OnStartAnswer(const std::string& id,
                     const WorkerResult<NoReply>& result);
  void ControlOnWorker(const core::TaskRef& ref, ControlAction action);
  void Confirm(TaskEntry& entry);
  /// Reports the end of a task to the core and removes its entry.
  void EndTask(const std::string& id, core::TaskEnd end);
  /// Removes the entry of a task whose end the core already knows.
  void RemoveTask(const std::string& id, core::TaskEnd end);
  void OnWorkerLost(const std::string& worker);
  /// Calls `decided` once the job has a decision and no task on a worker.
  void NotifyIfDecided(Job& job);
  /// The attempt number that is sent to workers, see kAttemptBits.
  uint32_t WireAttempt(uint32_t attempt) const;

  Services& services;
  JobTable& jobs;
  uint64_t epoch;
  CellDriverCallbacks callbacks;
  core::CellPtr core_cell;
  WorkerPool* pool = nullptr;
  std::unordered_map<std::string, TaskEntry> entries;
  /// Task ids as sent to workers, by the core's task reference.
  std::unordered_map<std::string, std::string> ids_by_ref;
  std::vector<core::Command> commands;
  Timer timer;
  TimeMs last_event_ms = 0;
  bool placing = true;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace dotterelcove
