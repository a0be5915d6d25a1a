#include "core/Placement.h"
#include "core/Queue.h"
#include "core/Systems.h"

namespace dotterelcove::core {
namespace {

bool PlaceUrgent(Cell& cell, JobIndex index, TimeMs now, Commands& commands) {
  const Job& job = cell.jobs[index];
  const Resources size = AllocationOf(cell, ShapeOf(job));
  while (job.waiting > 0) {
    const WorkerIndex worker =
        FindBestFit(cell, {size, CapacityScope::kWithReserved, job.failed_on});
    if (worker == kNone) return false;
    StartMember(cell, index, FirstWaiting(job), worker, size, now, commands);
  }
  Dequeue(cell, index);
  return true;
}

}  // namespace

void RunUrgent(Cell& cell, TimeMs now, Commands& commands) {
  PlaceQueue(cell, cell.queues[static_cast<size_t>(RequestClass::kUrgent)],
             PlaceUrgent, now, commands);
}

}  // namespace dotterelcove::core
