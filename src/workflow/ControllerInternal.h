/// What the parts of the controller offer each other; not for other folders.
#pragma once

#include <string>

#include "workflow/Controller.h"

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
/// Runs a scheduling pass soon; several wishes give one pass.
void RequestSchedule(Controller& controller);

// Orders.
struct TaskPlacement {
  TaskRef task;
  Worker* worker = nullptr;
  uint32_t run = 0;
  std::string checkpoint;
  std::string ticket;
  uint64_t gang = 0;
};
/// Sends the start of a task and books its place.
void PlaceTask(Controller& controller, const TaskPlacement& placement);
/// Stops a run; it occupies its worker until its end is known.
void StopRun(Controller& controller, Worker& worker, const std::string& name,
             const char* reason);
/// The worker has started anew: starts that its former life has not confirmed
/// may still reach the new one, so each is stopped there.
void StopUnconfirmed(Controller& controller, Worker& worker);
/// Stops every run of a job.
void StopJob(Controller& controller, Job& job, const char* reason);
/// Stops the other runs of a gang.
void StopGang(Controller& controller, uint64_t gang, const char* reason);
/// Stops a run that this owner does not know.
void StopOrphan(Controller& controller, Worker& worker,
                const std::string& name);
/// The next number for a start of the task.
uint32_t NextRun(const Controller& controller, const TaskState& task);

// Jobs.
/// The run left its worker without an end that counts.
void ReleaseTask(Controller& controller, const TaskRef& task);
/// Prefers other workers for the next run of the task.
void AvoidWorker(Controller& controller, TaskState& task,
                 const std::string& worker);
/// Takes note of an end reported by a worker. `held` tells that it ends the run
/// by which the worker held the task.
void ApplyEnd(Controller& controller, const TaskRef& task,
              const ReportedEnd& end, const std::string& worker, bool held);
void MarkDirty(Controller& controller, Job& job);
/// Stores changed progress; acknowledgments to workers follow.
void FlushProgress(Controller& controller);
/// Ends a job: its tasks are stopped and its outcome is stored.
void CloseJob(Controller& controller, Job& job, JobPhase phase,
              const char* reason);
/// Moves outcomes from the progress table into the jobs' own rows, where the
/// job's text is no longer needed, and drops those that are old.
void CompactOutcomes(Controller& controller);
/// Removes a closed job once nothing refers to it.
void EraseIfClosed(Controller& controller, Job& job);

// Workers.
/// Asks the worker what runs on it, renewing its lease.
void Sync(Controller& controller, Worker& worker, TimeMs wait_ms);
/// The lease end to send now, on the worker's clock; 0 if it is not known.
int64_t MakeLeaseEnd(Controller& controller, Worker& worker);
/// The worker has started anew: nothing of before runs on it.
void OnRestarted(Controller& controller, Worker& worker, uint64_t incarnation);
/// All confirmed runs on the worker have ended without a report, with
/// `unconfirmed` the others too.
void MarkRunsLost(Controller& controller, Worker& worker, const char* reason,
                  bool unconfirmed);
/// Takes workers into or out of the stored list of those that may hold tasks.
void RecordFleet(Controller& controller);
/// Places nothing on the worker and records that, so that a successor does not
/// hold up later jobs for it.
void CordonWorker(Controller& controller, Worker& worker);
/// Lets it be used again once that is recorded.
void UncordonWorker(Controller& controller, Worker& worker);
/// A worker failed a task or an order: gives it no work for a while.
void Quarantine(Controller& controller, Worker& worker, TimeMs base_ms,
                const char* reason);
bool IsRecovering(const Controller& controller);

// Pacing.
/// Sets the speed of the worker's fillers by its newest report.
void PaceFillers(Controller& controller, Worker& worker);

// Maintenance.
/// Takes the next steps of the waves under way.
void CheckMaintenance(Controller& controller);

}  // namespace dotterelcove::workflow
