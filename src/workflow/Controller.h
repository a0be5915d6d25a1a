/// The controller that the owner of a cell runs: it turns accepted jobs into
/// running tasks. There is one controller per ownership epoch. Its state is
/// rebuilt from the store and from worker reports, so none of it has to survive
/// the process.
///
/// Starts are not recorded before they are sent. A new owner uses its higher
/// fencing token to ask every worker that may hold tasks what runs there. For a
/// worker that does not answer, it waits until the worker's lease must have
/// expired. Owners can therefore start work during a store outage, and each
/// start saves a write.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "accounts/Accounts.h"
#include "accounts/Quota.h"
#include "base/Runtime.h"
#include "estimates/RunTimes.h"
#include "fairness/ShareLedger.h"
#include "store/OwnerCommitter.h"
#include "store/RowStore.h"
#include "workflow/Fleet.h"
#include "workflow/JobRows.h"
#include "workflow/Maintenance.h"
#include "workflow/PermitPlan.h"
#include "workflow/Ports.h"

namespace dotterelcove::workflow {

struct ControllerOptions {
  /// Lease of a worker's tasks, renewed by every sync. It must be the same for
  /// every owner, because a new owner waits for the leases that its predecessor
  /// granted.
  TimeMs lease_ms = 3'500;
  /// The longest lease that a worker grants itself. A call made for an earlier
  /// incarnation gives it this one: its clock starts anew with each
  /// incarnation, so the lease end in the call lies far ahead.
  TimeMs max_lease_ms = 6'000;
  /// A sync of a worker with tasks long-polls this long for a run to end.
  TimeMs sync_wait_ms = 1'000;
  /// Interval between syncs of an idle worker.
  TimeMs idle_sync_ms = 2'500;
  /// Largest fraction by which a worker's clock may run slow.
  double clock_rate_error = 0.025;
  /// Time within which an owner that is cut off from the store and its peers
  /// has detected that.
  TimeMs isolation_ms = 1'500;
  /// Retention period of the outcome of an ended job.
  TimeMs retention_ms = 180'000;
  /// The largest progress of a job that the store can hold.
  size_t max_progress_bytes = 49'152;
  /// How long a VM is down for its maintenance.
  TimeMs maintenance_ms = 2'000;
  /// Learns run times from finished runs. If not, the stated ones are used.
  bool learns_run_times = true;
};

/// The maintenance waves and the last VM list read.
struct Maintenance {
  std::map<uint64_t, WaveState> waves;
  /// The wave records in the store when this owner took over.
  std::map<uint64_t, WaveRecord> records;
  VmList vms;
  /// When the list in `vms` was requested, -1 before the first one.
  TimeMs vms_asked_ms = -1;
  TimeMs next_list_ms = 0;
  bool list_in_flight = false;
};

struct EndedJob {
  JobPhase phase = JobPhase::kCompleted;
  TimeMs ended_ms = 0;
};

/// Counters for metrics, counted since the start of the epoch.
struct ControllerStats {
  uint64_t starts = 0;
  uint64_t ends_done = 0;
  uint64_t ends_failed = 0;
  uint64_t ends_other = 0;
  uint64_t stops = 0;
  uint64_t syncs = 0;
  /// Syncs sent while another was in flight, because a report was overdue.
  uint64_t hedged_syncs = 0;
  uint64_t requests = 0;
  uint64_t orders_in_doubt = 0;
  /// Runs on a worker without the label that they require, or beyond the limit
  /// of their step.
  uint64_t misplaced_runs = 0;
};

/// The owner's load since it was last logged.
struct OwnerLoad {
  TimeMs logged_ms = 0;
  TimeMs last_tick_ms = 0;
  /// Longest time by which a periodic check came late, because the process was
  /// busy or had no processor time.
  TimeMs max_lag_ms = 0;
  uint32_t passes = 0;
  TimeMs pass_ms = 0;
  TimeMs max_pass_ms = 0;
  /// Steps that waited in the last pass, and tasks that found no room in it.
  size_t waiting_steps = 0;
  size_t unplaced_tasks = 0;
  /// How often a pass searched room for a step.
  uint64_t searches = 0;
};

/// Tasks that may run on workers that have not answered.
struct UnreportedTasks {
  Resources ordinary;
  /// Apart, since workers hold more of them than their processors allow for.
  Resources fillers;
};

/// What accounts may have running on workers that have not answered since the
/// owner took over.
struct UnreportedUsage {
  /// When the two fields below were counted, -1 for never.
  TimeMs counted_ms = -1;
  /// The capacity of those workers, nothing if it is not known.
  std::optional<Resources> capacity;
  std::map<std::string, UnreportedTasks> by_account;
};

/// What the owner has learnt of run times.
struct LearntRunTimes {
  estimates::RunTimes samples;
  /// The estimates in use.
  estimates::RunTimeFit fit;
  /// The stored row has been read, or there is none. Until then nothing is
  /// stored, as that would replace what predecessors have learnt.
  bool is_read = false;
  /// There are samples that are not in `fit`, or not in the stored row.
  bool is_fit_due = false;
  bool is_store_due = false;
  TimeMs next_fit_ms = 0;
  TimeMs next_store_ms = 0;
};

struct Controller : std::enable_shared_from_this<Controller> {
  Runtime runtime;
  RowStore store;
  WorkerPort port;
  /// Holds empty functions if the deployment has no VM service.
  VmPort vm_port;
  ControllerOptions options;
  std::shared_ptr<OwnerCommitter> log;
  uint64_t epoch = 0;
  /// Store version at which this owner took over. No predecessor has placed a
  /// job accepted later, see IsOwnershipConfirmed().
  uint64_t takeover_version = 0;
  /// The time until which this owner may act; see src/node/Isolation.h. Empty
  /// for no limit. Called for each order, so that none is sent after a pause of
  /// the process that has used the time up.
  std::function<TimeMs()> acts_until;
  /// Updates the two fields below; called at each tick.
  std::function<void(Controller&)> update_membership;
  /// When the store last confirmed this owner's epoch, kept up to date by
  /// `update_membership`. Without that function it is always now.
  TimeMs confirmed_ms = 0;
  /// Whether this owner hears more than half of the cell's daemons. If not, its
  /// predecessor may be cut off from the store together with most of them and
  /// act on.
  bool hears_most_daemons = true;
  /// Called when a worker or the VM service rejects this owner's fencing token
  /// as stale.
  std::function<void()> fenced;
  /// Adds a wait to the histogram `name`; may be empty.
  std::function<void(const char* name, TimeMs waited_ms)> observe;
  /// Adds the ratio of an actual run time to the one named by `of` to a
  /// histogram; may be empty.
  std::function<void(const char* of, double ratio)> observe_run_time;

  JobTable jobs;
  /// Open jobs that may have tasks to place or permits to request, by id. A
  /// scheduling pass looks at no others.
  std::map<std::string, Job*> watched;
  Fleet fleet;
  /// The workers that list an orphaned run of a task, by task. The task is not
  /// placed meanwhile.
  std::map<std::string, std::set<std::string>> orphaned;
  /// Incarnations of workers that this owner has learnt of. Each has its own
  /// fencing token, see TokenFor().
  uint64_t worker_restarts = 0;
  /// Jobs that workers have reported and that are being looked up in the store.
  std::set<std::string> job_lookups;
  PermitClients permit_clients;
  std::map<std::string, EndedJob> ended;
  /// Ended jobs whose outcome still has to be moved from the progress table
  /// into the job's own row.
  std::map<std::string, JobPhase> to_compact;
  TimeMs next_compaction_ms = 0;
  /// The queues of the configuration in force, and its version.
  std::map<std::string, QueuePolicy> policies;
  uint64_t policy_version = 0;
  /// No configuration has been read. Nothing starts until then: the services
  /// that jobs were stored with may not be those of their queues any more.
  bool awaits_configuration = false;
  /// The client accounts. One that the configuration has dropped is kept, for
  /// its jobs that still run.
  accounts::AccountTable accounts;
  /// What each account has running. Jobs point to their entry.
  std::map<std::string, accounts::AccountUsage> account_usage;
  /// False until the configuration has been read. Jobs of accounts start
  /// nothing until then.
  bool are_accounts_known = false;
  UnreportedUsage unreported;
  /// Jobs of accounts that have ended although runs of theirs may go on, by id
  /// and without payload. A predecessor closed them, or this owner while a
  /// worker had not answered. Kept until all have, and no run is left.
  std::map<std::string, JobSpec> ended_with_runs;
  fairness::ShareLedger shares;
  /// The jobs that were in the store at the takeover are counted in `shares`.
  bool are_shares_counted = false;
  /// How long each service would take for the work that waited when the last
  /// pass began.
  std::map<std::string, TimeMs> backlog_ms;
  /// When it was last logged that an account has reached its quota.
  std::map<std::string, TimeMs> quota_logged_ms;
  LearntRunTimes run_times;
  ControllerStats stats;
  OwnerLoad load;

  /// Set once the stored tables have been read.
  bool loaded = false;
  /// The predecessor's workers that have not answered yet. Each maps to the
  /// store version up to which an accepted job may have a task on it. Those
  /// jobs wait for the worker, at most until `recovery_deadline_ms`, or for a
  /// worker that may hold the longest lease until `longest_lease_deadline_ms`.
  std::map<std::string, uint64_t> recovery_pending;
  std::set<std::string> pending_longest_lease;
  TimeMs recovery_deadline_ms = 0;
  TimeMs longest_lease_deadline_ms = 0;
  /// When this owner took over.
  TimeMs started_ms = 0;
  /// Until then the deadlines above are put off while this owner does not hear
  /// most daemons: its predecessor may act on.
  TimeMs split_deadline_ms = 0;
  /// Updates that arrived while the stored tables were being read.
  std::vector<StoreRow> early_rows;
  std::vector<WorkerInfo> early_fleet;
  std::vector<MaintenanceWave> early_waves;
  Maintenance maintenance;
  std::set<std::string> cancelled_ids;

  std::set<Job*> dirty;
  bool flushing = false;
  /// Number of the next commits that write the progress of one job only.
  size_t single_flushes = 0;
  bool fleet_dirty = false;
  /// Fleet rows by key, as last submitted to the store.
  std::map<std::string, std::string> fleet_rows;
  bool schedule_wanted = false;
  /// Number of the last pass. TryAllSteps() skips numbers.
  uint64_t pass_number = 1;
  /// No pass begins before this time, so that passes leave time for answers.
  TimeMs next_pass_ms = 0;
  /// Whether the last tick found the owner suspended, for the log.
  bool was_suspended = false;
  bool stopped = false;
  uint64_t next_gang = 1;
};

using ControllerPtr = std::shared_ptr<Controller>;

/// Starts reading the stored tables; scheduling begins once all are read.
void StartController(Controller& controller);
/// After this call no callback of the controller has an effect.
void StopController(Controller& controller);
/// A suspended controller sends nothing to workers and lets their leases
/// expire, because another owner may have taken over.
bool IsSuspended(const Controller& controller);

/// Processes a row of the job table: an accepted job or a cancellation.
/// Idempotent, since the same row may arrive from the caller's entry process
/// and from the store.
void AdmitRow(Controller& controller, const StoreRow& row);
/// Applies the platform's list of workers.
void UpdateFleet(Controller& controller, const std::vector<WorkerInfo>& list);
/// Adds the maintenance waves that the operator requests. Waves that are
/// already known are skipped.
void UpdateWaves(Controller& controller,
                 const std::vector<MaintenanceWave>& waves);
/// Applies a new version of the configuration of the queues.
void UpdatePolicies(Controller& controller,
                    std::map<std::string, QueuePolicy> policies,
                    uint64_t version);
/// Applies a new version of the client accounts.
void UpdateAccounts(Controller& controller,
                    const accounts::AccountTable& table);
void AddPermitClient(Controller& controller, const std::string& name,
                     PermitPort request);
void RemovePermitClient(Controller& controller, const std::string& name);

/// The phase that callers may see, or nothing if the job is not known here.
std::optional<JobPhase> QueryJob(const Controller& controller,
                                 const std::string& id);
/// Number of accepted jobs per queue of which no task has started; nothing
/// while the stored tables are being read.
std::optional<std::map<std::string, uint32_t>> CountPending(
    const Controller& controller);

/// The monotonic time by which all tasks on the worker's known incarnation must
/// have ended if it does not answer any more: the lease end it was last sent,
/// allowing for its clock rate error and a margin.
TimeMs LeaseExpiryTime(const Controller& controller, const Worker& worker);

}  // namespace dotterelcove::workflow
