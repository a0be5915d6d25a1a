#include "core/Queue.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace dotterelcove::core {
namespace {

QueueEntry EntryOf(const Cell& cell, JobIndex index) {
  const Job& job = cell.jobs[index];
  return {job.order, job.sequence, index};
}

void Unlist(Lane& lane) {
  if (lane.listed.job == kNone) return;
  lane.shape->heads.erase({lane.borrowing, lane.listed, &lane});
  lane.listed = {};
}

/// Lists the head of a lane under its present borrowing flag.
void List(Cell& cell, Lane& lane) {
  lane.size = AllocationOf(cell, lane.shape->key);
  const bool borrowing = !IsWithinQuota(cell.teams[lane.team], lane.size);
  const QueueEntry head = lane.jobs.empty() ? QueueEntry{} : *lane.jobs.begin();
  if (head.job == lane.listed.job && borrowing == lane.borrowing) return;
  Unlist(lane);
  lane.borrowing = borrowing;
  lane.listed = head;
  if (head.job != kNone) lane.shape->heads.insert({borrowing, head, &lane});
}

void RemoveLane(Cell& cell, ClassQueue& queue, Lane& lane) {
  Unlist(lane);
  auto& lanes = cell.teams[lane.team].lanes;
  lanes.erase(std::find(lanes.begin(), lanes.end(), &lane));
  ShapeQueue& shape = *lane.shape;
  shape.lanes.erase(lane.team);
  if (shape.lanes.empty()) queue.shapes.erase(ShapeKey(shape.key));
}

}  // namespace

bool IsWithinQuota(const Team& team, const Resources& size) {
  return !team.has_quota || Fits(team.used + size, team.quota);
}

ShapeKey ShapeOf(const Job& job) {
  const auto seconds = static_cast<uint64_t>(job.duration_ms / 1000);
  return {job.workload, job.size,
          static_cast<uint32_t>(std::bit_width(seconds))};
}

void Enqueue(Cell& cell, JobIndex index) {
  Job& job = cell.jobs[index];
  if (job.queued) return;
  job.queued = true;
  cell.queued_jobs++;
  cell.teams[job.team].queued_jobs++;
  if (job.gang) {
    cell.gangs.insert(EntryOf(cell, index));
    return;
  }
  ClassQueue& queue = cell.queues[static_cast<size_t>(job.request_class)];
  queue.jobs++;
  ShapeQueue& shape = queue.shapes[ShapeOf(job)];
  shape.key = ShapeOf(job);
  const auto [lane, added] = shape.lanes.try_emplace(job.team);
  if (added) {
    lane->second.team = job.team;
    lane->second.shape = &shape;
    cell.teams[job.team].lanes.push_back(&lane->second);
  }
  lane->second.jobs.insert(EntryOf(cell, index));
  List(cell, lane->second);
}

void Dequeue(Cell& cell, JobIndex index) {
  Job& job = cell.jobs[index];
  if (!job.queued) return;
  job.queued = false;
  cell.queued_jobs--;
  cell.teams[job.team].queued_jobs--;
  if (job.gang) {
    cell.gangs.erase(EntryOf(cell, index));
    return;
  }
  ClassQueue& queue = cell.queues[static_cast<size_t>(job.request_class)];
  queue.jobs--;
  Lane& lane = queue.shapes.at(ShapeOf(job)).lanes.at(job.team);
  lane.jobs.erase(EntryOf(cell, index));
  if (lane.jobs.empty()) {
    RemoveLane(cell, queue, lane);
  } else {
    List(cell, lane);
  }
}

void RefreshTeam(Cell& cell, TeamIndex team_index) {
  const Team& team = cell.teams[team_index];
  if (!team.has_quota) return;
  for (Lane* lane : team.lanes) {
    if (lane->borrowing == !IsWithinQuota(team, lane->size)) continue;
    List(cell, *lane);
  }
}

namespace {

struct NextShape {
  LaneHead head;
  ShapeKey key;
  friend bool operator<(const NextShape& a, const NextShape& b) {
    return b.head < a.head;  // The standard heap has the greatest on top.
  }
};

}  // namespace

void PlaceQueue(Cell& cell, ClassQueue& queue, PlaceFunction place, TimeMs now,
                Commands& commands) {
  std::vector<NextShape> heap;
  for (const auto& [key, shape] : queue.shapes) {
    if (shape.failed_epoch == cell.capacity_epoch) continue;
    heap.push_back({*shape.heads.begin(), key});
  }
  std::make_heap(heap.begin(), heap.end());
  while (!heap.empty()) {
    std::pop_heap(heap.begin(), heap.end());
    const NextShape next = heap.back();
    heap.pop_back();
    const auto found = queue.shapes.find(next.key);
    if (found == queue.shapes.end()) continue;
    ShapeQueue& shape = found->second;
    const LaneHead head = *shape.heads.begin();
    // A start of the same team may have changed the order since.
    const bool current =
        head.entry == next.head.entry && head.borrowing == next.head.borrowing;
    if (current && !place(cell, head.entry.job, now, commands)) {
      shape.failed_epoch = cell.capacity_epoch;
      continue;
    }
    const auto again = queue.shapes.find(next.key);
    if (again == queue.shapes.end()) continue;
    heap.push_back({*again->second.heads.begin(), next.key});
    std::push_heap(heap.begin(), heap.end());
  }
}

}  // namespace dotterelcove::core
