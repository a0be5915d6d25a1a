/// Manages the sessions with all workers of a partition, and the table rows
/// from which the next owner learns which workers may hold tasks.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/Core.h"
#include "scheduler/JobRecords.h"
#include "scheduler/Services.h"
#include "scheduler/WorkerSession.h"
#include "store/RecordWriter.h"

namespace dotterelcove {

struct WorkerPoolCallbacks {
  /// A worker answered a fence; its ended tasks follow one by one through
  /// `ended`.
  std::function<void(const std::string& worker, const FenceReply&)> fenced;
  std::function<void(const std::string& worker, const EndedTask&, Acknowledge)>
      ended;
  std::function<void(const std::string& worker, const std::vector<TaskUsage>&)>
      usage;
  /// The worker is new, or its state or description changed.
  std::function<void(const Vm&, core::WorkerState)> changed;
  /// A worker answered its first fence, or its lease lapsed. `unknown` is set
  /// when the tasks that it ran before the takeover can no longer be
  /// determined, because its lease lapsed first or it has restarted.
  std::function<void(bool unknown)> resolved;
  std::function<void(uint64_t epoch)> higher_epoch;
  /// Whether leases may still be extended: false while this process cannot
  /// rule out that another owner exists.
  std::function<bool()> may_renew;
};

class WorkerPool {
 public:
  WorkerPool(Services& services, RecordWriter& writer, uint64_t epoch,
             WorkerPoolCallbacks callbacks);
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Adds a worker that an earlier owner used, from its row.
  void AddUsed(const UsedWorkerRow& row);
  /// Applies the platform's VM list: adds workers, and marks those that are
  /// leaving or no longer listed as draining.
  void SetVmList(const std::vector<Vm>& vms);
  /// Drains one worker on an operator's request; returns false when the worker
  /// is unknown.
  bool Drain(const std::string& worker);
  /// Records that the worker refused a start. No task is placed on it for a
  /// backoff time that doubles with each refusal.
  void ReportRefusal(const std::string& worker);
  void ReportStarted(const std::string& worker);

  /// Returns null for an unknown worker.
  WorkerSession* Find(const std::string& worker) const;
  core::WorkerState StateOf(const std::string& worker) const;
  std::vector<std::string> ids() const;
  /// Workers of earlier owners that have neither answered a fence nor lapsed.
  std::set<std::string> Unanswered() const;

 private:
  /// State of the table row `worker/<partition>/<id>`.
  enum class RowState : uint8_t { kAbsent, kWriting, kPresent };
  struct Worker {
    std::unique_ptr<WorkerSession> session;
    RowState row = RowState::kAbsent;
    /// Counts writes and removals, so that the result of a superseded write is
    /// ignored.
    uint64_t row_change = 0;
    /// Incarnation of the worker that is stored in the row.
    uint64_t row_incarnation = 0;
    /// An earlier owner may have placed tasks on it.
    bool used_before = false;
    /// Has answered a fence of this owner.
    bool answered = false;
    bool listed = false;
    bool drained = false;
    /// In the backoff time after a refused start.
    bool refusing = false;
    int refusals = 0;
    /// State last passed to `changed`.
    core::WorkerState reported = core::WorkerState::kUnreachable;
    std::unique_ptr<Timer> refusal_timer;
  };

  Worker& Add(const Vm& vm, bool used_before);
  void OnFenced(const std::string& id, const FenceReply& reply);
  void OnEnded(const std::string& id, const EndedTask& task);
  void OnSessionState(const std::string& id, SessionState state);
  void WriteRow(const std::string& id);
  void RemoveRow(const std::string& id);
  void Update(const std::string& id);
  core::WorkerState Evaluate(const Worker& worker) const;

  Services& services;
  RecordWriter& writer;
  uint64_t epoch;
  TimeMs taken_over_ms;
  WorkerPoolCallbacks callbacks;
  std::map<std::string, Worker> workers;
  Random random;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace dotterelcove
