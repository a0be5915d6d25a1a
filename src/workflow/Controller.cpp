#include "workflow/Controller.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"

namespace dotterelcove::workflow {
namespace {

/// Interval of the checks for timeouts, expired leases and due syncs.
constexpr TimeMs kTickMs = 60;
constexpr TimeMs kLoadRetryMs = 60;

/// The stored tables while they are being loaded.
struct Loading {
  StoreAnswer jobs;
  StoreAnswer progress;
  StoreAnswer fleet;
  StoreAnswer maintenance;
  int missing = 4;
};

void LoadTable(Controller& c, const std::shared_ptr<Loading>& loading,
               const char* table, StoreAnswer Loading::*target);
void RereadJobs(Controller& c);

/// Notes the job of a row if a predecessor has closed it before all its tasks
/// were done. Its own row keeps the specification until it is compacted.
void NoteIfUnfinished(Controller& c, const StoreRow& row) {
  const auto ended = c.ended.find(row.key);
  if (ended == c.ended.end()) return;
  if (ended->second.phase == JobPhase::kCompleted) return;
  const DecodedJob decoded = DecodeJob(row.value);
  if (decoded.open) NoteEndedJob(c, *decoded.open);
}

void LoadJobs(Controller& c, const Loading& loading) {
  for (const StoreRow& row : loading.progress.rows) {
    const std::optional<JobEnd> end = DecodeEnd(row.value);
    if (!end) continue;
    c.ended[row.key] = {end->phase, c.runtime.now()};
    c.to_compact[row.key] = end->phase;
  }
  for (const StoreRow& row : loading.jobs.rows) {
    NoteIfUnfinished(c, row);
    AdmitRow(c, row);
  }
  for (const StoreRow& row : loading.progress.rows) {
    Job* job = FindJob(c.jobs, row.key);
    if (job == nullptr) continue;
    if (ApplyProgress(row.value, *job)) {
      AddDueOccurrences(*job, c.runtime.wall_ms());
      continue;
    }
    Log(LogLevel::kError, "progress_row_unreadable",
        {F("job", row.key), F("version", row.version)});
  }
  ApplyPolicies(c);
}

/// Follows the changes of the job table in the store, for rows that no entry
/// process has forwarded. The pause between two calls limits the load on the
/// store.
void FollowJobs(Controller& c, uint64_t version) {
  constexpr TimeMs kWaitMs = 1'000;
  constexpr TimeMs kPauseMs = 250;
  c.store.changes(
      kJobTable, version, kWaitMs,
      Guard(c, [version](Controller& self, const StoreAnswer& answer) {
        if (answer.status == StoreStatus::kHistoryLost) {
          RereadJobs(self);
          return;
        }
        uint64_t next = version;
        if (answer.status == StoreStatus::kOk) {
          for (const StoreRow& row : answer.rows) AdmitRow(self, row);
          next = std::max(version, answer.version);
        }
        self.runtime.after(kPauseMs, Guard(self, [next](Controller& later) {
                             FollowJobs(later, next);
                           }));
      }));
}

void RereadJobs(Controller& c) {
  ReadTable(c.store, kJobTable,
            Guard(c, [](Controller& self, const StoreAnswer& answer) {
              if (answer.status != StoreStatus::kOk) {
                self.runtime.after(
                    kLoadRetryMs,
                    Guard(self, [](Controller& later) { RereadJobs(later); }));
                return;
              }
              for (const StoreRow& row : answer.rows) AdmitRow(self, row);
              FollowJobs(self, answer.version);
            }));
}

/// Closes jobs whose tasks are all done: a predecessor may have stored the last
/// end of a job but not its outcome.
void CloseCompleted(Controller& c) {
  for (const auto& [id, job] : c.jobs.jobs) {
    if (job->started && job->phase == JobPhase::kQueued) {
      job->phase = JobPhase::kRunning;
    }
    const uint32_t wanted = std::max(job->spec.occurrences, 1U);
    if (job->occurrences_done < wanted) {
      bool all_done = job->spec.occurrences == 0;
      for (const auto& [number, occurrence] : job->occurrences) {
        for (const StepState& step : occurrence.steps) {
          all_done = all_done && step.done == step.tasks.size();
        }
      }
      if (!all_done) continue;
    }
    CloseJob(c, *job, JobPhase::kCompleted, "all_tasks_done");
  }
}

void LoadWaves(Controller& c, const StoreAnswer& rows) {
  for (const StoreRow& row : rows.rows) {
    uint64_t number = 0;
    const char* end = row.key.data() + row.key.size();
    const auto parsed = std::from_chars(row.key.data(), end, number);
    const std::optional<WaveRecord> record = DecodeWaveRecord(row.value);
    if (parsed.ptr != end || !record) {
      Log(LogLevel::kError, "maintenance_row_unreadable",
          {F("key", row.key), F("version", row.version)});
      continue;
    }
    c.maintenance.records[number] = *record;
  }
  UpdateWaves(c, std::exchange(c.early_waves, {}));
}

/// Sets until when to wait for workers that do not answer: a predecessor that
/// has renewed leases up to now notices its isolation, then they expire.
void SetRecoveryDeadlines(Controller& c) {
  const auto deadline_for = [&](TimeMs lease_ms) {
    return c.runtime.now() + c.options.isolation_ms +
           static_cast<TimeMs>(static_cast<double>(lease_ms) *
                               (1 + c.options.clock_rate_error));
  };
  c.recovery_deadline_ms = deadline_for(c.options.lease_ms);
  c.longest_lease_deadline_ms = deadline_for(c.options.max_lease_ms);
}

void OnLoaded(Controller& c, const Loading& loading) {
  c.loaded = true;
  LoadJobs(c, loading);
  std::vector<RecordedWorker> recorded;
  for (const StoreRow& row : loading.fleet.rows) {
    c.fleet_rows[row.key] = row.value;
    DecodedFleet fleet = DecodeFleet(row.value);
    if (fleet.unnamed > 0) {
      Log(LogLevel::kError, "fleet_row_damaged",
          {F("key", row.key), F("entries", fleet.unnamed),
           F("version", row.version)});
      // No worker has this name, so the longest lease is waited out.
      const std::string damaged = "damaged entry of " + row.key;
      c.recovery_pending[damaged] = UINT64_MAX;
      c.pending_longest_lease.insert(damaged);
    }
    for (RecordedWorker& worker : fleet.workers) {
      if (worker.cordoned && worker.cordoned_version == 0) {
        worker.cordoned_version = row.version;
      }
      c.recovery_pending[worker.info.id] =
          worker.cordoned ? worker.cordoned_version : UINT64_MAX;
      if (worker.restarted_lately) {
        c.pending_longest_lease.insert(worker.info.id);
      }
      recorded.push_back(std::move(worker));
    }
  }
  SetRecoveryDeadlines(c);
  // Longer than most cuts. Jobs must not wait much longer if the daemons that
  // are not heard are lost for good.
  constexpr TimeMs kSplitMs = 3'500;
  c.split_deadline_ms = c.runtime.now() + kSplitMs;
  Log(LogLevel::kInfo, "records_read",
      {F("epoch", c.epoch), F("open_jobs", c.jobs.jobs.size()),
       F("ended_jobs", c.ended.size()), F("workers", recorded.size())});
  for (const RecordedWorker& known : recorded) {
    Worker& worker = AddWorker(c.fleet, known.info.id);
    if (worker.info.id.empty()) {
      worker.info = known.info;
      worker.listed = false;
    }
    worker.cordoned = known.cordoned;
    worker.cordoned_version = known.cordoned_version;
    worker.recorded = !known.cordoned;
    if (known.restarted_lately) worker.restarted_ms = c.runtime.now();
    if (worker.synced) {
      c.recovery_pending.erase(known.info.id);
    } else if (worker.syncs == 0) {
      Sync(c, worker, 0);
    }
  }
  CountEarlierShares(c);
  CloseCompleted(c);
  for (const auto& [id, job] : c.jobs.jobs) WatchJob(c, *job);
  for (const StoreRow& row : std::exchange(c.early_rows, {})) AdmitRow(c, row);
  LoadWaves(c, loading.maintenance);
  c.fleet_dirty = true;
  if (!c.early_fleet.empty()) UpdateFleet(c, c.early_fleet);
  FollowJobs(c, loading.jobs.version);
  RequestSchedule(c);
}

void LoadTable(Controller& c, const std::shared_ptr<Loading>& loading,
               const char* table, StoreAnswer Loading::*target) {
  ReadTable(
      c.store, table,
      Guard(c, [loading, table, target](Controller& self, StoreAnswer answer) {
        if (answer.status != StoreStatus::kOk) {
          Log(LogLevel::kWarning, "records_unreadable",
              {F("table", table),
               F("status", NameOf(kStoreStatusNames, answer.status))});
          self.runtime.after(
              kLoadRetryMs,
              Guard(self, [loading, table, target](Controller& later) {
                LoadTable(later, loading, table, target);
              }));
          return;
        }
        (*loading).*target = std::move(answer);
        if (--loading->missing == 0) OnLoaded(self, *loading);
      }));
}

/// Marks the runs of a worker as lost if its lease expired without an answer
/// from it.
void CheckLeaseExpiry(Controller& c, Worker& worker) {
  if (worker.reachable) return;
  if (worker.runs.empty() && worker.orphans.empty()) return;
  // If another daemon has taken over since the store last confirmed the
  // ownership, it may have renewed the lease.
  const TimeMs now_ms = std::min(c.runtime.now(), c.confirmed_ms);
  // A worker that has not answered since its restart has listed no run.
  const bool answered = worker.clock_ms != 0;
  if (answered && now_ms < worker.lease_expires_ms) return;
  const bool all = now_ms >= worker.unlisted_expire_ms;
  const bool any_listed =
      std::any_of(worker.runs.begin(), worker.runs.end(),
                  [](const auto& entry) { return entry.second.listed; });
  if (!all && !any_listed && worker.orphans.empty()) return;
  LapseRuns(c, worker, all ? RunSet::kAll : RunSet::kListed);
  RemoveOrphans(c, worker);
  worker.synced = false;
  RequestSchedule(c);
}

/// Whether a start is overdue. A live worker answers an order within a few
/// milliseconds.
bool HasOverdueStart(const Controller& c, const Worker& worker) {
  constexpr TimeMs kOverdueMs = 150;
  return std::any_of(worker.runs.begin(), worker.runs.end(),
                     [&](const auto& entry) {
                       const PlacedRun& run = entry.second;
                       if (run.confirmed || run.stop_wanted) return false;
                       return c.runtime.now() - run.placed_ms > kOverdueMs;
                     });
}

/// Whether a report is overdue: a run should have ended, and the answer to the
/// long-polling sync in flight may have been lost.
bool IsReportOverdue(const Controller& c, const Worker& worker) {
  constexpr TimeMs kHedgeIntervalMs = 350;
  const TimeMs now_ms = c.runtime.now();
  if (worker.syncs == 0 || !worker.reachable) return false;
  if (now_ms - worker.last_hedge_ms < kHedgeIntervalMs) return false;
  return std::any_of(worker.runs.begin(), worker.runs.end(),
                     [&](const auto& entry) {
                       const TimeMs expected_ms = entry.second.expected_end_ms;
                       return expected_ms > 0 && now_ms > expected_ms &&
                              worker.clock_read_ms < expected_ms;
                     });
}

/// Whether a probation is over but the worker has not been heard of since.
bool IsProbationDue(const Controller& c, const Worker& worker) {
  constexpr TimeMs kIntervalMs = 200;
  const TimeMs now_ms = c.runtime.now();
  return worker.reachable && now_ms >= worker.probation_until_ms &&
         worker.heard_ms < worker.probation_until_ms &&
         now_ms - worker.last_hedge_ms >= kIntervalMs;
}

/// Whether the next sync is due.
bool IsSyncDue(const Controller& c, const Worker& worker) {
  // An unreachable worker gets a second sync beside one that may wait for long.
  constexpr uint32_t kMaxSyncs = 2;
  const uint32_t limit = worker.reachable ? 1 : kMaxSyncs;
  return worker.syncs < limit && c.runtime.now() >= worker.next_sync_ms;
}

bool IsErasable(const Controller& c, const Worker& worker) {
  // The worker counts the answers to its syncs in flight.
  return !worker.listed && worker.syncs == 0 && worker.runs.empty() &&
         worker.orphans.empty() && !c.recovery_pending.contains(worker.info.id);
}

void CheckWorkers(Controller& c) {
  const TimeMs now_ms = c.runtime.now();
  for (auto it = c.fleet.workers.begin(); it != c.fleet.workers.end();) {
    Worker& worker = (it++)->second;
    CheckLeaseExpiry(c, worker);
    worker.overdue = HasOverdueStart(c, worker);
    if (c.loaded && IsErasable(c, worker)) {
      const std::string id = worker.info.id;
      if (worker.cordoned) NoteLoss(c, worker);
      Log(LogLevel::kInfo, "worker_removed", {F("worker", id)});
      c.fleet_dirty = true;
      RemoveWorker(c.fleet, id);
      continue;
    }
    if (IsSyncDue(c, worker)) {
      Sync(c, worker, worker.runs.empty() ? 0 : c.options.sync_wait_ms);
    } else if (IsReportOverdue(c, worker) || IsProbationDue(c, worker)) {
      worker.last_hedge_ms = now_ms;
      c.stats.hedged_syncs++;
      Sync(c, worker, 0);
    }
  }
}

void CheckRecovery(Controller& c) {
  if (!c.loaded || c.recovery_pending.empty()) return;
  if (!c.hears_most_daemons && c.runtime.now() < c.split_deadline_ms) {
    SetRecoveryDeadlines(c);
    return;
  }
  // As for leases: a newer owner may have renewed them since.
  const TimeMs now_ms = std::min(c.runtime.now(), c.confirmed_ms);
  if (now_ms < c.recovery_deadline_ms) return;
  const size_t waited_out = std::erase_if(
      c.recovery_pending,
      [&](const std::pair<const std::string, uint64_t>& it) {
        const bool longest = c.pending_longest_lease.contains(it.first);
        if (longest && now_ms < c.longest_lease_deadline_ms) return false;
        Log(LogLevel::kWarning, "worker_waited_out",
            {F("worker", it.first), F("epoch", c.epoch),
             F("jobs_up_to_version", it.second), F("longest_lease", longest),
             F("hears_most_daemons", c.hears_most_daemons),
             F("daemons", c.log->row().members)});
        return true;
      });
  if (waited_out > 0) RequestSchedule(c);
}

/// Logs the load once a second, so that a slow owner can be told from slow
/// workers.
void LogLoad(Controller& c) {
  constexpr TimeMs kLoadIntervalMs = 1'000;
  OwnerLoad& load = c.load;
  const TimeMs now_ms = c.runtime.now();
  if (load.last_tick_ms > 0) {
    load.max_lag_ms =
        std::max(load.max_lag_ms, now_ms - load.last_tick_ms - kTickMs);
  }
  load.last_tick_ms = now_ms;
  if (now_ms - load.logged_ms < kLoadIntervalMs) return;
  Log(LogLevel::kInfo, "owner_load",
      {F("epoch", c.epoch), F("open_jobs", c.jobs.jobs.size()),
       F("watched_jobs", c.watched.size()),
       F("waiting_steps", load.waiting_steps),
       F("unplaced_tasks", load.unplaced_tasks), F("passes", load.passes),
       F("searches", load.searches), F("pass_ms", load.pass_ms),
       F("max_pass_ms", load.max_pass_ms), F("max_lag_ms", load.max_lag_ms),
       F("starts", c.stats.starts), F("syncs", c.stats.syncs),
       F("permit_requests", c.stats.requests),
       F("orders_in_doubt", c.stats.orders_in_doubt),
       F("misplaced_runs", c.stats.misplaced_runs)});
  load = OwnerLoad();
  load.logged_ms = now_ms;
  load.last_tick_ms = now_ms;
}

void NoteSuspension(Controller& c) {
  const bool suspended = IsSuspended(c);
  if (c.was_suspended == suspended) return;
  c.was_suspended = suspended;
  Log(LogLevel::kWarning, suspended ? "owner_isolated" : "owner_reconnected",
      {F("epoch", c.epoch)});
}

/// Wraps the sending of one kind of order. One that a suspended owner does not
/// send is answered so, and repeated like any unsent order.
template <class Order>
void SendUnlessSuspended(Controller& c,
                         std::function<void(const WorkerAddress&, const Order&,
                                            OrderCallback)>& send) {
  send = [weak = c.weak_from_this(), direct = std::move(send)](
             const WorkerAddress& worker, const Order& order,
             OrderCallback done) {
    const ControllerPtr self = weak.lock();
    if (!self) return;
    if (!IsSuspended(*self)) {
      direct(worker, order, std::move(done));
      return;
    }
    self->runtime.after(0, [done = std::move(done)] {
      done({OrderStatus::kNotSent, 0});
    });
  };
}

void Tick(Controller& c) {
  c.runtime.after(kTickMs, Guard(c, [](Controller& self) { Tick(self); }));
  LogLoad(c);
  NoteSuspension(c);
  if (IsSuspended(c)) return;
  c.confirmed_ms = c.runtime.now();
  if (c.update_membership) c.update_membership(c);
  CheckWorkers(c);
  CheckRecovery(c);
  CheckMaintenance(c);
  CompactOutcomes(c);
  UpdateRunTimes(c);
  FlushProgress(c);
  RequestSchedule(c);
}

}  // namespace

void StartController(Controller& c) {
  c.takeover_version = c.log->row().version;
  c.started_ms = c.runtime.now();
  SendUnlessSuspended(c, c.port.start);
  SendUnlessSuspended(c, c.port.stop);
  SendUnlessSuspended(c, c.port.pace);
  const auto loading = std::make_shared<Loading>();
  LoadTable(c, loading, kJobTable, &Loading::jobs);
  LoadTable(c, loading, kProgressTable, &Loading::progress);
  LoadTable(c, loading, kFleetTable, &Loading::fleet);
  LoadTable(c, loading, kMaintenanceTable, &Loading::maintenance);
  ReadRunTimes(c);
  Tick(c);
}

void StopController(Controller& c) { c.stopped = true; }

bool IsSuspended(const Controller& c) {
  return c.acts_until && c.runtime.now() > c.acts_until();
}

void AddPermitClient(Controller& c, const std::string& name,
                     PermitPort request) {
  c.permit_clients[name] = PermitClient{name, std::move(request), 0, 0, 0};
  RequestSchedule(c);
}

void RemovePermitClient(Controller& c, const std::string& name) {
  c.permit_clients.erase(name);
}

}  // namespace dotterelcove::workflow
