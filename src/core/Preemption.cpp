#include <algorithm>

#include "core/Lifecycle.h"
#include "core/Placement.h"
#include "core/Queue.h"
#include "core/Systems.h"

namespace dotterelcove::core {
namespace {

/// Searches for victims and team queues visited per tick and class, and claims
/// that wait for victims to end at any time. All three bound the time of a
/// tick.
constexpr uint32_t kPlansPerTick = 4;
constexpr uint32_t kTeamQueuesPerTick = 256;
constexpr uint32_t kMaxClaims = 512;
/// Workers whose victims are compared per plan, beginning where the last search
/// ended: enough to find cheap victims, and a bound on the time of a tick.
constexpr uint32_t kWorkersCompared = 128;
/// Age at which a claim is dropped: when its victims have not ended by then,
/// the worker does not answer.
constexpr TimeMs kClaimTimeoutMs = 5'000;
/// Time that a job within its quota waits before borrowed capacity is
/// reclaimed, and a service before batch tasks are preempted for it. Most
/// capacity becomes free without preemption within that time.
constexpr TimeMs kPreemptAfterMs = 1'000;

/// Interval at which borrowed capacity is reclaimed.
constexpr TimeMs kReclaimIntervalMs = 100;

/// Tasks that may be preempted: all preemptible batch tasks, or only those of
/// teams beyond their quota.
enum class VictimKind : uint8_t { kBatch, kBorrowers };

struct Victim {
  MemberRef ref;
  bool borrowed = false;
  /// Core milliseconds that would be lost, weighted with the number of earlier
  /// preemptions.
  int64_t lost_work = 0;
};

/// Victims on one worker that make room for a task there.
struct PreemptionPlan {
  WorkerIndex worker = kNone;
  /// Lost work of teams within their quota, and of teams beyond it.
  int64_t in_quota_work = INT64_MAX;
  int64_t borrowed_work = INT64_MAX;
  std::vector<Victim> victims;
};

bool IsBeyondQuota(const Team& team) {
  return team.has_quota && !Fits(team.used - team.stopping, team.quota);
}

int64_t LostWork(const Job& job, const Member& member, TimeMs now) {
  const auto work = [now](const Member& row) {
    const TimeMs ran = std::max<TimeMs>(now - row.started_ms, 0);
    return ran * std::max<int64_t>(row.allocated.milli_cores, 1) / 1'000 *
           (1 + row.preemptions);
  };
  if (!job.gang) return work(member);
  // The loss of one member restarts the whole gang.
  int64_t total = 0;
  for (const Member& row : job.members) {
    if (IsActive(row.state)) total += work(row);
  }
  return total;
}

bool IsVictim(const Cell& cell, const Job& job, const Member& member,
              VictimKind kind) {
  return IsPreemptible(job, member) &&
         (kind == VictimKind::kBatch || IsBeyondQuota(cell.teams[job.team]));
}

/// Free capacity, including that of tasks that were asked to stop.
Resources ProjectedFree(const Worker& worker) {
  return AvailableOf(worker, CapacityScope::kWithReserved) + worker.stopping;
}

const Resources& SizeOf(const Cell& cell, const Victim& victim) {
  return cell.jobs[victim.ref.job].members[victim.ref.member].allocated;
}

std::vector<Victim> VictimsOn(const Cell& cell, const Worker& worker,
                              VictimKind kind, TimeMs now) {
  std::vector<Victim> victims;
  for (const MemberRef& ref : worker.tasks) {
    const Job& job = cell.jobs[ref.job];
    const Member& member = job.members[ref.member];
    if (!IsVictim(cell, job, member, kind)) continue;
    victims.push_back(
        {ref, IsBeyondQuota(cell.teams[job.team]), LostWork(job, member, now)});
  }
  // Borrowers first, then the least lost work.
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) {
              if (a.borrowed != b.borrowed) return a.borrowed;
              if (a.lost_work != b.lost_work) return a.lost_work < b.lost_work;
              if (a.ref.job != b.ref.job) return a.ref.job < b.ref.job;
              return a.ref.member < b.ref.member;
            });
  return victims;
}

/// Returns a cheap set of victims on one worker, or a plan without a worker.
PreemptionPlan PlanOn(const Cell& cell, WorkerIndex index,
                      const Resources& size, VictimKind kind, TimeMs now) {
  const Worker& worker = cell.workers[index];
  Resources free = ProjectedFree(worker);
  PreemptionPlan plan;
  for (const Victim& victim : VictimsOn(cell, worker, kind, now)) {
    if (Fits(size, free)) break;
    free = free + SizeOf(cell, victim);
    plan.victims.push_back(victim);
  }
  if (!Fits(size, free)) return plan;
  // Victims that later, larger ones made unnecessary are spared.
  std::erase_if(plan.victims, [&](const Victim& victim) {
    const Resources without = free - SizeOf(cell, victim);
    if (!Fits(size, without)) return false;
    free = without;
    return true;
  });
  plan.worker = index;
  plan.in_quota_work = 0;
  plan.borrowed_work = 0;
  for (const Victim& victim : plan.victims) {
    (victim.borrowed ? plan.borrowed_work : plan.in_quota_work) +=
        victim.lost_work;
  }
  return plan;
}

/// Returns whether preemption could make room at all. A cheap check before
/// PlanOn, since most workers of a full cell run nothing that may be preempted
/// for this size.
bool CouldFit(const Worker& worker, const Resources& size) {
  if (worker.bucket == kNone || worker.probing) return false;
  return Fits(size, ProjectedFree(worker) + worker.preemptible);
}

/// Returns the plan that loses the least work of teams within their quota, then
/// of teams beyond it, or a plan without a worker.
PreemptionPlan PlanPreemption(Cell& cell, const Resources& size,
                              VictimKind kind, TimeMs now) {
  PreemptionPlan best;
  uint32_t compared = 0;
  const auto workers = static_cast<WorkerIndex>(cell.workers.size());
  const WorkerIndex first = cell.victim_cursor;
  for (WorkerIndex i = 0; i < workers && compared < kWorkersCompared; ++i) {
    const WorkerIndex index = (first + i) % workers;
    if (!CouldFit(cell.workers[index], size)) continue;
    PreemptionPlan plan = PlanOn(cell, index, size, kind, now);
    if (plan.worker == kNone) continue;
    compared++;
    cell.victim_cursor = (index + 1) % workers;
    if (std::pair(plan.in_quota_work, plan.borrowed_work) <
        std::pair(best.in_quota_work, best.borrowed_work)) {
      best = std::move(plan);
    }
    if (best.victims.empty()) break;
  }
  return best;
}

void PreemptVictims(Cell& cell, const PreemptionPlan& plan, TimeMs now,
                    Commands& commands) {
  for (const Victim& victim : plan.victims) {
    cell.jobs[victim.ref.job].members[victim.ref.member].preemptions++;
    RequestStop(cell, victim.ref.job, victim.ref.member, true, now, commands);
  }
}

void MakeClaim(Cell& cell, JobIndex index, const Resources& size,
               WorkerIndex worker_index, TimeMs now) {
  Job& job = cell.jobs[index];
  job.claims++;
  Worker& worker = cell.workers[worker_index];
  worker.claimed = worker.claimed + size;
  Team& team = cell.teams[job.team];
  team.claimed = team.claimed + size;
  cell.claims.push_back(
      {index, job.sequence, job.team, worker_index, size, now});
}

/// Which tasks may be preempted for which jobs, and the remaining budget of
/// this tick.
struct ClaimRound {
  VictimKind victim_kind = VictimKind::kBatch;
  /// Jobs submitted after this time have not waited long enough.
  TimeMs latest_submit_ms = 0;
  /// Searches for victims.
  uint32_t plans_left = 0;
  /// Team queues to visit.
  uint32_t queues_left = 0;
};

/// Claims capacity for the waiting members of one job. `last` is the worker of
/// the last plan for jobs of this shape. Returns false when no victims are
/// found or a limit is reached.
bool ClaimForJob(Cell& cell, JobIndex index, const Resources& size,
                 WorkerIndex& last, ClaimRound& round, TimeMs now,
                 Commands& commands) {
  const Job& job = cell.jobs[index];
  const Team& team = cell.teams[job.team];
  while (job.claims < job.waiting) {
    if (!IsWithinQuota(team, team.claimed + size)) return true;
    if (cell.claims.size() >= kMaxClaims) return false;
    // The capacity freed by the last victims may be enough for several jobs.
    if (last == kNone || !Fits(size, ProjectedFree(cell.workers[last]))) {
      if (round.plans_left == 0) return false;
      round.plans_left--;
      const PreemptionPlan plan =
          PlanPreemption(cell, size, round.victim_kind, now);
      if (plan.worker == kNone) return false;
      PreemptVictims(cell, plan, now, commands);
      last = plan.worker;
    }
    MakeClaim(cell, index, size, last, now);
  }
  return true;
}

/// Claims capacity for the jobs of one shape that are within their quota and
/// have waited long enough.
void ClaimForShape(Cell& cell, const ShapeQueue& shape, ClaimRound& round,
                   TimeMs now, Commands& commands) {
  const Resources size = AllocationOf(cell, shape.key);
  WorkerIndex last = kNone;
  for (const TeamQueueHead& head : shape.heads) {
    if (head.borrowing || round.queues_left == 0) return;
    round.queues_left--;
    for (const QueueEntry& entry : head.team_queue->jobs) {
      if (cell.jobs[entry.job].submitted_ms > round.latest_submit_ms) break;
      if (!ClaimForJob(cell, entry.job, size, last, round, now, commands)) {
        return;
      }
    }
  }
}

void ClaimForClass(Cell& cell, RequestClass request_class, ClaimRound round,
                   TimeMs now, Commands& commands) {
  std::vector<std::pair<QueueEntry, const ShapeQueue*>> shapes;
  for (const auto& [key, shape] :
       cell.queues[static_cast<size_t>(request_class)].shapes) {
    const TeamQueueHead& head = *shape.heads.begin();
    if (head.borrowing) continue;
    if (cell.jobs[head.entry.job].submitted_ms > round.latest_submit_ms)
      continue;
    shapes.emplace_back(head.entry, &shape);
  }
  // Shapes go in the queue order of their first jobs.
  std::sort(shapes.begin(), shapes.end());
  for (const auto& [entry, shape] : shapes) {
    if (round.plans_left == 0 || round.queues_left == 0) return;
    ClaimForShape(cell, *shape, round, now, commands);
  }
}

/// Starts the claimed member once its capacity is free. Returns whether the
/// claim stays: false after the start, and when the claim is void or too old.
bool KeepClaim(Cell& cell, const Claim& claim, TimeMs now, Commands& commands) {
  const Job& job = cell.jobs[claim.job];
  if (job.sequence != claim.job_sequence) return false;
  const Worker& worker = cell.workers[claim.worker];
  if (!job.queued || job.waiting == 0 || worker.bucket == kNone ||
      now - claim.made_ms > kClaimTimeoutMs) {
    return false;
  }
  const Resources others = worker.claimed - claim.size;
  if (!Fits(claim.size, FreeOf(worker) - others)) return true;
  StartMember(cell, claim.job, FirstWaiting(job), claim.worker, claim.size, now,
              commands);
  if (job.waiting == 0) Dequeue(cell, claim.job);
  return false;
}

}  // namespace

void RunClaims(Cell& cell, TimeMs now, Commands& commands) {
  std::vector<Claim> kept;
  for (const Claim& claim : cell.claims) {
    if (KeepClaim(cell, claim, now, commands)) {
      kept.push_back(claim);
      continue;
    }
    Job& job = cell.jobs[claim.job];
    if (job.sequence == claim.job_sequence) job.claims--;
    Worker& worker = cell.workers[claim.worker];
    worker.claimed = worker.claimed - claim.size;
    Team& team = cell.teams[claim.team];
    team.claimed = team.claimed - claim.size;
    cell.capacity_epoch++;
  }
  cell.claims = std::move(kept);
}

void RunQuotaReclaim(Cell& cell, TimeMs now, Commands& commands) {
  if (!cell.options.preemption) return;
  if (now < cell.next_reclaim_ms) return;
  cell.next_reclaim_ms = now + kReclaimIntervalMs;
  const bool borrowed =
      std::any_of(cell.teams.begin(), cell.teams.end(), IsBeyondQuota);
  if (!borrowed) return;
  ClaimForClass(cell, RequestClass::kBatch,
                {VictimKind::kBorrowers, now - kPreemptAfterMs, kPlansPerTick,
                 kTeamQueuesPerTick},
                now, commands);
}

void RunPreemption(Cell& cell, TimeMs now, Commands& commands) {
  if (!cell.options.preemption) return;
  ClaimForClass(cell, RequestClass::kUrgent,
                {VictimKind::kBatch, now, kPlansPerTick, kTeamQueuesPerTick},
                now, commands);
  ClaimForClass(
      cell, RequestClass::kService,
      {VictimKind::kBatch, now - kPreemptAfterMs, 1, kTeamQueuesPerTick}, now,
      commands);
}

}  // namespace dotterelcove::core
