#include "core/Placement.h"
#include "core/Queue.h"
#include "core/Systems.h"

namespace dotterelcove::core {
namespace {

/// Backfill: a task that ends before the reservation starts may use reserved
/// capacity.
CapacityScope ScopeOf(const Cell& cell, const Job& job, TimeMs now) {
  if (!cell.reservation) return CapacityScope::kUnreserved;
  if (&job == &cell.jobs[cell.reservation->job])
    return CapacityScope::kWithReserved;
  if (job.duration_ms == 0) return CapacityScope::kUnreserved;
  return now + job.duration_ms <= cell.reservation->start_ms
             ? CapacityScope::kWithReserved
             : CapacityScope::kUnreserved;
}

bool PlaceBatch(Cell& cell, JobIndex index, TimeMs now, Commands& commands) {
  const Job& job = cell.jobs[index];
  const Resources size = AllocationOf(cell, ShapeOf(job));
  const CapacityScope scope = ScopeOf(cell, job, now);
  while (job.waiting > 0) {
    const WorkerIndex worker = FindBestFit(cell, {size, scope, job.failed_on});
    if (worker == kNone) return false;
    StartMember(cell, index, FirstWaiting(job), worker, size, now, commands);
  }
  Dequeue(cell, index);
  return true;
}

}  // namespace

void RunBatch(Cell& cell, TimeMs now, Commands& commands) {
  PlaceQueue(cell, cell.queues[static_cast<size_t>(RequestClass::kBatch)],
             PlaceBatch, now, commands);
}

}  // namespace dotterelcove::core
