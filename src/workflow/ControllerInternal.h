/// Functions shared by the source files of the controller; not for use in other
/// folders.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "workflow/Controller.h"
#include "workflow/Ordering.h"
#include "workflow/PassChanges.h"

namespace dotterelcove::workflow {

/// Wraps a callback so that it does nothing once the controller has stopped.
template <class Function>
auto Guard(Controller& controller, Function function) {
  return [weak = controller.weak_from_this(),
          function = std::move(function)](auto&&... arguments) {
    const ControllerPtr self = weak.lock();
    if (!self || self->stopped) return;
    function(*self, std::forward<decltype(arguments)>(arguments)...);
  };
}

// Schedule.
/// Requests a scheduling pass; requests before it runs are coalesced into one
/// pass.
void RequestSchedule(Controller& controller);
/// Makes the next passes look at the job: it may have tasks to place or permits
/// to request.
void WatchJob(Controller& controller, Job& job);
/// Makes the next passes look at the job without dropping the memos of its
/// steps.
void KeepWatching(Controller& controller, Job& job);
/// Makes the next pass try to place every waiting step, also those that found
/// no room.
void TryAllSteps(Controller& controller);

/// The part of a scheduling pass that concerns one service.
struct ServicePass {
  /// Processors, in thousandths, that work which is not urgent may take of the
  /// reserves of its workers, by their use at the beginning of the pass.
  int64_t initial_reserve_cores = 0;
  /// What it may still take, counted when a step first needs it. What later
  /// steps place beside the reserves is not counted again, so a pass may use
  /// more of them than it should by that much.
  std::optional<int64_t> reserve_cores;
  /// The first in order of the skipped steps that would have needed it.
  std::optional<OrderKey> first_skipped;
  /// Work of the steps that can start, in millicore-milliseconds, as of the
  /// beginning of the pass.
  int64_t waiting_work = 0;
};

/// State of one scheduling pass.
struct SchedulePass {
  TimeMs now_ms = 0;
  int64_t wall_ms = 0;
  /// Made when the pass first needs it.
  std::optional<RoomOrder> room;
  FleetChanges changes;
  /// Jobs with steps that wait for others.
  std::vector<Job*> with_later_steps;
  /// Tasks that found no room so far.
  size_t unplaced = 0;
  /// Waiting steps that the pass did not try to place, since they have no room.
  size_t skipped = 0;
  /// Steps are being placed, not collected any more.
  bool is_placing = false;
  /// Every process that could send a permit request was busy.
  bool are_permit_clients_busy = false;
  std::map<std::string, ServicePass> services;
  /// The service that was last asked for: mostly there is only one.
  std::pair<const std::string, ServicePass>* last_service = nullptr;
  /// By account, what the steps that its quota has kept waiting so far lack of
  /// it. Later steps of the account that need one of these dimensions do not
  /// start.
  std::map<std::string, Resources> quota_shortfall;
};

/// Whether this owner has written its row after the job was accepted. The store
/// then shows that no other process had taken over by the time of acceptance,
/// so no job is ever placed by two owners that both know it.
bool IsOwnershipConfirmed(const Controller& controller, const Job& job);

/// Whether a worker that has not answered yet may hold a task of the job, which
/// is the case unless the job was accepted after this owner took over, or after
/// the worker was cordoned.
bool MustWaitForRecovery(const Controller& controller, const Job& job);

// Memos.
/// Interval of preemption for one step: runs that are being stopped need some
/// hundred milliseconds to end.
inline constexpr TimeMs kPreemptionPauseMs = 60;
PlacementNeed NeedOf(const SchedulePass& pass, const TaskRef& step);
ServicePass& ServiceOf(const Controller& controller, SchedulePass& pass,
                       const std::string& service);
/// How many more of the step's tasks may use the reserves in this pass.
size_t CountReserveTasks(const Controller& controller, SchedulePass& pass,
                         const PlacementNeed& need);
/// Counts the reserves that steps of the service may use unless that is done.
int64_t& ReserveCoresOf(const Controller& controller, SchedulePass& pass,
                        const std::string& service);
/// Whether only the fleet and the quota can have changed for the step since the
/// previous pass.
bool HoldsMemo(const Controller& controller, const SchedulePass& pass,
               const Job& job, const StepState& state);
/// Makes the memo hold, beside what a placement has found.
void SetMemo(const Controller& controller, StepState& state,
             uint64_t job_changes, TimeMs retry_ms);
/// What a pass does with a waiting step.
enum class StepPlanning : uint8_t {
  /// Nothing: it has no room, or none of its tasks is ready.
  kSkip,
  /// It may request permits or preempt runs.
  kRequest,
  kPlace,
};
/// Whether tasks of a step whose memo holds may have room now, `startable` of
/// them within the quota of the account.
bool MayHaveRoom(const Controller& controller, SchedulePass& pass,
                 PlacementNeed need, uint32_t startable);
/// The sort key of a step in this pass.
OrderKey OrderKeyOf(const Controller& controller, const SchedulePass& pass,
                    const TaskRef& step);
/// Decides what to do with a step whose memo holds, before the first placement
/// of the pass: from then on there is only less room.
StepPlanning PlanMemoized(Controller& controller, SchedulePass& pass,
                          const TaskRef& step);

// Accounts.
/// Links the job to its account and counts it against the account's share.
void AttachAccount(Controller& controller, Job& job);
/// Counts the stored jobs against their accounts' shares, in the order in which
/// they were accepted.
void CountEarlierShares(Controller& controller);
/// Notes a job that has ended although runs of it may go on.
void NoteEndedJob(Controller& controller, const JobSpec& spec);
/// Calls NoteEndedJob() for a job that is about to be erased if runs of it may
/// go on.
void NoteIfRunsMayGoOn(Controller& controller, const Job& job);
/// Forgets the noted jobs of which no run is left.
void ForgetEndedJobs(Controller& controller);
/// How many of the step's `waiting` tasks may start within the quota of their
/// account; for a gang all or none. Notes the shortfall of the account in the
/// pass if the step has to wait, so it is to be called in the order of the
/// steps.
uint32_t CountStartable(Controller& controller, SchedulePass& pass,
                        const TaskRef& step, uint32_t waiting);

// Permits.
/// Sends a permit request for the step unless one is in flight or could not
/// help.
void RequestPermits(Controller& controller, SchedulePass& pass,
                    const TaskRef& task, const PlacementNeed& need,
                    uint32_t tasks);
/// Interval of permit requests for one step.
TimeMs RequestPauseMs(const JobSpec& job);
/// Requests the permits of steps that can start soon.
void PrefetchPermits(Controller& controller, SchedulePass& pass, Job& job);

// Orders.
struct TaskPlacement {
  TaskRef task;
  Worker* worker = nullptr;
  uint32_t run = 0;
  std::string checkpoint;
  std::string ticket;
  uint64_t gang = 0;
};
/// Reserves the task's capacity on the worker and sends the start order.
void PlaceTask(Controller& controller, const TaskPlacement& placement);
/// Sends a stop for a run. The run occupies its worker until its end is known.
void StopRun(Controller& controller, Worker& worker, const std::string& name,
             const char* reason);
/// Called after a worker restart: starts of runs that the previous incarnation
/// did not list may have reached the new one, or may still, so a stop is sent
/// for each of them.
void StopUnlisted(Controller& controller, Worker& worker);
/// Stops every run of a job.
void StopJob(Controller& controller, Job& job, const char* reason);
/// Stops every run of a gang of the job that is still placed.
void StopGang(Controller& controller, const Job& job, uint64_t gang,
              const char* reason);
/// The run number for the next start of the task.
uint32_t NextRun(const Controller& controller, const TaskState& task);

// Orphans.
/// Handles a run that the worker lists but this owner has not placed there.
/// Adopts it if its task is waiting, else stops it; returns whether it adopted
/// it.
bool HandleUnplacedRun(Controller& controller, Worker& worker,
                       const ReportedRun& reported);
/// The orphaned run is gone from the worker.
void RemoveOrphan(Controller& controller, Worker& worker,
                  const std::string& task);
void RemoveOrphans(Controller& controller, Worker& worker);
/// Asks the workers again that hold orphaned runs of a job that has just become
/// known, so that the runs can be adopted.
void SyncOrphansOf(Controller& controller, const Job& job);

// Unknown jobs.
/// The task that a worker reports, or a reference without a job. Adds the
/// occurrences of a recurring job that a predecessor took for due, since the
/// clocks of two owners differ.
TaskRef FindReportedTask(Controller& controller, const TaskName& name);
/// Keeps the end of a task whose job is not known and looks the job up in the
/// store. The end is not acknowledged meanwhile: what it reports would be lost,
/// and the task would run again once the job is known.
void DeferEnd(Controller& controller, Worker& worker, const ReportedEnd& end);
/// Reads the row of a job that a worker has reported, until the store answers.
void LookUpReportedJob(Controller& controller, const std::string& job);
/// Applies the deferred ends of a job that has become known. For a job that has
/// ended or does not exist, they are dropped.
void ApplyDeferredEnds(Controller& controller, const std::string& job);

// Policies.
/// Gives the job the policy of its queue in the configuration in force, unless
/// it has one of a later version. Runs on workers of an earlier service go on;
/// what ends there starts again at the present one.
void AdoptPolicy(const Controller& controller, Job& job);
/// The same for all jobs, and stores the services of those that have moved.
/// Their progress must have been applied.
void ApplyPolicies(Controller& controller);

// Jobs.
/// Returns a task to the waiting phase after its run left the worker without
/// being done.
void ReleaseTask(Controller& controller, const TaskRef& task);
/// Excludes the worker from the placement of the task for a limited time.
void AvoidWorker(Controller& controller, TaskState& task,
                 const std::string& worker);
/// Applies the end of a run reported by a worker. `held` says whether that run
/// was the one by which the worker held the task.
void ApplyEnd(Controller& controller, const TaskRef& task,
              const ReportedEnd& end, const std::string& worker, bool held);
void MarkDirty(Controller& controller, Job& job);
/// Commits changed progress to the store. Once it is stored, the ends behind it
/// may be acknowledged to their workers.
void FlushProgress(Controller& controller);
/// Ends a job: stops its tasks and stores its outcome. `evidence` tells the log
/// what the reason rests on.
void CloseJob(Controller& controller, Job& job, JobPhase phase,
              const char* reason, const std::string& evidence = {});
/// Moves outcomes from the progress table into the jobs' own rows, replacing
/// the specification, which is no longer needed, and deletes outcomes past
/// their retention period.
void CompactOutcomes(Controller& controller);
/// Erases a closed job once no run refers to it.
void EraseIfClosed(Controller& controller, Job& job);

/// Which runs of a worker are meant: all, or those that a sync has listed.
enum class RunSet : uint8_t { kAll, kListed };

// Crashes.
/// A worker as it was when it crashed.
struct CrashedWorker {
  WorkerAddress address;
  /// When it was last heard of.
  TimeMs heard_ms = 0;
};
/// Records that a worker crashed under a run of the task, and weighs that as
/// soon as other workers that crashed at the same time have fallen silent. A
/// task that is to blame is given up and its job fails; any other waits until
/// this is stored.
void RecordCrash(Controller& controller, const TaskRef& task, uint32_t run,
                 CrashPhase phase, const CrashedWorker& worker);
/// Remembers a worker that has ended without being planned to, see
/// `WeighCrash`. Must be called before its runs are removed.
void NoteLoss(Controller& controller, const Worker& worker);
/// Handles a worker that has ended: its address answers as another worker. All
/// its runs are gone, and it crashed under them unless it was to leave.
void OnWorkerGone(Controller& controller, Worker& worker);
/// Clears the crashes under a task that has run for so long since that it is
/// not to blame for them. Without this, a task that lasts would be given up for
/// the ordinary crashes of its whole life.
void ForgetCrashes(Controller& controller, const TaskRef& task);
/// Handles the expiry of the worker's lease: the runs in `set` have ended. A
/// run that had just started may have crashed it, which is recorded as
/// unconfirmed until the worker is heard of or known to be gone.
void LapseRuns(Controller& controller, Worker& worker, RunSet set);
/// The worker is known to have crashed: it did so under its lapsed runs.
void RecordLapsedCrashes(Controller& controller, Worker& worker);
/// The worker has answered: it did not crash under its lapsed runs.
void DropLapsedCrashes(Controller& controller, Worker& worker);
/// The crashes under a task; for a gang those under any member, since its runs
/// begin and end together.
TaskCrashes CrashesUnder(const TaskRef& task);
/// Whether the task's next run must be on probation.
bool IsSuspect(const TaskRef& task);
/// Whether the worker was to end anyway.
bool IsLeaving(const Worker& worker);
CrashPhase PhaseAtCrash(const Worker& worker, const PlacedRun& run);

// Run times.
/// Reads what predecessors have learnt of run times.
void ReadRunTimes(Controller& controller);
/// Learns from a run that has ended as done. Must be called before the end is
/// applied to its task.
void RecordRunTime(Controller& controller, const Worker& worker,
                   const PlacedRun& run);
/// Applies what has been learnt to the jobs and workers, and stores it, if it
/// has changed and some time has passed.
void UpdateRunTimes(Controller& controller);
/// Applies what has been learnt to a job or a worker that is new or changed.
void ApplyRunTimes(const Controller& controller, Job& job);
void ApplyRunTimes(const Controller& controller, Worker& worker);
/// How long a new run of the task may take before its report is overdue, 0 for
/// unknown.
TimeMs LongestRunMs(const Controller& controller, const Worker& worker,
                    const TaskRef& task);

// Workers.
/// The fencing token of calls to the worker. It rises with each incarnation, so
/// that a call meant for an earlier one, which arrives after the restart, does
/// nothing: it would start a task that has been placed again, or acknowledge
/// ends that were never received.
uint64_t TokenFor(const Controller& controller, const Worker& worker);
/// A worker has rejected `token`. The owner is deposed unless it has itself
/// used a higher one since.
void OnTokenRejected(Controller& controller, const std::string& worker,
                     uint64_t token);
/// Whether the worker has to be told of stored ends.
bool IsAckDue(const Worker& worker);
/// Sends the sync that waited until ends were stored, unless one is in flight.
/// While the outcome of a start is not known it waits on, see
/// `HasUnconfirmedStart`.
void SyncStoredEnds(Controller& controller, Worker& worker);
/// Sends a sync: it renews the worker's lease, acknowledges ends and asks what
/// runs there. The worker may hold the answer for `wait_ms` until a run ends.
void Sync(Controller& controller, Worker& worker, TimeMs wait_ms);
/// The lease end to send now, on the worker's clock; 0 (no renewal) if the
/// clock is not known or the controller is suspended.
int64_t MakeLeaseEnd(Controller& controller, Worker& worker);
/// Applies a reported end to the worker and to the task. The end of a task that
/// is not known is deferred.
void ApplyReportedEnd(Controller& controller, Worker& worker,
                      const ReportedEnd& end);
/// Why runs ended without a report.
enum class RunLoss : uint8_t { kLeaseExpired, kCrash, kWorkerLeft };
inline constexpr auto kRunLossNames =
    MakeNameTable<RunLoss>({{RunLoss::kLeaseExpired, "lease_lapsed"},
                            {RunLoss::kCrash, "worker_crashed"},
                            {RunLoss::kWorkerLeft, "worker_left"}});
/// What shows that runs have ended without a report.
enum class LossEvidence : uint8_t {
  /// The lease must have expired.
  kLeaseTime,
  /// The list of workers names a later incarnation.
  kWorkerList,
  /// A later incarnation answered a sync.
  kSyncAnswer,
  /// Another worker answered at the address.
  kOtherWorker,
  /// The maintenance order for this incarnation was confirmed.
  kMaintenanceOrder,
};
inline constexpr auto kLossEvidenceNames = MakeNameTable<LossEvidence>(
    {{LossEvidence::kLeaseTime, "lease_time"},
     {LossEvidence::kWorkerList, "worker_list"},
     {LossEvidence::kSyncAnswer, "sync_answer"},
     {LossEvidence::kOtherWorker, "other_worker"},
     {LossEvidence::kMaintenanceOrder, "maintenance_order"}});
struct RunLossCause {
  RunLoss loss = RunLoss::kLeaseExpired;
  LossEvidence evidence = LossEvidence::kLeaseTime;
};
/// Handles a worker restart: nothing from the previous incarnation runs on it.
void OnRestarted(Controller& controller, Worker& worker, uint64_t incarnation,
                 LossEvidence evidence);
/// Handles the loss of runs that have ended without a report.
void MarkRunsLost(Controller& controller, Worker& worker, RunLossCause cause,
                  RunSet set);
/// Updates the stored list of workers that may hold tasks.
void RecordFleet(Controller& controller);
/// Stops placing tasks on the worker and records that, so that a successor does
/// not delay jobs accepted later while it waits for this worker.
void CordonWorker(Controller& controller, Worker& worker);
/// Allows tasks on the worker again, as soon as that is recorded.
void UncordonWorker(Controller& controller, Worker& worker);
/// Places nothing on a worker that failed a task or an order, for `base_ms`,
/// doubled with each quarantine that no success came after.
void Quarantine(Controller& controller, Worker& worker, TimeMs base_ms,
                const char* reason);
/// Whether this owner still waits for what its predecessor's workers run.
bool IsRecovering(const Controller& controller);
/// Whether a call that was made for an earlier incarnation of the worker may
/// have given the present one a lease that has not ended yet.
bool MayHoldLongestLease(const Controller& controller, const Worker& worker);

// Pacing.
/// Adjusts the pace of the worker's fillers to its latest report.
void PaceFillers(Controller& controller, Worker& worker);

// Maintenance.
/// Advances the maintenance waves in progress.
void CheckMaintenance(Controller& controller);

}  // namespace dotterelcove::workflow
