/// Queues of the request classes. Jobs are grouped by shape and team; each team
/// queue is in order, and teams within their quota go before teams that borrow.
#pragma once

#include "core/Tables.h"

namespace dotterelcove::core {

/// Puts a job with waiting members into its queue; no effect when queued.
void Enqueue(Cell& cell, JobIndex job);
/// Takes a job out of its queue; no effect when not queued.
void Dequeue(Cell& cell, JobIndex job);
/// Updates the position of a team's queues after its usage or quota changed.
void RefreshTeam(Cell& cell, TeamIndex team);

/// Returns the size to allocate for a member of this shape: learned from usage,
/// never more than the largest worker has.
Resources AllocationOf(const Cell& cell, const ShapeKey& key);
ShapeKey ShapeOf(const Job& job);

/// Places the jobs of a queue in order until no more fit. `place` starts as
/// many members of one job as fit and returns false when the job's shape fits
/// nowhere.
using PlaceFunction = bool (*)(Cell&, JobIndex, TimeMs, Commands&);
void PlaceQueue(Cell& cell, ClassQueue& queue, PlaceFunction place, TimeMs now,
                Commands& commands);

/// Returns whether the team stays within its quota with `size` more.
bool IsWithinQuota(const Team& team, const Resources& size);

}  // namespace dotterelcove::core
