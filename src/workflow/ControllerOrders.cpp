// Start and stop orders to workers and the handling of their answers.
#include <algorithm>
#include <utility>

#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"

namespace dotterelcove::workflow {
namespace {

constexpr TimeMs kStopRetryMs = 150;
/// Unanswered stops are retried with linear backoff, up to this multiple of
/// `kStopRetryMs`.
constexpr TimeMs kMaxStopBackoff = 6;
/// How long nothing is placed on a worker that refused a start for lack of
/// room.
constexpr TimeMs kNoRoomPauseMs = 250;
constexpr TimeMs kUnhealthyPauseMs = 800;
constexpr TimeMs kMalformedPauseMs = 5'000;

/// Identifies one run on one incarnation of a worker, to match a later answer.
struct RunKey {
  std::string worker;
  uint64_t incarnation = 0;
  std::string task;
  uint32_t run = 0;
  /// Fencing token of the order.
  uint64_t token = 0;
  /// The least that the worker's clock can have shown when the order was sent,
  /// 0 for unknown.
  int64_t least_clock_ms = 0;
};

struct FoundRun {
  Worker* worker = nullptr;
  PlacedRun* run = nullptr;
};

FoundRun FindRun(Controller& c, const RunKey& key) {
  Worker* worker = FindWorker(c.fleet, key.worker);
  if (worker == nullptr) return {};
  if (worker->info.incarnation != key.incarnation) return {};
  const auto run = worker->runs.find(key.task);
  if (run == worker->runs.end() || run->second.run != key.run) return {};
  return {worker, &run->second};
}

/// Reverts the placement after a definite refusal: the task waits again, for at
/// least `pause_ms`.
void Unplace(Controller& c, const RunKey& key, FoundRun found,
             TimeMs pause_ms) {
  const TaskRef task = found.run->task;
  const uint64_t gang = found.run->gang;
  RemoveRun(*found.worker, key.task);
  TaskState& state = TaskOf(task);
  if (state.worker == key.worker) {
    ReleaseTask(c, task);
    state.not_before_ms = c.runtime.now() + pause_ms;
  }
  if (gang != 0) StopGang(c, *task.job, gang, "gang_incomplete");
  EraseIfClosed(c, *task.job);
}

/// The least that the clock of the worker's incarnation shows now, 0 for
/// unknown.
int64_t LeastClock(const Controller& c, const Worker& worker) {
  if (worker.clock_ms == 0) return 0;
  const auto since_ms =
      static_cast<double>(c.runtime.now() - worker.clock_read_ms);
  return worker.clock_ms +
         static_cast<int64_t>(since_ms * (1 - c.options.clock_rate_error));
}

/// Whether the answer comes from a later incarnation than the one that the
/// order was meant for: clocks begin anew with each.
bool IsFromLaterIncarnation(const RunKey& key, const OrderAnswer& answer) {
  return answer.clock_ms > 0 && answer.clock_ms < key.least_clock_ms;
}

/// A later incarnation of the worker has begun the run. Its outcome stays
/// unknown, and nothing is placed or acknowledged there, until a sync has shown
/// which incarnation it is.
void OnStartedByLater(Controller& c, const RunKey& key, FoundRun found,
                      const OrderAnswer& answer) {
  Worker& worker = *found.worker;
  LogAlways(
      LogLevel::kWarning, "restart_shown_by_clock",
      {F("worker", key.worker), F("incarnation", key.incarnation),
       F("task", key.task), F("run", key.run), F("clock_ms", answer.clock_ms),
       F("least_clock_ms", key.least_clock_ms)});
  found.run->start_in_doubt = true;
  found.run->syncs_before_doubt = worker.syncs_sent;
  worker.reachable = false;
  Sync(c, worker, 0);
}

void OnStarted(Controller& c, const RunKey& key, FoundRun found) {
  PlacedRun& run = *found.run;
  run.start_in_doubt = false;
  if (!run.confirmed) {
    run.confirmed = true;
    run.syncs_before_confirmed = found.worker->syncs_sent;
  }
  TaskState& task = TaskOf(run.task);
  if (task.phase == TaskPhase::kStarting && task.worker == key.worker) {
    SetPhase(StepOf(run.task), task, TaskPhase::kRunning);
    found.worker->run_changes++;
  }
  Job& job = *run.task.job;
  if (!job.started) {
    job.started = true;
    if (c.observe) c.observe("first_start", c.runtime.now() - job.accepted_ms);
  }
  if (job.phase == JobPhase::kQueued) job.phase = JobPhase::kRunning;
  if (IsAckDue(*found.worker)) SyncStoredEnds(c, *found.worker);
}

void OnStartAnswer(Controller& c, const RunKey& key,
                   const OrderAnswer& answer) {
  if (answer.status == OrderStatus::kFenced) {
    OnTokenRejected(c, key.worker, key.token);
    return;
  }
  const FoundRun found = FindRun(c, key);
  if (found.run == nullptr) return;
  Worker& worker = *found.worker;
  const bool is_heard = answer.status != OrderStatus::kUnknown &&
                        answer.status != OrderStatus::kNotSent &&
                        answer.status != OrderStatus::kOtherIncarnation;
  if (is_heard) worker.heard_ms = c.runtime.now();
  if (c.observe) {
    c.observe("start_order", c.runtime.now() - found.run->placed_ms);
  }
  if (answer.status == OrderStatus::kOk) {
    if (IsFromLaterIncarnation(key, answer)) {
      OnStartedByLater(c, key, found, answer);
    } else {
      OnStarted(c, key, found);
    }
    return;
  }
  LogAlways(LogLevel::kWarning, "start_refused",
            {F("task", key.task), F("run", key.run), F("worker", key.worker),
             F("status", NameOf(kOrderStatusNames, answer.status)),
             F("incarnation", key.incarnation), F("token", key.token),
             F("sent_ago_ms", c.runtime.now() - found.run->placed_ms),
             F("worker_clock_ms", answer.clock_ms),
             F("clock_age_ms", c.runtime.now() - worker.clock_read_ms)});
  const TaskRef task = found.run->task;
  switch (answer.status) {
    case OrderStatus::kOldRun:
      // This very run may be the one that has ended there, with success, by an
      // earlier copy of the order. The report of its end tells.
    case OrderStatus::kUnknown:
      c.stats.orders_in_doubt++;
      found.run->start_in_doubt = true;
      found.run->syncs_before_doubt = worker.syncs_sent;
      // Often only the answer was lost: the next sync shows whether the task
      // runs.
      Sync(c, worker, 0);
      return;
    case OrderStatus::kNoRoom:
      worker.health.quarantined_until_ms = c.runtime.now() + kNoRoomPauseMs;
      Unplace(c, key, found, 0);
      return;
    case OrderStatus::kNoTicket:
      ExpireTicket(StepOf(task).permits, worker.slot);
      Unplace(c, key, found, 0);
      return;
    case OrderStatus::kUnhealthy:
      Quarantine(c, worker, kUnhealthyPauseMs, "unhealthy");
      Unplace(c, key, found, 0);
      return;
    case OrderStatus::kMalformed:
      Unplace(c, key, found, kMalformedPauseMs);
      return;
    case OrderStatus::kLate:
    case OrderStatus::kOtherIncarnation: {
      // Many orders may get this answer: the first one asks.
      const bool is_first = std::exchange(worker.synced, false);
      Unplace(c, key, found, 0);
      if (is_first || worker.syncs == 0) Sync(c, worker, 0);
      return;
    }
    case OrderStatus::kNotSent: {
      const bool is_first = std::exchange(worker.reachable, false);
      Unplace(c, key, found, 0);
      if (is_first || worker.syncs == 0) Sync(c, worker, 0);
      return;
    }
    default:
      Unplace(c, key, found, 0);
      return;
  }
}

void SendStop(Controller& c, const RunKey& key) {
  const FoundRun found = FindRun(c, key);
  if (found.run == nullptr || found.run->stop_in_flight) return;
  if (found.run->stop_answered) return;
  found.run->stop_in_flight = true;
  found.run->stops_sent++;
  c.stats.stops++;
  c.port.stop(
      AddressOf(*found.worker), {key.task, key.run, key.token},
      Guard(c, [key](Controller& self, const OrderAnswer& answer) {
        if (answer.status == OrderStatus::kFenced) {
          OnTokenRejected(self, key.worker, key.token);
          return;
        }
        const FoundRun again = FindRun(self, key);
        if (again.run == nullptr) return;
        again.run->stop_in_flight = false;
        const bool answered = answer.status == OrderStatus::kOk ||
                              answer.status == OrderStatus::kOldRun;
        if (answered) {
          again.run->stop_answered = true;
          again.run->syncs_before_stopped = again.worker->syncs_sent;
          // If the start was in doubt, only a new sync shows whether the run
          // existed. Otherwise its end comes with the sync in flight.
          if (again.run->start_in_doubt) Sync(self, *again.worker, 0);
          return;
        }
        Log(LogLevel::kWarning, "stop_unanswered",
            {F("task", key.task), F("run", key.run), F("worker", key.worker),
             F("status", NameOf(kOrderStatusNames, answer.status))});
        const TimeMs retry_ms =
            kStopRetryMs *
            std::min<TimeMs>(again.run->stops_sent, kMaxStopBackoff);
        self.runtime.after(retry_ms, Guard(self, [key](Controller& later) {
                             SendStop(later, key);
                           }));
      }));
}

}  // namespace

void PlaceTask(Controller& c, const TaskPlacement& placement) {
  Worker& worker = *placement.worker;
  TaskState& task = TaskOf(placement.task);
  const TimeMs now_ms = c.runtime.now();
  SetPhase(StepOf(placement.task), task, TaskPhase::kStarting);
  task.run = placement.run;
  task.worker = worker.info.id;
  task.started_ms = now_ms;
  task.percent = 0;
  task.progress_ms = now_ms;
  PlacedRun run;
  run.task = placement.task;
  run.run = placement.run;
  run.size = SizeOnWorker(SpecOf(placement.task));
  run.token = TokenFor(c, worker);
  run.placed_ms = now_ms;
  const TimeMs longest_ms = LongestRunMs(c, worker, placement.task);
  run.expected_end_ms = longest_ms > 0 ? now_ms + longest_ms : 0;
  run.is_resumed = !placement.checkpoint.empty();
  run.gang = placement.gang;
  if (IsSuspect(placement.task)) {
    run.on_probation = HaveAllSurvivedStart(worker);
    worker.probation_until_ms = now_ms + kProbationMs;
    // The probation may be over before the next pass.
    worker.room_gains++;
  }
  const std::string name = MakeTaskName(placement.task);
  const bool was_idle = worker.runs.empty();
  AddRun(worker, name, run);
  c.stats.starts++;
  const RunKey key{worker.info.id, worker.info.incarnation, name, placement.run,
                   run.token,      LeastClock(c, worker)};
  StartOrder order;
  order.task = name;
  order.run = placement.run;
  order.payload = placement.task.job->spec.payload;
  order.lease_end_clock_ms = MakeLeaseEnd(c, worker);
  order.token = key.token;
  order.checkpoint = placement.checkpoint;
  order.ticket = placement.ticket;
  c.port.start(AddressOf(worker), order,
               Guard(c, [key](Controller& self, const OrderAnswer& answer) {
                 OnStartAnswer(self, key, answer);
               }));
  // A worker with tasks is synced continuously, an idle one only every
  // `idle_sync_ms`.
  if (was_idle && worker.syncs == 0) Sync(c, worker, c.options.sync_wait_ms);
}

void StopRun(Controller& c, Worker& worker, const std::string& name,
             const char* reason) {
  const auto found = worker.runs.find(name);
  if (found == worker.runs.end() || found->second.stop_wanted) return;
  PlacedRun& run = found->second;
  run.stop_wanted = true;
  run.stop_reason = reason;
  worker.run_changes++;
  TaskState& task = TaskOf(run.task);
  if (task.worker == worker.info.id && task.phase != TaskPhase::kDone) {
    SetPhase(StepOf(run.task), task, TaskPhase::kStopping);
  }
  Log(LogLevel::kInfo, "task_stopping",
      {F("task", name), F("run", run.run), F("worker", worker.info.id),
       F("reason", reason)});
  SendStop(c, {worker.info.id, worker.info.incarnation, name, run.run,
               TokenFor(c, worker)});
}

void StopUnlisted(Controller& c, Worker& worker) {
  worker.run_changes++;
  std::vector<RunKey> keys;
  for (auto& [name, run] : worker.runs) {
    if (!IsLeaving(worker) && !run.crash) {
      run.crash = PhaseAtCrash(worker, run);
      run.crash_heard_ms = worker.heard_ms;
    }
    run.start_in_doubt = true;
    run.stop_wanted = true;
    run.stop_in_flight = false;
    run.stop_answered = false;
    TaskState& task = TaskOf(run.task);
    if (task.phase != TaskPhase::kDone) {
      SetPhase(StepOf(run.task), task, TaskPhase::kStopping);
    }
    keys.push_back({worker.info.id, worker.info.incarnation, name, run.run,
                    TokenFor(c, worker)});
  }
  for (const RunKey& key : keys) SendStop(c, key);
}

void StopJob(Controller& c, Job& job, const char* reason) {
  // A copy, since the answer to a stop may remove runs.
  const std::vector<RunLocation> placed = job.placed;
  for (const RunLocation& at : placed) StopRun(c, *at.worker, at.task, reason);
}

void StopGang(Controller& c, const Job& job, uint64_t gang,
              const char* reason) {
  const std::vector<RunLocation> placed = job.placed;
  for (const RunLocation& at : placed) {
    const auto run = at.worker->runs.find(at.task);
    if (run == at.worker->runs.end() || run->second.gang != gang) continue;
    StopRun(c, *at.worker, at.task, reason);
  }
}

}  // namespace dotterelcove::workflow
