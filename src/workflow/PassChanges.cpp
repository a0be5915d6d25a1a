#include "workflow/PassChanges.h"

#include <algorithm>

#include "workflow/Preemption.h"

namespace dotterelcove::workflow {
namespace {

/// Whether the step's tasks may be placed on the worker, regardless of free
/// capacity and of whether the worker is usable.
bool MayRunOn(const Worker& worker, const PlacementNeed& need) {
  const bool has_permit =
      !need.job->policy.permits.required ||
      PermissionFor(need.state->permits, worker.slot) == Permission::kGranted;
  return has_permit && IsEligible(worker, *need.job, *need.step);
}

}  // namespace

FleetChanges TakeChanges(Fleet& fleet, TimeMs now_ms) {
  FleetChanges changes;
  for (auto& [id, worker] : fleet.workers) {
    const bool is_open =
        IsUsable(worker, now_ms) && !IsOnProbation(worker, now_ms);
    const bool has_opened = is_open != worker.was_open;
    const bool has_gained = worker.room_gains != worker.seen_room_gains;
    const bool has_changed = worker.run_changes != worker.seen_run_changes;
    if (!has_opened && !has_gained && !has_changed) continue;
    worker.was_open = is_open;
    worker.seen_room_gains = worker.room_gains;
    worker.seen_run_changes = worker.run_changes;
    WorkerChange change;
    change.worker = &worker;
    change.has_gained = is_open && (has_opened || has_gained);
    changes.push_back(change);
  }
  return changes;
}

bool HasGainedRoom(const FleetChanges& changes, const PlacementNeed& need) {
  const Resources size = SizeOnWorker(*need.step);
  return std::any_of(changes.begin(), changes.end(),
                     [&](const WorkerChange& change) {
                       const Worker& worker = *change.worker;
                       return change.has_gained && Fits(size, FreeOf(worker)) &&
                              MayRunOn(worker, need) && HasRoom(worker, need);
                     });
}

bool HasWorkerToRequest(const FleetChanges& changes,
                        const PlacementNeed& need) {
  const Resources size = SizeOnWorker(*need.step);
  const StepPermits& permits = need.state->permits;
  return std::any_of(
      changes.begin(), changes.end(), [&](const WorkerChange& change) {
        const Worker& worker = *change.worker;
        return change.has_gained && Fits(size, FreeOf(worker)) &&
               PermissionFor(permits, worker.slot) != Permission::kDenied &&
               IsEligible(worker, *need.job, *need.step);
      });
}

PreemptionOutlook UpdateOutlook(FleetChanges& changes,
                                const PlacementNeed& need,
                                PreemptionOutlook outlook) {
  if (outlook == PreemptionOutlook::kUnknown) return outlook;
  const Resources size = SizeOnWorker(*need.step);
  for (WorkerChange& change : changes) {
    // The worker with room pending may be this one, and the room may be gone.
    if (outlook == PreemptionOutlook::kNoVictims) {
      if (!change.free_after_preemption) {
        change.free_after_preemption = FreeAfterPreemption(*change.worker);
      }
      if (!Fits(size, *change.free_after_preemption)) continue;
    }
    if (MayRunOn(*change.worker, need)) return PreemptionOutlook::kUnknown;
  }
  return outlook;
}

}  // namespace dotterelcove::workflow
