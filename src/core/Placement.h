/// Placement: the index of free capacity, the search for a worker, and the
/// accounting of allocations.
#pragma once

#include "core/Tables.h"

namespace dotterelcove::core {

/// Which capacity of a worker a search may use.
enum class CapacityScope : uint8_t {
  /// Neither claimed nor reserved.
  kUnreserved,
  /// Not claimed, but possibly reserved: for the holder of the reservation, for
  /// urgent tasks and for tasks that end before the reservation starts.
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

/// Returns the usable worker on which the task leaves the least capacity free,
/// or kNone. Compares at most a fixed number of fitting workers.
WorkerIndex FindBestFit(const Cell& cell, const FitRequest& request);
/// As FindBestFit, but prefers the zone and then the rack with the fewest
/// members of the workload, and compares all workers.
WorkerIndex FindSpread(const Cell& cell, const FitRequest& request,
                       const Workload& workload);

/// Returns whether `members` tasks of `size` fit at once.
bool CanPlaceAll(const Cell& cell, const Resources& size, uint32_t members,
                 CapacityScope scope);

/// Updates the index after the state or free capacity of a worker changed.
void Reindex(Cell& cell, WorkerIndex worker);

/// Allocates capacity for a waiting member and emits its start command.
void StartMember(Cell& cell, JobIndex job, uint32_t member, WorkerIndex worker,
                 const Resources& size, TimeMs now, Commands& commands);
/// Allocates capacity of a worker to a member without a command.
void AllocateMember(Cell& cell, JobIndex job, uint32_t member,
                    WorkerIndex worker, const Resources& size,
                    MemberState state, TimeMs now);
/// Marks a starting or running member as asked to stop.
void MarkStopping(Cell& cell, JobIndex job, uint32_t member);
/// Releases the allocation of an active member and sets its new state, which
/// must not be an active one.
void ReleaseMember(Cell& cell, JobIndex job, uint32_t member,
                   MemberState state);

/// Returns how many members of `size` fit into `free` together; INT64_MAX when
/// `size` is zero.
int64_t CountFits(const Resources& size, const Resources& free);

/// Returns the first waiting member, or kNone.
uint32_t FirstWaiting(const Job& job);

}  // namespace dotterelcove::core
