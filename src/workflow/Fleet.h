/// In-memory state of the workers of a cell, kept by its owner.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "workflow/Crashes.h"
#include "workflow/JobTable.h"
#include "workflow/Ports.h"

namespace dotterelcove::workflow {

/// A worker as the platform lists it.
struct WorkerInfo {
  std::string id;
  std::string address;
  std::string service;
  std::string zone;
  std::string rack;
  std::set<std::string> labels;
  Resources capacity;
  /// Increases with each start of a worker under the same id.
  uint64_t incarnation = 0;
  bool draining = false;
  /// Minimum time until a draining worker leaves, -1 if not stated.
  TimeMs leaves_in_ms = -1;

  friend bool operator==(const WorkerInfo&, const WorkerInfo&) = default;
};

/// Reads the platform's list of workers; gives nothing if the read fails.
using WorkerListCallback =
    std::function<void(std::optional<std::vector<WorkerInfo>>)>;
using WorkerListPort = std::function<void(WorkerListCallback)>;

/// A worker as recorded in the store for the next owner.
struct RecordedWorker {
  WorkerInfo info;
  /// No task is placed on it until it is recorded as no longer cordoned.
  bool cordoned = false;
  /// Store version at which it was cordoned: no job accepted later can have a
  /// task on it. 0 if its row was written before that was known.
  uint64_t cordoned_version = 0;
  /// It was seen to have restarted so short a time before that it may hold the
  /// longest lease, from a call that was made for its earlier incarnation.
  bool restarted_lately = false;
};

/// One run that occupies a worker.
struct PlacedRun {
  TaskRef task;
  uint32_t run = 0;
  Resources size;
  /// Fencing token of its start.
  uint64_t token = 0;
  bool confirmed = false;
  /// A sync has listed it. Unlike the answer to a start, which does not tell
  /// the incarnation, that proves on which incarnation of the worker it runs.
  bool listed = false;
  /// Number of syncs sent to the worker before the start was confirmed. Only
  /// the answer to a later sync is certain to list the run.
  /// `syncs_before_stopped` is the same for the answer to the stop.
  uint64_t syncs_before_confirmed = 0;
  /// The start was not answered and may still take effect.
  bool start_in_doubt = false;
  uint64_t syncs_before_doubt = 0;
  bool stop_wanted = false;
  bool stop_in_flight = false;
  uint32_t stops_sent = 0;
  bool stop_answered = false;
  uint64_t syncs_before_stopped = 0;
  TimeMs placed_ms = 0;
  /// Of a suspect: it began after all other runs of its worker had survived
  /// their start, and nothing else is started until it has.
  bool on_probation = false;
  /// A predecessor started it, so its age is not known.
  bool is_adopted = false;
  /// Its worker has restarted and does not list it so far: how it ended if the
  /// restart ended it.
  std::optional<CrashPhase> crash;
  /// When the worker was last heard of before that restart.
  TimeMs crash_heard_ms = 0;
  /// It began from a checkpoint, so it takes less than the whole run time.
  bool is_resumed = false;
  /// When its end should have been reported, by its estimate or its reported
  /// progress; 0 for unknown.
  TimeMs expected_end_ms = 0;
  /// Runs of the same gang share this number, 0 for none.
  uint64_t gang = 0;
  /// Tail latency in milliseconds of a serving task, processors used of any
  /// other, as last reported; -1 for unknown.
  double usage = -1;
  /// Percentage of full speed last set for a filler, and whether its worker has
  /// confirmed it.
  int pace_percent = 100;
  bool pace_known = true;
  bool pace_in_flight = false;
  TimeMs pace_evaluated_ms = 0;
  /// Why it is being stopped, for the log.
  const char* stop_reason = "";
};

/// A run that counts as ended because its worker's lease has expired.
struct LapsedRun {
  std::string task;
  uint32_t run = 0;
  CrashPhase phase = CrashPhase::kUnconfirmed;
};

/// A run that the owner did not place and cannot adopt, at least not yet.
struct OrphanedRun {
  uint32_t run = 0;
  TimeMs found_ms = 0;
  /// When its stop was last sent, 0 for never.
  TimeMs stop_sent_ms = 0;
};

/// Health statistics of a worker from its recent runs.
struct WorkerHealth {
  uint32_t failures_in_a_row = 0;
  /// Ratio of actual run time to that expected on workers of its kind, as an
  /// exponentially weighted average; 1 for an average worker.
  double slowness = 1.0;
  uint32_t samples = 0;
  /// No new work before this time.
  TimeMs quarantined_until_ms = 0;
  /// Number of quarantines since its last success.
  uint32_t quarantines = 0;
};

/// Number of runs of one step on a worker.
struct StepRuns {
  const StepState* step = nullptr;
  uint32_t runs = 0;
};

struct Worker {
  WorkerInfo info;
  /// Its index in `Fleet::by_slot`.
  uint32_t slot = 0;
  /// Whether the platform lists it. A worker that is no longer listed is kept
  /// until its tasks have ended.
  bool listed = true;
  /// Its labels and capacity are those of an earlier incarnation: a sync has
  /// shown the restart, and the list has not shown it yet.
  bool entry_outdated = false;
  /// When the list last named the present incarnation, so that its labels and
  /// capacity held; -1 for never.
  TimeMs entry_read_ms = -1;
  /// This owner's fencing token was accepted and its runs are known.
  bool synced = false;
  /// The last sync succeeded.
  bool reachable = false;
  /// A start is overdue: the worker may be lost, so nothing more is placed on
  /// it.
  bool overdue = false;
  /// Syncs in flight, the sequence number of the last one sent, and that of the
  /// newest one answered.
  uint32_t syncs = 0;
  uint64_t syncs_sent = 0;
  uint64_t sync_answered = 0;
  uint32_t sync_failures = 0;
  /// When the last hedged sync, beside one in flight, was sent.
  TimeMs last_hedge_ms = 0;
  TimeMs next_sync_ms = 0;
  /// The worker's clock and when it was read; 0 before the first answer.
  int64_t clock_ms = 0;
  TimeMs clock_read_ms = 0;
  /// Highest lease end that the worker's incarnation may have been given by
  /// this owner or by calls from before its first answer, on its clock; 0
  /// before the first answer.
  int64_t lease_end_clock_ms = 0;
  /// When every run that a sync has listed must have ended even if the worker
  /// does not answer.
  TimeMs lease_expires_ms = 0;
  /// The same for a run that no sync has listed: it may be on a later
  /// incarnation, with the longest lease that a call can have given that one.
  TimeMs unlisted_expire_ms = 0;
  /// When it was last seen to have restarted, -1 for never.
  TimeMs restarted_ms = -1;
  /// The lower part of the fencing token of calls to the worker, see
  /// TokenFor(). Rises with each of its incarnations.
  uint64_t token_increment = 0;
  /// Ends numbered up to `seen` have been received, those up to `acked` are
  /// stored and may be acknowledged.
  uint64_t seen = 0;
  uint64_t acked = 0;
  /// Received ends of jobs that this owner does not know, by rising number.
  /// They are acknowledged once their job is known, or the store has shown that
  /// there is no such open job.
  std::vector<ReportedEnd> deferred_ends;
  /// Highest acknowledgment that an answer has shown to be carried out.
  uint64_t ack_confirmed = 0;
  /// Earlier incarnations, the latest last. The list may go on naming them for
  /// a while.
  std::vector<uint64_t> former_incarnations;
  std::map<std::string, PlacedRun> runs;
  /// Runs that this owner did not place and does not hold, by task.
  std::map<std::string, OrphanedRun> orphans;
  /// Runs that lapsed since the worker last answered. If it turns out to have
  /// crashed, it crashed under them.
  std::vector<LapsedRun> lapsed;
  /// When a sync or a start was last answered by the worker.
  TimeMs heard_ms = 0;
  /// Nothing is placed on it before this time, so that a crash shows which task
  /// is to blame.
  TimeMs probation_until_ms = 0;
  Resources used;
  /// Number of events after which more may fit on the worker, and of changes of
  /// its runs, for src/workflow/PassChanges.h.
  uint64_t room_gains = 0;
  uint64_t run_changes = 0;
  /// `room_gains` and `run_changes` as of the last pass, and whether tasks
  /// could be placed then.
  uint64_t seen_room_gains = 0;
  uint64_t seen_run_changes = 0;
  bool was_open = false;
  /// The runs in `runs` of each step with a limit per worker, changed with
  /// `used` only. Placement asks them for the limit: a count of its own would
  /// be outdated by its first placement.
  std::vector<StepRuns> limited_steps;
  /// Processor demand of its fillers, which `used` does not include.
  int64_t filler_milli_cores = 0;
  TimeMs paces_evaluated_ms = 0;
  WorkerHealth health;
  /// Run time on workers of its kind relative to a typical one; 1 for unknown.
  double kind_factor = 1.0;
  /// The store records it as a worker that may hold tasks, so tasks may be
  /// placed on it.
  bool recorded = false;
  /// It did not answer, so it is recorded as cordoned: nothing is placed on it.
  bool cordoned = false;
  uint64_t cordoned_version = 0;
  /// Number of changes of `cordoned`, so that the commit of an earlier state
  /// can be recognized as outdated.
  uint32_t state_changes = 0;
  /// Its VM is being drained for maintenance.
  bool maintenance_planned = false;
};

/// A worker that has ended without being planned to.
struct WorkerLoss {
  std::string worker;
  /// When it was last heard of.
  TimeMs heard_ms = 0;
  /// A run had just started there, so that its task may be to blame.
  bool follows_start = false;
};

struct Fleet {
  /// By id.
  std::map<std::string, Worker> workers;
  /// By slot, null for a worker that was removed. A slot is not used again, so
  /// that what is recorded for it never applies to another worker.
  std::vector<Worker*> by_slot;
  /// The losses of about the last `kLossMemoryMs`, in the order in which they
  /// were noticed.
  std::deque<WorkerLoss> losses;
};

/// Adds a worker, or returns the one that has the id already.
Worker& AddWorker(Fleet& fleet, const std::string& id);
/// Null if there is none.
Worker* FindWorker(Fleet& fleet, const std::string& id);
const Worker* FindWorker(const Fleet& fleet, const std::string& id);
void RemoveWorker(Fleet& fleet, const std::string& id);

inline WorkerAddress AddressOf(const Worker& worker) {
  return {worker.info.id, worker.info.address, worker.info.zone,
          worker.info.incarnation};
}

inline Resources FreeOf(const Worker& worker) {
  return worker.info.capacity - worker.used;
}

/// Number of runs of a step with a limit per worker that this owner holds on
/// the worker, whatever it has decided about them: also those that are being
/// stopped or are in doubt.
uint32_t HeldRunsOfStep(const Worker& worker, const StepState& step);

/// Those and the runs of the step that it has not placed. Placement need not
/// ask for the latter: a worker that has any gets no task.
uint32_t CountRunsOfStep(const Worker& worker, const TaskRef& task);

/// Number of the last end that may be acknowledged once the owner's changes are
/// stored.
inline uint64_t LastSettledEnd(const Worker& worker) {
  if (worker.deferred_ends.empty()) return worker.seen;
  return worker.deferred_ends.front().number - 1;
}

/// Whether the worker has been heard of long enough after the start of each of
/// its runs that none of them is likely to crash it.
bool HaveAllSurvivedStart(const Worker& worker);

/// Whether a suspect has been started on the worker and it has not shown yet
/// that it survived that.
inline bool IsOnProbation(const Worker& worker, TimeMs now_ms) {
  return now_ms < worker.probation_until_ms ||
         worker.heard_ms < worker.probation_until_ms;
}

/// Whether the outcome of a start on the worker is not known yet. The worker
/// may have restarted since its last answer, and the run may have begun and
/// ended on its next incarnation.
bool HasUnconfirmedStart(const Worker& worker);

/// Whether the incarnation is known to have been replaced by a later one.
bool IsFormerIncarnation(const Worker& worker, uint64_t incarnation);
/// Makes `incarnation` the worker's present one.
void ReplaceIncarnation(Worker& worker, uint64_t incarnation);

/// Whether new tasks may be placed on the worker at all.
bool IsUsable(const Worker& worker, TimeMs now_ms);

/// The run time to expect of a task on the worker, 0 for unknown.
inline TimeMs ExpectedMsOn(const Worker& worker, const TaskRef& task) {
  return static_cast<TimeMs>(static_cast<double>(ExpectedMs(task)) *
                             worker.kind_factor);
}

/// The capacity that a task occupies on a worker. The processors of a filler do
/// not count.
Resources SizeOnWorker(const StepSpec& step);

/// Reserves what one task of a step takes of the worker: its capacity and, if
/// the step has a limit per worker, a place within it.
void ReserveFor(Worker& worker, const StepSpec& spec, const StepState& step);
/// Takes one reservation of ReserveFor() back.
void ReleaseFor(Worker& worker, const StepSpec& spec, const StepState& step);

/// Adds a run and reserves its capacity. A run of the same name is replaced.
void AddRun(Worker& worker, const std::string& name, PlacedRun run);
/// Removes a run and frees its capacity.
void RemoveRun(Worker& worker, const std::string& name);

}  // namespace dotterelcove::workflow
