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

void RemoveHead(TeamQueue& team_queue) {
  if (team_queue.listed_head.job == kNone) return;
  team_queue.shape->heads.erase(
      {team_queue.borrowing, team_queue.listed_head, &team_queue});
  team_queue.listed_head = {};
}

/// Updates the entry of a team queue in ShapeQueue::heads to its current head
/// and borrowing flag.
void UpdateHead(Cell& cell, TeamQueue& team_queue) {
  team_queue.size = AllocationOf(cell, team_queue.shape->key);
  const bool borrowing =
      !IsWithinQuota(cell.teams[team_queue.team], team_queue.size);
  const QueueEntry head =
      team_queue.jobs.empty() ? QueueEntry{} : *team_queue.jobs.begin();
  if (head.job == team_queue.listed_head.job &&
      borrowing == team_queue.borrowing)
    return;
  RemoveHead(team_queue);
  team_queue.borrowing = borrowing;
  team_queue.listed_head = head;
  if (head.job != kNone)
    team_queue.shape->heads.insert({borrowing, head, &team_queue});
}

void RemoveTeamQueue(Cell& cell, ClassQueue& queue, TeamQueue& team_queue) {
  RemoveHead(team_queue);
  auto& team_queues = cell.teams[team_queue.team].team_queues;
  team_queues.erase(
      std::find(team_queues.begin(), team_queues.end(), &team_queue));
  ShapeQueue& shape = *team_queue.shape;
  shape.team_queues.erase(team_queue.team);
  if (shape.team_queues.empty()) queue.shapes.erase(ShapeKey(shape.key));
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
  const auto [team_queue, added] = shape.team_queues.try_emplace(job.team);
  if (added) {
    team_queue->second.team = job.team;
    team_queue->second.shape = &shape;
    cell.teams[job.team].team_queues.push_back(&team_queue->second);
  }
  team_queue->second.jobs.insert(EntryOf(cell, index));
  UpdateHead(cell, team_queue->second);
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
  TeamQueue& team_queue =
      queue.shapes.at(ShapeOf(job)).team_queues.at(job.team);
  team_queue.jobs.erase(EntryOf(cell, index));
  if (team_queue.jobs.empty()) {
    RemoveTeamQueue(cell, queue, team_queue);
  } else {
    UpdateHead(cell, team_queue);
  }
}

void RefreshTeam(Cell& cell, TeamIndex team_index) {
  const Team& team = cell.teams[team_index];
  if (!team.has_quota) return;
  for (TeamQueue* team_queue : team.team_queues) {
    if (team_queue->borrowing == !IsWithinQuota(team, team_queue->size))
      continue;
    UpdateHead(cell, *team_queue);
  }
}

namespace {

/// A shape, ordered by the head that it had when it was pushed.
struct NextShape {
  TeamQueueHead head;
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
    const TeamQueueHead head = *shape.heads.begin();
    // Another start of the same team may have changed the head since.
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
