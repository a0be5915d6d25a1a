#include "core/Placement.h"
#include "core/Queue.h"
#include "core/Systems.h"

namespace dotterelcove::core {
namespace {

/// Gangs tried per tick, which bounds the cost of a long gang queue.
constexpr uint32_t kGangsPerTick = 16;

bool PlaceGang(Cell& cell, JobIndex index, TimeMs now, Commands& commands) {
  const Job& job = cell.jobs[index];
  const Resources size = AllocationOf(cell, ShapeOf(job));
  const bool reserved = cell.reservation && cell.reservation->job == index;
  const CapacityScope scope =
      reserved ? CapacityScope::kWithReserved : CapacityScope::kUnreserved;
  if (!CanPlaceAll(cell, size, job.waiting, scope)) return false;
  for (uint32_t i = 0; i < job.members.size(); ++i) {
    if (job.members[i].state != MemberState::kWaiting) continue;
    const WorkerIndex worker = FindBestFit(cell, {size, scope, job.failed_on});
    StartMember(cell, index, i, worker, size, now, commands);
  }
  Dequeue(cell, index);
  return true;
}

}  // namespace

void RunGangs(Cell& cell, TimeMs now, Commands& commands) {
  uint32_t tried = 0;
  for (auto next = cell.gangs.begin();
       next != cell.gangs.end() && tried < kGangsPerTick; ++tried) {
    const JobIndex index = (next++)->job;
    PlaceGang(cell, index, now, commands);
  }
}

}  // namespace dotterelcove::core
