#include <algorithm>

#include "core/Lifecycle.h"
#include "core/Placement.h"
#include "core/Queue.h"
#include "core/Systems.h"

namespace dotterelcove::core {
namespace {

/// Plans per tick; each looks at every running task once, so this bounds the
/// time of a tick.
constexpr uint32_t kPlansPerTick = 4;
constexpr uint32_t kMaxClaims = 256;
/// A claim whose victims have not ended by then is given up; the worker is not
/// answering.
constexpr TimeMs kClaimMs = 5'000;
/// Time a job within its quota waits before borrowed capacity is taken back,
/// and a service before batch tasks are preempted for it. Most capacity becomes
/// free by itself within that time.
constexpr TimeMs kReturnAfterMs = 1'000;

enum class Victims : uint8_t { kBatch, kBorrowers };

struct Victim {
  MemberRef ref;
  bool borrowed = false;
  /// Core seconds that would be lost.
  int64_t lost_work = 0;
};

struct PreemptionPlan {
  WorkerIndex worker = kNone;
  int64_t own_work = INT64_MAX;
  int64_t borrowed_work = INT64_MAX;
  std::vector<Victim> victims;
};

bool IsBeyondQuota(const Team& team) {
  return team.has_quota && !Fits(team.used - team.leaving, team.quota);
}

int64_t LostWork(const Job& job, const Member& member, TimeMs now) {
  const auto work = [now](const Member& row) {
    const TimeMs ran = std::max<TimeMs>(now - row.started_ms, 0);
    return ran * std::max<int64_t>(row.allocated.milli_cores, 1) / 1'000 *
           (1 + row.preemptions);
  };
  if (!job.gang) return work(member);
  // The loss of one member restarts the gang.
  int64_t total = 0;
  for (const Member& row : job.members) {
    if (IsActive(row.state)) total += work(row);
  }
  return total;
}

bool IsVictim(const Cell& cell, const Job& job, const Member& member,
              Victims kind) {
  if (job.request_class != RequestClass::kBatch || !job.idempotent)
    return false;
  if (member.state != MemberState::kStarting &&
      member.state != MemberState::kRunning) {
    return false;
  }
  return kind == Victims::kBatch || IsBeyondQuota(cell.teams[job.team]);
}

/// Free capacity, with what tasks that were asked to stop will leave.
Resources SoonFree(const Cell& cell, const Worker& worker) {
  Resources free = AvailableOf(worker, Access::kReserved);
  for (const MemberRef& ref : worker.tasks) {
    const Member& member = cell.jobs[ref.job].members[ref.member];
    if (member.state == MemberState::kStopping) free = free + member.allocated;
  }
  return free;
}

const Resources& SizeOf(const Cell& cell, const Victim& victim) {
  return cell.jobs[victim.ref.job].members[victim.ref.member].allocated;
}

std::vector<Victim> VictimsOn(const Cell& cell, const Worker& worker,
                              Victims kind, TimeMs now) {
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

/// Cheapest set of victims on one worker, or a plan without a worker.
PreemptionPlan PlanOn(const Cell& cell, WorkerIndex index,
                      const Resources& size, Victims kind, TimeMs now) {
  const Worker& worker = cell.workers[index];
  Resources free = SoonFree(cell, worker);
  PreemptionPlan plan;
  for (const Victim& victim : VictimsOn(cell, worker, kind, now)) {
    if (Fits(size, free)) break;
    free = free + SizeOf(cell, victim);
    plan.victims.push_back(victim);
  }
  if (!Fits(size, free)) return plan;
  // Victims that later, larger ones made unnecessary stay.
  std::erase_if(plan.victims, [&](const Victim& victim) {
    const Resources without = free - SizeOf(cell, victim);
    if (!Fits(size, without)) return false;
    free = without;
    return true;
  });
  plan.worker = index;
  plan.own_work = 0;
  plan.borrowed_work = 0;
  for (const Victim& victim : plan.victims) {
    (victim.borrowed ? plan.borrowed_work : plan.own_work) += victim.lost_work;
  }
  return plan;
}

/// Whether preemption could make room at all; cheap, since most workers of a
/// full cell run nothing that may be preempted for this size.
bool CouldFit(const Cell& cell, const Worker& worker, const Resources& size,
              Victims kind) {
  if (worker.bucket == kNone || worker.probing) return false;
  if (!Fits(size, worker.spec.capacity - worker.claimed)) return false;
  Resources free = SoonFree(cell, worker);
  for (const MemberRef& ref : worker.tasks) {
    const Job& job = cell.jobs[ref.job];
    const Member& member = job.members[ref.member];
    if (IsVictim(cell, job, member, kind)) free = free + member.allocated;
  }
  return Fits(size, free);
}

PreemptionPlan PlanPreemption(const Cell& cell, const Resources& size,
                              Victims kind, TimeMs now) {
  PreemptionPlan best;
  for (WorkerIndex index = 0; index < cell.workers.size(); ++index) {
    if (!CouldFit(cell, cell.workers[index], size, kind)) continue;
    PreemptionPlan plan = PlanOn(cell, index, size, kind, now);
    if (plan.worker == kNone) continue;
    if (std::pair(plan.own_work, plan.borrowed_work) <
        std::pair(best.own_work, best.borrowed_work)) {
      best = std::move(plan);
    }
    if (best.worker != kNone && best.victims.empty()) break;
  }
  return best;
}

void MakeClaim(Cell& cell, JobIndex index, const Resources& size,
               const PreemptionPlan& plan, TimeMs now, Commands& commands) {
  for (const Victim& victim : plan.victims) {
    cell.jobs[victim.ref.job].members[victim.ref.member].preemptions++;
    AskToStop(cell, victim.ref.job, victim.ref.member, true, now, commands);
  }
  Job& job = cell.jobs[index];
  job.claims++;
  Worker& worker = cell.workers[plan.worker];
  worker.claimed = worker.claimed + size;
  Team& team = cell.teams[job.team];
  team.claimed = team.claimed + size;
  cell.claims.push_back(
      {index, job.sequence, job.team, plan.worker, size, now});
}

/// Claims capacity for the jobs of one shape that are within their quota and
/// have waited since `before`. Returns false when no plan is left this tick.
bool ClaimForShape(Cell& cell, const ShapeQueue& shape, Victims kind,
                   TimeMs before, uint32_t& plans, TimeMs now,
                   Commands& commands) {
  const Resources size = AllocationOf(cell, shape.key);
  for (const auto& [team_index, lane] : shape.lanes) {
    if (lane.borrowing) continue;
    const Team& team = cell.teams[team_index];
    for (const QueueEntry& entry : lane.jobs) {
      const Job& job = cell.jobs[entry.job];
      if (job.submitted_ms > before) break;
      while (job.claims < job.waiting) {
        if (!IsWithinQuota(team, team.claimed + size)) break;
        if (plans == 0 || cell.claims.size() >= kMaxClaims) return false;
        plans--;
        const PreemptionPlan plan = PlanPreemption(cell, size, kind, now);
        if (plan.worker == kNone) return true;
        MakeClaim(cell, entry.job, size, plan, now, commands);
      }
    }
  }
  return true;
}

void ClaimForClass(Cell& cell, RequestClass request_class, Victims kind,
                   TimeMs before, uint32_t& plans, TimeMs now,
                   Commands& commands) {
  const auto& queue = cell.queues[static_cast<size_t>(request_class)];
  for (const auto& [key, shape] : queue.shapes) {
    if (!ClaimForShape(cell, shape, kind, before, plans, now, commands)) return;
  }
}

/// Starts the claimed member, or returns whether the claim stays.
bool KeepClaim(Cell& cell, const Claim& claim, TimeMs now, Commands& commands) {
  const Job& job = cell.jobs[claim.job];
  if (job.sequence != claim.job_sequence) return false;
  const Worker& worker = cell.workers[claim.worker];
  if (!job.queued || job.waiting == 0 || worker.bucket == kNone ||
      now - claim.made_ms > kClaimMs) {
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

void RunQuotas(Cell& cell, TimeMs now, Commands& commands) {
  const bool borrowed =
      std::any_of(cell.teams.begin(), cell.teams.end(), IsBeyondQuota);
  if (!borrowed) return;
  uint32_t plans = kPlansPerTick;
  ClaimForClass(cell, RequestClass::kBatch, Victims::kBorrowers,
                now - kReturnAfterMs, plans, now, commands);
}

void RunPreemption(Cell& cell, TimeMs now, Commands& commands) {
  uint32_t plans = kPlansPerTick;
  ClaimForClass(cell, RequestClass::kUrgent, Victims::kBatch, now, plans, now,
                commands);
  ClaimForClass(cell, RequestClass::kService, Victims::kBatch,
                now - kReturnAfterMs, plans, now, commands);
}

}  // namespace dotterelcove::core
