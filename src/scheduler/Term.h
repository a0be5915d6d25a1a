/// One term of ownership: the state and work of an owner from acquiring the
/// partition until losing it. Destroying the term ends all of its work.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/CellConfig.h"
#include "scheduler/Adoption.h"
#include "scheduler/CellDriver.h"
#include "scheduler/EndedSweeper.h"
#include "scheduler/JobService.h"
#include "scheduler/JobTable.h"
#include "scheduler/Recovery.h"
#include "scheduler/RowLookup.h"
#include "scheduler/Services.h"
#include "scheduler/SlotService.h"
#include "scheduler/WorkerPool.h"
#include "store/RecordWriter.h"

namespace dotterelcove {

struct TermCallbacks {
  /// The records have been read and the fences sent; the term serves from now
  /// on.
  std::function<void()> serving;
  /// A worker or the store has shown that a later owner exists. `epoch` is that
  /// owner's epoch, or 0 if unknown. The term must not be destroyed inside this
  /// call.
  std::function<void(uint64_t epoch)> superseded;
  /// Whether the leases of workers may be renewed.
  std::function<bool()> may_renew;
};

class Term {
 public:
  Term(Services& services, uint64_t epoch, uint64_t owner_row_version,
       TermCallbacks callbacks);
  Term(const Term&) = delete;
  Term& operator=(const Term&) = delete;

  void OnEntryConnected(const PeerInfo& peer);
  void OnEntryDisconnected(const PeerInfo& peer);
  /// Handles a message of an entry daemon; other kinds are ignored.
  void OnMessage(const PeerInfo& peer, wire::FrameT& frame);
  void ApplyConfig(const CellConfig& config);

  /// Begins a planned stop: accepts no new job, places no task and grants no
  /// slot.
  void Stop();
  /// Whether workers have answered all task starts and all records are written.
  bool Flushed() const;

  bool serving() const { return this->is_serving; }
  uint64_t epoch() const { return this->term_epoch; }
  /// Whether a worker used by an earlier owner has neither answered a fence nor
  /// let its lease lapse.
  bool has_unresolved_workers() const {
    return this->adoption->has_unresolved_workers();
  }
  const RecordWriter& records() const { return this->writer; }
  const JobTable& jobs() const { return this->table; }
  const CellDriver& cell() const { return this->driver; }
  const WorkerPool* workers() const { return this->pool.get(); }
  const SlotService* slots() const { return this->slot_service.get(); }
  /// Drains a worker or an endpoint; returns false for an unknown id.
  bool Drain(const std::string& vm);
  /// Updates the gauges; called before the metrics are rendered.
  void RefreshMetrics();

 private:
  void OnRecovered(RecoveredRecords records);
  void PollVms();
  void CreateWorkerPool();

  Services& services;
  uint64_t term_epoch;
  TermCallbacks callbacks;
  RecordWriter writer;
  RowLookup lookup;
  JobTable table;
  CellDriver driver;
  JobService job_service;
  std::unique_ptr<WorkerPool> pool;
  std::unique_ptr<Adoption> adoption;
  std::unique_ptr<SlotService> slot_service;
  EndedSweeper sweeper;
  std::vector<PeerInfo> entries;
  std::vector<Vm> vms;
  bool vms_known = false;
  bool is_serving = false;
  Timer vm_timer;
  std::unique_ptr<Recovery> recovery;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace dotterelcove
