#include <algorithm>

#include "core/Placement.h"
#include "core/Queue.h"
#include "core/Systems.h"

namespace dotterelcove::core {
namespace {

/// A reservation is planned again after kReplanMs, since run times differ from
/// the declared ones; a plan without a result is tried again after
/// kPlanRetryMs. Each plan visits all running tasks, which takes a good part of
/// a millisecond at 1,100 workers.
constexpr TimeMs kReplanMs = 2'000;
constexpr TimeMs kPlanRetryMs = 500;
/// Ageing steps after which a batch job that fits nowhere gets a reservation.
constexpr TimeMs kReservationAgeSteps = 2;
/// Assumed remaining run time of a task that declares none: longer than any
/// other, so that a plan relies on its end last.
constexpr TimeMs kUnknownRemainingMs = 3'600'000;
/// Least assumed remaining time of a task beyond its declared run time.
constexpr TimeMs kMinOverdueMs = 1'000;

struct ExpectedEnd {
  TimeMs at_ms = 0;
  WorkerIndex worker = kNone;
  Resources size;
};

bool IsLater(const ExpectedEnd& a, const ExpectedEnd& b) {
  if (a.at_ms != b.at_ms) return a.at_ms > b.at_ms;
  return a.worker > b.worker;
}

TimeMs ExpectedEndOf(const Job& job, const Member& member, TimeMs now) {
  if (member.state == MemberState::kStopping) return now;
  if (job.duration_ms == 0) return now + kUnknownRemainingMs;
  const TimeMs end = member.started_ms + job.duration_ms;
  if (end > now) return end;
  // A task beyond its declared run time is likely to take considerably longer.
  return now + std::max(kMinOverdueMs, (now - member.started_ms) / 4);
}

std::vector<ExpectedEnd> ExpectedEnds(const Cell& cell, TimeMs now) {
  std::vector<ExpectedEnd> ends;
  for (WorkerIndex index = 0; index < cell.workers.size(); ++index) {
    const Worker& worker = cell.workers[index];
    if (worker.bucket == kNone) continue;
    for (const MemberRef& ref : worker.tasks) {
      const Job& job = cell.jobs[ref.job];
      if (job.request_class == RequestClass::kService) continue;
      const Member& member = job.members[ref.member];
      ends.push_back(
          {ExpectedEndOf(job, member, now), index, member.allocated});
    }
  }
  return ends;
}

void DropReservation(Cell& cell) {
  for (const WorkerIndex worker : cell.reservation->workers) {
    cell.workers[worker].reserved = {};
  }
  cell.reservation.reset();
  cell.capacity_epoch++;
}

/// Reserves on the workers with the most room first, so that few workers are
/// withheld from other jobs.
void Reserve(Cell& cell, const std::vector<Resources>& free,
             const Resources& size, int64_t members, Reservation reservation) {
  std::vector<std::pair<int64_t, WorkerIndex>> room;
  for (WorkerIndex index = 0; index < free.size(); ++index) {
    const int64_t count = CountFits(size, free[index]);
    if (count > 0) room.emplace_back(-count, index);
  }
  std::sort(room.begin(), room.end());
  for (const auto& [negative_count, index] : room) {
    const int64_t count = std::min(-negative_count, members);
    cell.workers[index].reserved = {size.milli_cores * count,
                                    size.memory_mb * count,
                                    size.accelerators * count};
    reservation.workers.push_back(index);
    members -= count;
    if (members == 0) break;
  }
  cell.reservation = std::move(reservation);
  cell.capacity_epoch++;
}

void PlanReservation(Cell& cell, JobIndex index, TimeMs now) {
  const Job& job = cell.jobs[index];
  const Resources size = AllocationOf(cell, ShapeOf(job));
  const int64_t members = job.gang ? job.waiting : 1;
  std::vector<Resources> free(cell.workers.size());
  int64_t fits = 0;
  for (WorkerIndex i = 0; i < cell.workers.size(); ++i) {
    if (cell.workers[i].bucket == kNone) continue;
    free[i] = AvailableOf(cell.workers[i], CapacityScope::kWithReserved);
    fits += CountFits(size, free[i]);
  }
  TimeMs start = now;
  if (fits < members) {
    std::vector<ExpectedEnd> ends = ExpectedEnds(cell, now);
    // A heap instead of a sort, since the plan is mostly complete after a small
    // part of the ends.
    std::make_heap(ends.begin(), ends.end(), IsLater);
    while (!ends.empty()) {
      std::pop_heap(ends.begin(), ends.end(), IsLater);
      const ExpectedEnd end = ends.back();
      ends.pop_back();
      fits -= CountFits(size, free[end.worker]);
      free[end.worker] = free[end.worker] + end.size;
      fits += CountFits(size, free[end.worker]);
      start = end.at_ms;
      if (fits >= members) break;
    }
  }
  // Services and unusable workers hold the capacity; a later plan may succeed.
  if (fits < members) return;
  Reserve(cell, free, size, members, {index, job.sequence, start, now, {}});
}

bool IsWithinQuota(const Cell& cell, const Job& job) {
  return core::IsWithinQuota(cell.teams[job.team],
                             AllocationOf(cell, ShapeOf(job)));
}

/// Returns the job to reserve for, or kNone: the first in queue order of the
/// gangs and long-waiting batch jobs that are within their quota.
JobIndex NextHolder(const Cell& cell, TimeMs now) {
  constexpr int kMaxGangsExamined = 8;
  int examined = 0;
  QueueEntry best;
  for (const QueueEntry& entry : cell.gangs) {
    if (++examined > kMaxGangsExamined) break;
    if (!IsWithinQuota(cell, cell.jobs[entry.job])) continue;
    best = entry;
    break;
  }
  const TimeMs oldest =
      now - kReservationAgeSteps * cell.options.ageing_step_ms;
  const auto& queue = cell.queues[static_cast<size_t>(RequestClass::kBatch)];
  for (const auto& [key, shape] : queue.shapes) {
    const TeamQueueHead& head = *shape.heads.begin();
    if (head.borrowing) continue;
    if (cell.jobs[head.entry.job].submitted_ms > oldest) continue;
    if (best.job == kNone || head.entry < best) best = head.entry;
  }
  return best.job;
}

}  // namespace

void RunReservation(Cell& cell, TimeMs now, Commands& /*commands*/) {
  if (!cell.options.reservations) return;
  JobIndex holder = kNone;
  if (cell.reservation) {
    const Job& job = cell.jobs[cell.reservation->job];
    const bool is_waiting =
        job.sequence == cell.reservation->job_sequence && job.queued;
    if (is_waiting && now - cell.reservation->made_ms < kReplanMs) return;
    if (is_waiting) holder = cell.reservation->job;
    DropReservation(cell);
    if (!is_waiting) return;
  } else if (now < cell.next_reservation_ms) {
    return;
  }
  if (holder == kNone) holder = NextHolder(cell, now);
  if (holder != kNone) PlanReservation(cell, holder, now);
  cell.next_reservation_ms =
      now + (cell.reservation ? cell.options.min_reservation_interval_ms
                              : kPlanRetryMs);
}

}  // namespace dotterelcove::core
