// Workers: syncs that renew leases and report ends, loss and return of workers.
#include <algorithm>
#include <cassert>
#include <utility>

#include "base/Hash.h"
#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"
#include "workflow/Pacing.h"

namespace dotterelcove::workflow {
namespace {

constexpr TimeMs kSyncRetryMs = 120;
constexpr TimeMs kUnackedSyncDelayMs = 250;
/// A task without reported progress for this long is stalled and is started
/// elsewhere. The timeout is a fraction of the estimate, and at least this.
constexpr TimeMs kStallTimeoutMs = 2'200;
constexpr double kStallEstimateShare = 0.12;
/// Upper limit of one quarantine.
constexpr TimeMs kMaxQuarantineMs = 8'000;
constexpr TimeMs kLeaseExpiryMarginMs = 120;
/// Sync interval of a worker whose fillers are paced.
constexpr TimeMs kPacingSyncMs = 450;

/// The time to wait for the end of a lease of `lease_ms` on a worker's clock.
TimeMs LeaseWaitMs(const Controller& c, TimeMs lease_ms) {
  return static_cast<TimeMs>(static_cast<double>(lease_ms) *
                             (1 + c.options.clock_rate_error)) +
         kLeaseExpiryMarginMs;
}

void UpdateClock(Controller& c, Worker& worker, int64_t clock_ms) {
  if (clock_ms <= 0) return;
  worker.clock_ms = clock_ms;
  worker.clock_read_ms = c.runtime.now();
  // Calls from before this first answer, by a predecessor or for an earlier
  // incarnation, may have given any lease. Later ones are refused by their
  // fencing token.
  if (worker.lease_end_clock_ms == 0) {
    worker.lease_end_clock_ms = clock_ms + c.options.max_lease_ms;
  }
  worker.lease_expires_ms = LeaseExpiryTime(c, worker);
}

void ReceiveEnd(Controller& c, Worker& worker, const ReportedEnd& end) {
  if (end.number <= worker.seen) return;
  if (end.number != worker.seen + 1 && worker.seen > 0) {
    LogAlways(LogLevel::kError, "ends_missing",
              {F("worker", worker.info.id), F("seen", worker.seen),
               F("next", end.number)});
  }
  worker.seen = end.number;
  ApplyReportedEnd(c, worker, end);
}

bool IsStalled(const Controller& c, const Worker& worker, const TaskRef& ref) {
  const TaskState& task = TaskOf(ref);
  const StepSpec& spec = SpecOf(ref);
  if (spec.filler) return false;
  if (spec.long_running && task.percent >= 100) return false;
  const TimeMs expected_ms =
      std::max(spec.estimate_ms, ExpectedMsOn(worker, ref));
  const TimeMs limit_ms = std::max(
      kStallTimeoutMs, static_cast<TimeMs>(kStallEstimateShare *
                                           static_cast<double>(expected_ms)));
  return c.runtime.now() - task.progress_ms > limit_ms;
}

/// The expected end by the progress so far, 0 for unknown.
TimeMs ProjectEnd(const Controller& c, const TaskRef& ref, int percent) {
  constexpr int kMinPercent = 5;
  constexpr TimeMs kSlackMs = 80;
  if (SpecOf(ref).long_running || percent < kMinPercent) return 0;
  const TimeMs ran_ms = c.runtime.now() - TaskOf(ref).started_ms;
  const TimeMs remaining_ms = ran_ms * (100 - percent) / percent;
  return c.runtime.now() + remaining_ms + remaining_ms / 8 + kSlackMs;
}

/// Logs a run that a sync lists for the first time although its worker lacks
/// the label that its step requires, or has more of the step's runs than its
/// limit. The owner has decided on wrong beliefs, or the start was carried out
/// by another incarnation than the one that it was meant for.
void LogMisplaced(Controller& c, const Worker& worker, const PlacedRun& run,
                  const std::string& name) {
  const StepSpec& spec = SpecOf(run.task);
  // A worker that only the fleet row has named so far has no labels.
  const bool has_entry = worker.entry_read_ms >= 0 && !worker.entry_outdated;
  const bool lacks_label = has_entry && !spec.required_label.empty() &&
                           !worker.info.labels.contains(spec.required_label);
  uint32_t beside = 0;
  if (spec.max_per_worker > 0) {
    beside = CountRunsOfStep(worker, run.task);
  }
  if (!lacks_label && beside <= spec.max_per_worker) return;
  c.stats.misplaced_runs++;
  LogAlways(LogLevel::kError, "run_misplaced",
            {F("task", name), F("run", run.run), F("worker", worker.info.id),
             F("incarnation", worker.info.incarnation), F("epoch", c.epoch),
             F("token", run.token), F("adopted", run.is_adopted),
             F("placed_ago_ms", c.runtime.now() - run.placed_ms),
             F("requires", lacks_label ? spec.required_label : std::string()),
             F("runs_of_step", beside), F("limit", spec.max_per_worker)});
}

void UpdateRun(Controller& c, Worker& worker, const ReportedRun& reported,
               PlacedRun& run) {
  if (run.run != reported.run) return;
  const TaskRef ref = run.task;
  TaskState& task = TaskOf(ref);
  if (run.start_in_doubt) {
    LogAlways(LogLevel::kInfo, "doubtful_start_found",
              {F("task", reported.task), F("run", reported.run),
               F("worker", worker.info.id)});
  }
  run.start_in_doubt = false;
  if (!std::exchange(run.listed, true)) {
    LogMisplaced(c, worker, run, reported.task);
  }
  run.usage = reported.usage;
  constexpr TimeMs kSurvivedMs = 5'000;
  const bool lasts = SpecOf(ref).long_running || SpecOf(ref).gang;
  if (lasts && c.runtime.now() - run.placed_ms >= kSurvivedMs) {
    ForgetCrashes(c, ref);
  }
  if (!run.confirmed) {
    run.confirmed = true;
    // A sync under way may have been handled before the run began, even if its
    // answer arrives after this one.
    run.syncs_before_confirmed = worker.syncs_sent;
    if (task.phase == TaskPhase::kStarting) {
      SetPhase(StepOf(ref), task, TaskPhase::kRunning);
    }
    worker.run_changes++;
    ref.job->started = true;
  }
  if (!reported.checkpoint.empty()) task.checkpoint = reported.checkpoint;
  run.expected_end_ms = ProjectEnd(c, ref, reported.percent);
  if (reported.percent != task.percent) {
    task.percent = reported.percent;
    task.progress_ms = c.runtime.now();
  }
  if (run.stop_wanted || task.phase != TaskPhase::kRunning) return;
  if (run.gang != 0 || !IsStalled(c, worker, ref)) return;
  AvoidWorker(c, task, worker.info.id);
  constexpr TimeMs kStallQuarantineMs = 3'000;
  Quarantine(c, worker, kStallQuarantineMs, "task_stands_still");
  StopRun(c, worker, reported.task, "no_progress");
}

void ApplyReportedRuns(Controller& c, Worker& worker,
                       const std::vector<ReportedRun>& running) {
  std::string adopted;
  for (const ReportedRun& reported : running) {
    const auto held = worker.runs.find(reported.task);
    if (held != worker.runs.end()) {
      UpdateRun(c, worker, reported, held->second);
      continue;
    }
    if (!HandleUnplacedRun(c, worker, reported)) continue;
    LogMisplaced(c, worker, worker.runs.at(reported.task), reported.task);
    if (!adopted.empty()) adopted += " ";
    adopted += reported.task + ":" + std::to_string(reported.run) + "/" +
               std::to_string(reported.percent);
  }
  if (adopted.empty()) return;
  LogAlways(LogLevel::kInfo, "tasks_adopted",
            {F("worker", worker.info.id), F("tasks", adopted)});
}

/// Why a run that a worker does not list has ended or will never begin.
enum class AbsenceProof : uint8_t {
  /// The sync was sent after the worker had answered the stop.
  kStopAnswered,
  /// The sync was sent after the worker had confirmed the start.
  kStartConfirmed,
  /// The sync has a higher token than the start, which the worker refuses from
  /// then on.
  kTokenRaised,
};
constexpr auto kAbsenceProofNames = MakeNameTable<AbsenceProof>(
    {{AbsenceProof::kStopAnswered, "stop_answered"},
     {AbsenceProof::kStartConfirmed, "start_confirmed"},
     {AbsenceProof::kTokenRaised, "token_raised"}});

/// Null if the run may still be there although the answer to `sync` does not
/// list it.
std::optional<AbsenceProof> FindAbsenceProof(const Controller& c,
                                             const Worker& worker,
                                             const PlacedRun& run,
                                             uint64_t sync) {
  if (run.stop_answered && run.syncs_before_stopped < sync) {
    return AbsenceProof::kStopAnswered;
  }
  if (run.confirmed && run.syncs_before_confirmed < sync &&
      !run.start_in_doubt) {
    return AbsenceProof::kStartConfirmed;
  }
  if (!run.listed && run.token < TokenFor(c, worker)) {
    return AbsenceProof::kTokenRaised;
  }
  return std::nullopt;
}

/// Removes runs that are certainly not on the worker. How they ended is not
/// known any more.
void DropAbsentRuns(Controller& c, Worker& worker, const SyncAnswer& answer,
                    uint64_t sync) {
  std::set<std::string> listed;
  for (const ReportedRun& run : answer.running) listed.insert(run.task);
  std::vector<std::pair<std::string, AbsenceProof>> absent;
  for (const auto& [name, run] : worker.runs) {
    if (listed.contains(name)) continue;
    const auto proof = FindAbsenceProof(c, worker, run, sync);
    if (proof) absent.emplace_back(name, *proof);
  }
  for (const auto& [name, proof] : absent) {
    const TaskRef task = worker.runs[name].task;
    const uint64_t gang = worker.runs[name].gang;
    LogAlways(
        LogLevel::kInfo, "run_absent",
        {F("task", name), F("run", worker.runs[name].run),
         F("worker", worker.info.id), F("incarnation", worker.info.incarnation),
         F("sync", sync), F("reason", NameOf(kAbsenceProofNames, proof)),
         F("epoch", c.epoch), F("token", worker.runs[name].token),
         F("placed_ago_ms", c.runtime.now() - worker.runs[name].placed_ms)});
    const uint32_t number = worker.runs[name].run;
    const std::optional<CrashPhase> crash = worker.runs[name].crash;
    const TimeMs heard_ms = worker.runs[name].crash_heard_ms;
    RemoveRun(worker, name);
    if (TaskOf(task).worker == worker.info.id) {
      ReleaseTask(c, task);
      if (crash) {
        RecordCrash(c, task, number, *crash, {AddressOf(worker), heard_ms});
      }
    }
    if (gang != 0) StopGang(c, *task.job, gang, "gang_member_absent");
    EraseIfClosed(c, *task.job);
  }
  std::vector<std::string> gone;
  for (const auto& [task, orphan] : worker.orphans) {
    if (!listed.contains(task)) gone.push_back(task);
  }
  for (const std::string& task : gone) RemoveOrphan(c, worker, task);
}

/// Stops runs whose start was not answered and that a later sync does not list,
/// because the start may still take effect. `sync` is 0 if the worker does not
/// answer syncs.
void StopUnansweredStarts(Controller& c, Worker& worker, uint64_t sync) {
  std::vector<std::string> names;
  for (const auto& [name, run] : worker.runs) {
    if (!run.start_in_doubt || run.stop_wanted) continue;
    if (sync == 0 || run.syncs_before_doubt < sync) names.push_back(name);
  }
  for (const std::string& name : names) {
    const auto found = worker.runs.find(name);
    if (found == worker.runs.end()) continue;
    if (found->second.gang != 0) {
      StopGang(c, *found->second.task.job, found->second.gang,
               "start_unanswered");
    } else {
      StopRun(c, worker, name, "start_unanswered");
    }
  }
}

/// What runs on the worker is known, so no job waits for it any longer.
void EndRecoveryOf(Controller& c, const Worker& worker) {
  if (c.recovery_pending.erase(worker.info.id) == 0) return;
  if (!c.recovery_pending.empty()) return;
  Log(LogLevel::kInfo, "recovery_complete", {F("epoch", c.epoch)});
  RequestSchedule(c);
}

void OnSynced(Controller& c, Worker& worker) {
  if (!worker.synced) {
    Log(LogLevel::kInfo, "worker_synced",
        {F("worker", worker.info.id), F("runs", worker.runs.size())});
    RequestSchedule(c);
  }
  worker.synced = true;
  UncordonWorker(c, worker);
  EndRecoveryOf(c, worker);
}

/// How long an idle worker is not asked. Differs from sync to sync in a large
/// fleet: after a takeover, 2,600 of 3,000 workers were asked in the same 100
/// ms of each 2.5 s otherwise.
TimeMs IdleSyncDelayMs(const Controller& c, const Worker& worker) {
  constexpr size_t kLargeFleet = 150;
  constexpr TimeMs kSpreadShare = 5;
  const TimeMs delay_ms = c.options.idle_sync_ms;
  const TimeMs spread_ms = delay_ms / kSpreadShare;
  if (c.fleet.workers.size() < kLargeFleet || spread_ms <= 0) return delay_ms;
  const uint64_t drawn =
      Hash64(worker.info.id + std::to_string(worker.syncs_sent));
  return delay_ms -
         static_cast<TimeMs>(drawn % static_cast<uint64_t>(spread_ms));
}

void ContinueSyncing(Controller& c, Worker& worker) {
  if (worker.syncs > 0) return;
  const bool is_ack_withheld = IsAckDue(worker) && HasUnconfirmedStart(worker);
  if (worker.seen > worker.acked || is_ack_withheld) {
    // A worker answers immediately while it holds unacknowledged ends, so the
    // next sync waits for their commit or for the answer to the start, but no
    // longer than this: the store may be down.
    worker.next_sync_ms = c.runtime.now() + kUnackedSyncDelayMs;
    return;
  }
  if (!worker.runs.empty() || !worker.orphans.empty()) {
    Sync(c, worker,
         NeedsPacing(worker) ? kPacingSyncMs : c.options.sync_wait_ms);
    return;
  }
  worker.next_sync_ms = c.runtime.now() + IdleSyncDelayMs(c, worker);
}

void OnSyncFailed(Controller& c, Worker& worker, OrderStatus status) {
  worker.sync_failures++;
  if (worker.reachable) {
    Log(LogLevel::kWarning, "worker_unreachable",
        {F("worker", worker.info.id),
         F("status", NameOf(kOrderStatusNames, status)),
         F("runs", worker.runs.size()),
         F("incarnation", worker.info.incarnation),
         F("clock_ms", worker.clock_ms),
         F("lease_end_clock_ms", worker.lease_end_clock_ms),
         F("lapses_in_ms", worker.lease_expires_ms - c.runtime.now()),
         F("unlisted_lapse_in_ms",
           worker.unlisted_expire_ms - c.runtime.now())});
  }
  worker.reachable = false;
  CordonWorker(c, worker);
  StopUnansweredStarts(c, worker, 0);
  if (status == OrderStatus::kOtherIncarnation) {
    worker.synced = false;
    OnWorkerGone(c, worker);
    EndRecoveryOf(c, worker);
  }
  // Not much longer each time: once another worker answers at the address, the
  // runs of this one are known to be gone.
  const TimeMs delay_ms =
      kSyncRetryMs * std::min<TimeMs>(worker.sync_failures, 2);
  worker.next_sync_ms = c.runtime.now() + delay_ms;
}

/// What identifies a sync when its answer arrives.
struct SentSync {
  std::string worker;
  uint64_t incarnation = 0;
  uint64_t number = 0;
  uint64_t token = 0;
  uint64_t acked = 0;
  std::string address;
};

void OnSyncAnswer(Controller& c, const SentSync& sent,
                  const SyncAnswer& answer) {
  Worker* found = FindWorker(c.fleet, sent.worker);
  if (found == nullptr) return;
  Worker& worker = *found;
  assert(worker.syncs > 0);
  worker.syncs--;
  if (answer.status == OrderStatus::kFenced) {
    OnTokenRejected(c, sent.worker, sent.token);
    return;
  }
  if (answer.status != OrderStatus::kOk) {
    // A failure says nothing about a worker that has restarted or moved since.
    const bool is_current = sent.incarnation == worker.info.incarnation &&
                            sent.address == worker.info.address;
    // The answer to a newer sync takes precedence.
    if (is_current && sent.number > worker.sync_answered) {
      OnSyncFailed(c, worker, answer.status);
    }
    return;
  }
  // An answer overtaken by a newer one is outdated.
  if (sent.number < worker.sync_answered) {
    ContinueSyncing(c, worker);
    return;
  }
  worker.sync_answered = sent.number;
  // The worker was known as another incarnation when the sync was sent, and
  // that one may have answered it.
  if (worker.info.incarnation != sent.incarnation) {
    Sync(c, worker, 0);
    return;
  }
  if (answer.incarnation != 0 && answer.incarnation != sent.incarnation) {
    OnRestarted(c, worker, answer.incarnation, LossEvidence::kSyncAnswer);
    // The new incarnation may be of another kind.
    worker.entry_outdated = true;
    Sync(c, worker, 0);
    return;
  }
  // A relayed sync may have been repeated without its acknowledgment.
  const bool is_acked =
      answer.ended.empty() || answer.ended.front().number > sent.acked;
  if (is_acked) {
    worker.ack_confirmed = std::max(worker.ack_confirmed, sent.acked);
  }
  worker.heard_ms = c.runtime.now();
  worker.reachable = true;
  worker.sync_failures = 0;
  DropLapsedCrashes(c, worker);
  UpdateClock(c, worker, answer.clock_ms);
  for (const ReportedEnd& end : answer.ended) ReceiveEnd(c, worker, end);
  if (c.stopped) return;
  ApplyReportedRuns(c, worker, answer.running);
  if (ListsAllEnds(answer)) {
    StopUnansweredStarts(c, worker, sent.number);
    DropAbsentRuns(c, worker, answer, sent.number);
    OnSynced(c, worker);
  }
  PaceFillers(c, worker);
  FlushProgress(c);
  ContinueSyncing(c, worker);
}

}  // namespace

void ApplyReportedEnd(Controller& c, Worker& worker, const ReportedEnd& end) {
  RemoveOrphan(c, worker, end.task);
  TaskName name;
  if (!ParseTaskName(end.task, name)) {
    Log(LogLevel::kWarning, "end_of_unknown_task",
        {F("task", end.task), F("worker", worker.info.id)});
    return;
  }
  const auto held = worker.runs.find(end.task);
  const bool is_held = held != worker.runs.end() && held->second.run == end.run;
  uint64_t gang = 0;
  if (is_held) {
    gang = held->second.gang;
    if (end.end == RunEnd::kAlone) {
      Log(LogLevel::kWarning, "gang_start_timed_out",
          {F("task", end.task), F("run", end.run)});
    }
    if (end.end == RunEnd::kDone) RecordRunTime(c, worker, held->second);
    RemoveRun(worker, end.task);
  }
  const TaskRef task = FindReportedTask(c, name);
  if (task.job == nullptr) {
    DeferEnd(c, worker, end);
    return;
  }
  const bool holds = is_held && TaskOf(task).worker == worker.info.id;
  ApplyEnd(c, task, end, worker.info.id, holds);
  if (gang != 0 && end.end != RunEnd::kDone) {
    StopGang(c, *task.job, gang, "gang_member_ended");
  }
  EraseIfClosed(c, *task.job);
  RequestSchedule(c);
}

bool IsAckDue(const Worker& worker) {
  return worker.reachable && worker.acked > worker.ack_confirmed;
}

void SyncStoredEnds(Controller& c, Worker& worker) {
  if (worker.syncs > 0) return;
  if (HasUnconfirmedStart(worker)) {
    worker.next_sync_ms = c.runtime.now() + kUnackedSyncDelayMs;
    return;
  }
  Sync(c, worker, worker.runs.empty() ? 0 : c.options.sync_wait_ms);
}

uint64_t TokenFor(const Controller& c, const Worker& worker) {
  // More than the restarts that one owner can notice.
  constexpr uint64_t kTokensPerEpoch = 1U << 20U;
  return c.epoch * kTokensPerEpoch + worker.token_increment;
}

void OnTokenRejected(Controller& c, const std::string& worker, uint64_t token) {
  const Worker* found = FindWorker(c.fleet, worker);
  if (found == nullptr) return;
  if (token >= TokenFor(c, *found)) {
    c.fenced();
    return;
  }
  Log(LogLevel::kInfo, "late_call_refused",
      {F("worker", worker), F("token", token),
       F("current", TokenFor(c, *found))});
}

void OnRestarted(Controller& c, Worker& worker, uint64_t incarnation,
                 LossEvidence evidence) {
  LogAlways(LogLevel::kWarning, "worker_restarted",
            {F("worker", worker.info.id), F("runs_lost", worker.runs.size()),
             F("incarnation", incarnation),
             F("previous_incarnation", worker.info.incarnation),
             F("evidence", NameOf(kLossEvidenceNames, evidence)),
             F("epoch", c.epoch), F("token_increment", c.worker_restarts + 1)});
  NoteLoss(c, worker);
  RecordLapsedCrashes(c, worker);
  const RunLoss loss =
      IsLeaving(worker) ? RunLoss::kWorkerLeft : RunLoss::kCrash;
  MarkRunsLost(c, worker, {loss, evidence}, RunSet::kListed);
  ReplaceIncarnation(worker, incarnation);
  worker.restarted_ms = c.runtime.now();
  // The predecessor may have called it for its earlier incarnation.
  if (c.recovery_pending.contains(worker.info.id)) {
    c.pending_longest_lease.insert(worker.info.id);
  }
  worker.token_increment = ++c.worker_restarts;
  RemoveOrphans(c, worker);
  worker.deferred_ends.clear();
  worker.seen = 0;
  worker.acked = 0;
  worker.ack_confirmed = 0;
  worker.clock_ms = 0;
  worker.lease_end_clock_ms = 0;
  worker.synced = false;
  worker.health = WorkerHealth();
  c.fleet_dirty = true;
  StopUnlisted(c, worker);
}

TimeMs LeaseExpiryTime(const Controller& c, const Worker& worker) {
  const int64_t left_ms =
      std::max<int64_t>(worker.lease_end_clock_ms - worker.clock_ms, 0);
  return worker.clock_read_ms + LeaseWaitMs(c, left_ms);
}

int64_t MakeLeaseEnd(Controller& c, Worker& worker) {
  if (worker.clock_ms == 0 || IsSuspended(c)) return 0;
  // The lease of a worker that does not answer is not extended: each retry
  // would postpone the time by which its tasks must have ended. Nor is the
  // lease end repeated, since the worker may have restarted.
  if (!worker.reachable) return 0;
  worker.unlisted_expire_ms =
      c.runtime.now() + LeaseWaitMs(c, c.options.max_lease_ms);
  const int64_t clock_ms =
      worker.clock_ms + (c.runtime.now() - worker.clock_read_ms);
  worker.lease_end_clock_ms =
      std::max(worker.lease_end_clock_ms, clock_ms + c.options.lease_ms);
  worker.lease_expires_ms = LeaseExpiryTime(c, worker);
  return clock_ms + c.options.lease_ms;
}

void Sync(Controller& c, Worker& worker, TimeMs wait_ms) {
  if (IsSuspended(c)) return;
  worker.syncs++;
  worker.syncs_sent++;
  SyncOrder order;
  order.token = TokenFor(c, worker);
  // The worker may have restarted, and an old acknowledgment would discard ends
  // of the new incarnation. So each is sent only until it is confirmed, and
  // only while no run can have ended there that no answer has listed.
  const bool is_sent = IsAckDue(worker) && !HasUnconfirmedStart(worker);
  order.acked = is_sent ? worker.acked : 0;
  order.lease_end_clock_ms = MakeLeaseEnd(c, worker);
  // A worker that did not answer must not hold the answer back.
  order.wait_ms = worker.synced && worker.reachable ? wait_ms : 0;
  c.stats.syncs++;
  const SentSync sent{worker.info.id,    worker.info.incarnation,
                      worker.syncs_sent, order.token,
                      order.acked,       worker.info.address};
  c.port.sync(AddressOf(worker), order,
              Guard(c, [sent](Controller& self, const SyncAnswer& answer) {
                OnSyncAnswer(self, sent, answer);
              }));
}

void MarkRunsLost(Controller& c, Worker& worker, RunLossCause cause,
                  RunSet set) {
  // The runs that the worker is on probation for are gone as well. It may never
  // be heard of again, and would count against the limit of probations.
  worker.probation_until_ms = 0;
  std::vector<std::string> names;
  for (const auto& [name, run] : worker.runs) {
    if (run.listed || set == RunSet::kAll) names.push_back(name);
  }
  for (const std::string& name : names) {
    const auto found = worker.runs.find(name);
    if (found == worker.runs.end()) continue;
    const TaskRef task = found->second.task;
    const uint64_t gang = found->second.gang;
    const uint32_t run = found->second.run;
    const CrashPhase phase = PhaseAtCrash(worker, found->second);
    LogAlways(LogLevel::kWarning, "task_lost",
              {F("task", name), F("run", run), F("worker", worker.info.id),
               F("reason", NameOf(kRunLossNames, cause.loss)),
               F("evidence", NameOf(kLossEvidenceNames, cause.evidence)),
               F("epoch", c.epoch), F("token", found->second.token),
               F("listed", found->second.listed),
               F("placed_ago_ms", c.runtime.now() - found->second.placed_ms),
               F("incarnation", worker.info.incarnation),
               F("clock_ms", worker.clock_ms),
               F("lease_end_clock_ms", worker.lease_end_clock_ms),
               F("sync_age_ms", c.runtime.now() - worker.clock_read_ms)});
    RemoveRun(worker, name);
    const bool was_held = TaskOf(task).worker == worker.info.id;
    if (was_held) ReleaseTask(c, task);
    if (was_held && cause.loss == RunLoss::kCrash) {
      RecordCrash(c, task, run, phase, {AddressOf(worker), worker.heard_ms});
    }
    if (gang != 0) StopGang(c, *task.job, gang, "gang_member_lost");
    EraseIfClosed(c, *task.job);
  }
}

void Quarantine(Controller& c, Worker& worker, TimeMs base_ms,
                const char* reason) {
  const TimeMs now_ms = c.runtime.now();
  if (now_ms < worker.health.quarantined_until_ms) return;
  const uint32_t doublings = std::min<uint32_t>(worker.health.quarantines, 3);
  const TimeMs pause_ms = std::min(base_ms << doublings, kMaxQuarantineMs);
  worker.health.quarantined_until_ms = now_ms + pause_ms;
  worker.health.quarantines++;
  Log(LogLevel::kWarning, "worker_quarantined",
      {F("worker", worker.info.id), F("reason", reason), F("for_ms", pause_ms),
       F("failures", worker.health.failures_in_a_row)});
}

bool IsRecovering(const Controller& c) {
  return !c.loaded || !c.recovery_pending.empty();
}

bool MayHoldLongestLease(const Controller& c, const Worker& worker) {
  if (worker.restarted_ms < 0) return false;
  return c.runtime.now() - worker.restarted_ms <
         LeaseWaitMs(c, c.options.max_lease_ms);
}

}  // namespace dotterelcove::workflow
