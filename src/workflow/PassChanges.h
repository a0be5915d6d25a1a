/// What has changed on the workers between two scheduling passes, so that a
/// pass need not try again to place a step that has found no room. Answers load
/// in which thousands of tasks wait for a full fleet: without this, each pass
/// repeats the same search for each waiting step, and the owner makes a tenth
/// of its usual passes. See docs/design/scheduling-pass.md.
#pragma once

#include <optional>
#include <vector>

#include "workflow/Fleet.h"
#include "workflow/Placement.h"

namespace dotterelcove::workflow {

struct WorkerChange {
  const Worker* worker = nullptr;
  /// Tasks can be placed on it, and there may be room for more of them or of
  /// others than in the previous pass.
  bool has_gained = false;
  /// Its room if everything that may be preempted ends; computed when needed.
  std::optional<Resources> free_after_preemption;
};

/// The workers that have changed since the previous call, by id.
using FleetChanges = std::vector<WorkerChange>;

/// To be called once at the beginning of each pass.
FleetChanges TakeChanges(Fleet& fleet, TimeMs now_ms);

/// Whether one of the changed workers may run the step and has room for a task
/// of it. If not, a step that had no room in the previous pass has none now.
bool HasGainedRoom(const FleetChanges& changes, const PlacementNeed& need);

/// Whether one of the changed workers has room for a task of the step, and a
/// permit may be requested for it.
bool HasWorkerToRequest(const FleetChanges& changes, const PlacementNeed& need);

/// Updates what is known of the preemption for a step.
PreemptionOutlook UpdateOutlook(FleetChanges& changes,
                                const PlacementNeed& need,
                                PreemptionOutlook outlook);

}  // namespace dotterelcove::workflow
