/// Class queues: jobs by workload, size and team, each team queue in order,
/// teams within their quota before teams that borrow.
#pragma once

#include "core/Tables.h"

namespace dotterelcove::core {

/// Puts a job with waiting members into its queue; no effect when queued.
void Enqueue(Cell& cell, JobIndex job);
/// Takes a job out of its queue; no effect when not queued.
void Dequeue(Cell& cell, JobIndex job);
/// Lists the team queues of a team again after its usage or quota changed.
void RefreshTeam(Cell& cell, TeamIndex team);

/// Size to allocate for a member of this shape: learned, never more than the
/// largest worker has.
Resources AllocationOf(const Cell& cell, const ShapeKey& key);
ShapeKey ShapeOf(const Job& job);

/// Places the jobs of a queue in order until nothing more fits. `place` starts
/// what it can of one job and returns false when the job's shape fits nowhere.
using PlaceFunction = bool (*)(Cell&, JobIndex, TimeMs, Commands&);
void PlaceQueue(Cell& cell, ClassQueue& queue, PlaceFunction place, TimeMs now,
                Commands& commands);

/// Returns whether the team stays within its quota with `size` more.
bool IsWithinQuota(const Team& team, const Resources& size);

}  // namespace dotterelcove::core
