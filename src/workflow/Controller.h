/// The owner of a cell: turns accepted jobs into running tasks. One exists for
/// each epoch of ownership; its state is rebuilt from the store and from what
/// the workers report, so nothing of it needs to survive the process.
///
/// Starts are not recorded before they are sent. A new owner asks every worker
/// that may hold tasks, under its higher token, what runs there; a worker that
/// does not answer is waited out until its lease must have lapsed. So owners
/// can start work while the store is away, and each start saves a write.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Runtime.h"
#include "store/OwnerCommitter.h"
#include "store/RowStore.h"
#include "workflow/Fleet.h"
#include "workflow/JobRows.h"
#include "workflow/Maintenance.h"
#include "workflow/PermitPlan.h"
#include "workflow/Ports.h"

namespace dotterelcove::workflow {

struct ControllerOptions {
  /// Lease of a worker's tasks, renewed at every sync; the same for every
  /// owner, since a new one waits for the leases of its predecessor.
  TimeMs lease_ms = 3'500;
  /// A sync waits this long for an end.
  TimeMs sync_wait_ms = 1'000;
  /// Syncs at a worker that holds nothing.
  TimeMs idle_sync_ms = 2'500;
  /// A worker's clock may run slow by this share.
  double clock_rate_error = 0.025;
  /// Time by which an owner cut off from store and peers has noticed it.
  TimeMs isolation_ms = 1'500;
  /// How long the outcome of an ended job is kept.
  TimeMs retention_ms = 180'000;
  /// How long a VM is down for its maintenance.
  TimeMs maintenance_ms = 2'000;
};

/// Maintenance waves and the VMs that they name.
struct Maintenance {
  std::map<uint64_t, WaveState> waves;
  /// What was stored of the waves when this owner took over.
  std::map<uint64_t, WaveRecord> records;
  VmList vms;
  /// When the list at hand was asked for, -1 for none.
  TimeMs vms_asked_ms = -1;
  TimeMs next_list_ms = 0;
  bool list_in_flight = false;
};

struct EndedJob {
  JobPhase phase = JobPhase::kCompleted;
  TimeMs ended_ms = 0;
};

/// Counters for metrics, all since the epoch began.
struct ControllerStats {
  uint64_t starts = 0;
  uint64_t ends_done = 0;
  uint64_t ends_failed = 0;
  uint64_t ends_other = 0;
  uint64_t stops = 0;
  uint64_t syncs = 0;
  /// Syncs beside one under way, since a report was overdue.
  uint64_t hedged_syncs = 0;
  uint64_t requests = 0;
  uint64_t orders_in_doubt = 0;
};

struct Controller : std::enable_shared_from_this<Controller> {
  Runtime runtime;
  RowStore store;
  WorkerPort port;
  /// Empty functions where the deployment has no VM service.
  VmPort vm_port;
  ControllerOptions options;
  std::shared_ptr<OwnerCommitter> log;
  uint64_t epoch = 0;
  /// A worker has refused this owner's token.
  std::function<void()> fenced;
  /// Seconds of a named wait, for the histograms.
  std::function<void(const char* name, TimeMs waited_ms)> observe;

  JobTable jobs;
  Fleet fleet;
  PermitClients permit_clients;
  std::map<std::string, EndedJob> ended;
  /// Ended jobs whose outcome has to be moved into their own rows.
  std::map<std::string, JobPhase> to_compact;
  TimeMs next_compaction_ms = 0;
  std::map<std::string, QueuePolicy> policies;
  ControllerStats stats;

  /// The stored jobs have been read.
  bool loaded = false;
  /// Workers of the predecessor that have not answered yet, each with the
  /// version of the store up to which an accepted job may have a task there;
  /// those jobs wait for it, until `recovery_deadline_ms` at the latest.
  std::map<std::string, uint64_t> recovery_pending;
  TimeMs recovery_deadline_ms = 0;
  /// Notices that came while the stored jobs were being read.
  std::vector<StoreRow> early_rows;
  std::vector<WorkerInfo> early_fleet;
  std::vector<MaintenanceWave> early_waves;
  Maintenance maintenance;
  std::set<std::string> cancelled_ids;

  std::set<Job*> dirty;
  bool flushing = false;
  bool fleet_dirty = false;
  /// Fleet rows by key, as last written.
  std::map<std::string, std::string> fleet_rows;
  bool schedule_wanted = false;
  bool suspended = false;
  bool stopped = false;
  uint64_t next_gang = 1;
};

using ControllerPtr = std::shared_ptr<Controller>;

/// Begins with reading the stored jobs.
void StartController(Controller& controller);
/// No callback of this controller has an effect afterwards.
void StopController(Controller& controller);
/// A suspended owner lets leases lapse: it may have a successor.
void SuspendController(Controller& controller, bool suspended);

/// Takes in a row of the job table, an accepted job or a cancellation. The same
/// row may come several times, from the caller's entry process and the store.
void AdmitRow(Controller& controller, const StoreRow& row);
/// Takes in the platform's list of workers.
void UpdateFleet(Controller& controller, const std::vector<WorkerInfo>& list);
/// Takes in the maintenance waves that the operator asks for; the same ones may
/// come several times.
void UpdateWaves(Controller& controller,
                 const std::vector<MaintenanceWave>& waves);
void UpdatePolicies(Controller& controller,
                    std::map<std::string, QueuePolicy> policies);
void AddPermitClient(Controller& controller, const std::string& name,
                     PermitPort request);
void RemovePermitClient(Controller& controller, const std::string& name);

/// What may be told to callers of a job; nothing when it is not known here.
std::optional<JobPhase> QueryJob(const Controller& controller,
                                 const std::string& id);
/// Accepted jobs of each queue of which no task has begun.
std::map<std::string, uint32_t> CountPending(const Controller& controller);

/// How long a worker's tasks may still run for this owner's knowledge, once no
/// answer comes from it.
TimeMs LeaseExpiryTime(const Controller& controller, const Worker& worker);

}  // namespace dotterelcove::workflow
