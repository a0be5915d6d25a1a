/// The workers of a cell in the memory of its owner.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "workflow/JobTable.h"

namespace dotterelcove::workflow {

/// What a worker says of itself in the platform's list.
struct WorkerInfo {
  std::string id;
  std::string address;
  std::string service;
  std::string zone;
  std::string rack;
  std::set<std::string> labels;
  Resources capacity;
  /// Changes with each start of the worker under the same id.
  uint64_t incarnation = 0;
  bool draining = false;
  /// Least time until a draining worker leaves, -1 for not stated.
  TimeMs leaves_in_ms = -1;
};

/// A worker as the store lists it for the next owner.
struct RecordedWorker {
  WorkerInfo info;
  /// No task is placed on it until it is recorded as open again.
  bool cordoned = false;
  /// Version of the store at which it was closed: no later job can have a task
  /// on it. 0 when that is not known to its row.
  uint64_t cordoned_version = 0;
};

/// One run that occupies a worker.
struct PlacedRun {
  TaskRef task;
  uint32_t run = 0;
  Resources size;
  bool confirmed = false;
  /// Syncs sent to the worker before the start was confirmed or the stop was
  /// answered: only the answer to a later sync must show it.
  uint64_t syncs_before_confirmed = 0;
  /// The answer to the start is missing: it may still take effect.
  bool start_in_doubt = false;
  uint64_t syncs_before_doubt = 0;
  bool stop_wanted = false;
  bool stop_in_flight = false;
  uint32_t stops_sent = 0;
  bool stop_answered = false;
  uint64_t syncs_before_stopped = 0;
  TimeMs placed_ms = 0;
  /// When its end should be known by the estimate and its reported progress, 0
  /// for unknown.
  TimeMs expected_end_ms = 0;
  /// Runs of the same gang share this number, 0 for none.
  uint64_t gang = 0;
  /// Tail latency in milliseconds of a serving task, processors used of any
  /// other, as last reported; -1 for unknown.
  double usage = -1;
  /// Share of full speed that a filler was last told to work at, and whether
  /// its worker has confirmed it.
  int pace_percent = 100;
  bool pace_known = true;
  bool pace_in_flight = false;
  TimeMs pace_evaluated_ms = 0;
  /// Why it is being stopped, for the log.
  const char* stop_reason = "";
};

/// A run that the owner does not know and is stopping.
struct OrphanedRun {
  uint32_t run = 0;
  /// When its stop was last sent.
  TimeMs stop_sent_ms = 0;
};

/// Outcomes of recent runs, from which trust in a worker follows.
struct WorkerHealth {
  uint32_t failures_in_a_row = 0;
  /// Actual over estimated run time, smoothed; 1 for an average worker.
  double slowness = 1.0;
  uint32_t samples = 0;
  /// No new work before this time.
  TimeMs quarantined_until_ms = 0;
  /// Times it was quarantined without a success in between.
  uint32_t quarantines = 0;
};

struct Worker {
  WorkerInfo info;
  /// Listed by the platform; others are kept until their tasks have ended.
  bool listed = true;
  /// This owner's fencing token was accepted and its runs are known.
  bool synced = false;
  /// The last sync succeeded.
  bool reachable = false;
  /// An order is overdue: the worker may be lost, so it gets no more.
  bool overdue = false;
  /// Syncs under way, the number of the last one sent, and of the newest one
  /// that was answered.
  uint32_t syncs = 0;
  uint64_t syncs_sent = 0;
  uint64_t sync_answered = 0;
  uint32_t sync_failures = 0;
  /// When it was last asked besides the sync under way.
  TimeMs last_hedge_ms = 0;
  TimeMs next_sync_ms = 0;
  /// The worker's clock and when it was read; 0 before the first answer.
  int64_t clock_ms = 0;
  TimeMs clock_read_ms = 0;
  /// Highest lease end sent, on the worker's clock.
  int64_t lease_end_clock_ms = 0;
  /// When every run on it must have ended although it does not answer.
  TimeMs lease_expires_ms = 0;
  /// Ends up to `seen` are known here, up to `acked` they are stored.
  uint64_t seen = 0;
  uint64_t acked = 0;
  /// Last acknowledgment that the worker was sent.
  uint64_t ack_sent = 0;
  std::map<std::string, PlacedRun> runs;
  /// Runs that this owner does not know, which are being stopped.
  std::map<std::string, OrphanedRun> orphans;
  Resources used;
  /// What its fillers would use, which `used` does not count.
  int64_t filler_milli_cores = 0;
  TimeMs paces_evaluated_ms = 0;
  WorkerHealth health;
  /// Recorded in the store as a worker that may be given tasks.
  bool recorded = false;
  /// It did not answer, so it is recorded as closed.
  bool cordoned = false;
  uint64_t cordoned_version = 0;
  /// Changes of `closed`, so that a record of an earlier state is told apart.
  uint32_t state_changes = 0;
  /// Its VM is drained for maintenance.
  bool maintenance_planned = false;
};

using Fleet = std::map<std::string, Worker>;

inline Resources FreeOf(const Worker& worker) {
  return worker.info.capacity - worker.used;
}

/// Whether new tasks may be placed on the worker at all.
bool IsUsable(const Worker& worker, TimeMs now_ms);

/// What a task takes of a worker's capacity: processors of a filler do not
/// count.
Resources SizeOnWorker(const StepSpec& step);

void AddRun(Worker& worker, const std::string& name, PlacedRun run);
/// Removes a run and frees its capacity.
void RemoveRun(Worker& worker, const std::string& name);

}  // namespace dotterelcove::workflow
