/// Where a task fits, and the accounting of starts and ends.
#pragma once

#include "core/Tables.h"

namespace dotterelcove::core {

/// Capacity of a worker that a search may use.
enum class CapacityScope : uint8_t {
  /// Neither claimed nor reserved.
  kUnreserved,
  /// Also reserved: the task ends before the reservation starts, or it is
  /// urgent.
  kWithReserved,
};

struct FitRequest {
  Resources size;
  CapacityScope scope = CapacityScope::kUnreserved;
  /// A worker to avoid unless nothing else fits.
  WorkerIndex avoid = kNone;
};

/// Capacity of the worker that a request may use now.
Resources AvailableOf(const Worker& worker, CapacityScope scope);

/// Returns the usable worker on which the task leaves the most useful shape
/// free, or kNone. Visits at most a fixed number of fitting workers.
WorkerIndex FindBestFit(const Cell& cell, const FitRequest& request);
/// As FindBestFit, but first the zone, then the rack with the fewest members of
/// the workload.
WorkerIndex FindSpread(const Cell& cell, const FitRequest& request,
                       const Workload& workload);

/// Returns whether `members` tasks of `size` fit at once.
bool CanPlaceAll(const Cell& cell, const Resources& size, uint32_t members,
                 CapacityScope scope);

/// Updates the index after the state or free capacity of a worker changed.
void Reindex(Cell& cell, WorkerIndex worker);

/// Allocates and emits the start of a waiting member.
void StartMember(Cell& cell, JobIndex job, uint32_t member, WorkerIndex worker,
                 const Resources& size, TimeMs now, Commands& commands);
/// Books a member on a worker without a command.
void AllocateMember(Cell& cell, JobIndex job, uint32_t member,
                    WorkerIndex worker, const Resources& size,
                    MemberState state, TimeMs now);
/// Marks a starting or running member as asked to stop.
void MarkStopping(Cell& cell, JobIndex job, uint32_t member);
/// Gives back what an active member occupies and sets its new state, which
/// must not be an active one.
void ReleaseMember(Cell& cell, JobIndex job, uint32_t member,
                   MemberState state);

/// Members of `size` that fit into `free` together.
int64_t CountFits(const Resources& size, const Resources& free);

/// Returns the first waiting member, or kNone.
uint32_t FirstWaiting(const Job& job);

}  // namespace dotterelcove::core
