#include "core/Placement.h"

#include <algorithm>
#include <bit>
#include <cassert>

#include "core/Queue.h"

namespace dotterelcove::core {
namespace {

/// Fitting workers compared per search: enough that the best of them differs
/// little from the best of all, and a bound on the cost in an idle cell, where
/// most workers fit.
constexpr uint32_t kMaxCandidates = 24;

uint32_t CoreBucket(int64_t milli_cores) {
  const int64_t cores = std::max<int64_t>(milli_cores, 0) / 1000;
  return static_cast<uint32_t>(
      std::min<int64_t>(cores, FreeIndex::kCoreBuckets - 1));
}

uint32_t AcceleratorClass(int64_t accelerators) {
  return static_cast<uint32_t>(
      std::clamp<int64_t>(accelerators, 0, FreeIndex::kAcceleratorClasses - 1));
}

size_t BucketOf(uint32_t accelerators, uint32_t core_bucket) {
  return size_t{accelerators} * FreeIndex::kCoreBuckets + core_bucket;
}

/// Returns `part` in thousandths of `whole`.
int64_t Share(int64_t part, int64_t whole) {
  return whole > 0 ? part * 1000 / whole : 0;
}

/// Best-fit score, lower is better: the sum of the shares of each resource that
/// stay free, accelerators counted twice. Taking the ratio of free cores to
/// free memory into account as well packed worse, see docs/measurements.md.
int64_t LeftoverScore(const Worker& worker, const Resources& rest) {
  const Resources& capacity = worker.spec.capacity;
  const int64_t cores = Share(rest.milli_cores, capacity.milli_cores);
  const int64_t memory = Share(rest.memory_mb, capacity.memory_mb);
  const int64_t accelerators = Share(rest.accelerators, capacity.accelerators);
  return cores + memory + 2 * accelerators;
}

struct ScoredWorker {
  WorkerIndex worker = kNone;
  int64_t score = INT64_MAX;
};

void Consider(const Cell& cell, const FitRequest& request, WorkerIndex index,
              int64_t penalty, ScoredWorker& best) {
  const Worker& worker = cell.workers[index];
  const Resources free = AvailableOf(worker, request.scope);
  int64_t score = penalty + LeftoverScore(worker, free - request.size);
  if (index == request.avoid) score += int64_t{1} << 40;
  // Equal scores go to the lower index, so that the result does not depend on
  // the bucket order.
  if (score < best.score || (score == best.score && index < best.worker)) {
    best = {index, score};
  }
}

}  // namespace

Resources AvailableOf(const Worker& worker, CapacityScope scope) {
  Resources free = FreeOf(worker) - worker.claimed;
  if (scope == CapacityScope::kUnreserved) free = free - worker.reserved;
  return free;
}

WorkerIndex FindBestFit(const Cell& cell, const FitRequest& request) {
  ScoredWorker best;
  uint32_t candidates = 0;
  const uint32_t first_bucket = CoreBucket(request.size.milli_cores);
  for (uint32_t accelerators = AcceleratorClass(request.size.accelerators);
       accelerators < FreeIndex::kAcceleratorClasses; ++accelerators) {
    uint64_t occupied =
        cell.free_index.occupied[accelerators] & (~uint64_t{0} << first_bucket);
    for (; occupied != 0; occupied &= occupied - 1) {
      const auto bucket = static_cast<uint32_t>(std::countr_zero(occupied));
      const auto& list =
          cell.free_index.buckets[BucketOf(accelerators, bucket)];
      for (const WorkerIndex index : list) {
        if (!Fits(request.size,
                  AvailableOf(cell.workers[index], request.scope))) {
          continue;
        }
        Consider(cell, request, index, 0, best);
        if (++candidates >= kMaxCandidates) return best.worker;
      }
    }
    // Workers with free accelerators are left to tasks that need them.
    if (best.worker != kNone && best.worker != request.avoid) break;
  }
  return best.worker;
}

WorkerIndex FindSpread(const Cell& cell, const FitRequest& request,
                       const Workload& workload) {
  const auto count = [](const std::map<uint32_t, uint32_t>& counts,
                        uint32_t key) -> int64_t {
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
  };
  // The shifts rank zones before racks before leftover scores, which are at
  // most 4,000; up to 4,095 members per rack.
  std::vector<int64_t> zones(cell.zones.size());
  std::vector<int64_t> racks(cell.racks.size());
  for (uint32_t i = 0; i < zones.size(); ++i) {
    zones[i] = count(workload.by_zone, i) << 26;
  }
  for (uint32_t i = 0; i < racks.size(); ++i) {
    racks[i] = count(workload.by_rack, i) << 14;
  }
  ScoredWorker best;
  for (WorkerIndex index = 0; index < cell.workers.size(); ++index) {
    const Worker& worker = cell.workers[index];
    if (worker.bucket == kNone) continue;
    if (!Fits(request.size, AvailableOf(worker, request.scope))) continue;
    Consider(cell, request, index, zones[worker.zone] + racks[worker.rack],
             best);
  }
  return best.worker;
}

bool CanPlaceAll(const Cell& cell, const Resources& size, uint32_t members,
                 CapacityScope scope) {
  int64_t fits = 0;
  const uint32_t first_bucket = CoreBucket(size.milli_cores);
  for (uint32_t accelerators = AcceleratorClass(size.accelerators);
       accelerators < FreeIndex::kAcceleratorClasses; ++accelerators) {
    uint64_t occupied =
        cell.free_index.occupied[accelerators] & (~uint64_t{0} << first_bucket);
    for (; occupied != 0; occupied &= occupied - 1) {
      const auto bucket = static_cast<uint32_t>(std::countr_zero(occupied));
      for (const WorkerIndex index :
           cell.free_index.buckets[BucketOf(accelerators, bucket)]) {
        const Worker& worker = cell.workers[index];
        const int64_t room = CountFits(size, AvailableOf(worker, scope));
        // A worker that is probed takes one task only.
        fits += worker.probing ? std::min<int64_t>(room, 1) : room;
        if (fits >= members) return true;
      }
    }
  }
  return false;
}

void Reindex(Cell& cell, WorkerIndex index) {
  Worker& worker = cell.workers[index];
  FreeIndex& free_index = cell.free_index;
  const bool accepts_tasks = !worker.quarantined || worker.probing;
  uint32_t bucket = kNone;
  if (worker.state == WorkerState::kUsable && accepts_tasks) {
    const Resources free = FreeOf(worker);
    bucket = AcceleratorClass(free.accelerators) * FreeIndex::kCoreBuckets +
             CoreBucket(free.milli_cores);
  }
  if (bucket == worker.bucket) return;
  if (worker.bucket != kNone) {
    auto& list = free_index.buckets[worker.bucket];
    const WorkerIndex last = list.back();
    list[worker.bucket_position] = last;
    cell.workers[last].bucket_position = worker.bucket_position;
    list.pop_back();
    if (list.empty()) {
      free_index.occupied[worker.bucket / FreeIndex::kCoreBuckets] &=
          ~(uint64_t{1} << (worker.bucket % FreeIndex::kCoreBuckets));
    }
  }
  worker.bucket = bucket;
  if (bucket == kNone) return;
  auto& list = free_index.buckets[bucket];
  worker.bucket_position = static_cast<uint32_t>(list.size());
  list.push_back(index);
  free_index.occupied[bucket / FreeIndex::kCoreBuckets] |=
      uint64_t{1} << (bucket % FreeIndex::kCoreBuckets);
}

void AllocateMember(Cell& cell, JobIndex job_index, uint32_t member_index,
                    WorkerIndex worker_index, const Resources& size,
                    MemberState state, TimeMs now) {
  Job& job = cell.jobs[job_index];
  Member& member = job.members[member_index];
  Worker& worker = cell.workers[worker_index];
  assert(!IsActive(member.state) && IsActive(state));
  if (member.state == MemberState::kWaiting) job.waiting--;
  member.state = state;
  member.worker = worker_index;
  member.allocated = size;
  member.started_ms = now;
  job.active++;
  cell.active_members++;
  worker.allocated = worker.allocated + size;
  assert(Fits(worker.allocated, worker.spec.capacity) || IsZero(size));
  worker.tasks.push_back({job_index, member_index});
  if (IsPreemptible(job, member)) {
    worker.preemptible = worker.preemptible + size;
  }
  if (worker.probing) {
    worker.probing = false;
    worker.probe_started = true;
    worker.probe_at_ms = now + worker.probe_delay_ms;
  }
  Workload& workload = cell.workloads[job.workload];
  workload.by_zone[worker.zone]++;
  workload.by_rack[worker.rack]++;
  Reindex(cell, worker_index);
  Team& team = cell.teams[job.team];
  team.used = team.used + size;
  RefreshTeam(cell, job.team);
}

void StartMember(Cell& cell, JobIndex job_index, uint32_t member_index,
                 WorkerIndex worker_index, const Resources& size, TimeMs now,
                 Commands& commands) {
  Job& job = cell.jobs[job_index];
  Member& member = job.members[member_index];
  assert(member.state == MemberState::kWaiting);
  member.attempt++;
  AllocateMember(cell, job_index, member_index, worker_index, size,
                 MemberState::kStarting, now);
  Command command;
  command.kind = CommandKind::kStart;
  command.task = {job.id, member_index, member.attempt};
  command.worker = cell.workers[worker_index].spec.id;
  command.size = size;
  commands.push_back(std::move(command));
}

void MarkStopping(Cell& cell, JobIndex job_index, uint32_t member_index) {
  Job& job = cell.jobs[job_index];
  Member& member = job.members[member_index];
  Worker& worker = cell.workers[member.worker];
  if (IsPreemptible(job, member)) {
    worker.preemptible = worker.preemptible - member.allocated;
  }
  member.state = MemberState::kStopping;
  worker.stopping = worker.stopping + member.allocated;
  Team& team = cell.teams[job.team];
  team.stopping = team.stopping + member.allocated;
}

void ReleaseMember(Cell& cell, JobIndex job_index, uint32_t member_index,
                   MemberState state) {
  Job& job = cell.jobs[job_index];
  Member& member = job.members[member_index];
  Worker& worker = cell.workers[member.worker];
  assert(IsActive(member.state) && !IsActive(state));
  worker.allocated = worker.allocated - member.allocated;
  if (IsPreemptible(job, member)) {
    worker.preemptible = worker.preemptible - member.allocated;
  } else if (member.state == MemberState::kStopping) {
    worker.stopping = worker.stopping - member.allocated;
  }
  const MemberRef ref{job_index, member_index};
  const auto found = std::find(worker.tasks.begin(), worker.tasks.end(), ref);
  *found = worker.tasks.back();
  worker.tasks.pop_back();
  Workload& workload = cell.workloads[job.workload];
  if (--workload.by_zone[worker.zone] == 0) {
    workload.by_zone.erase(worker.zone);
  }
  if (--workload.by_rack[worker.rack] == 0) {
    workload.by_rack.erase(worker.rack);
  }
  Reindex(cell, member.worker);
  Team& team = cell.teams[job.team];
  team.used = team.used - member.allocated;
  if (member.state == MemberState::kStopping) {
    team.stopping = team.stopping - member.allocated;
  }
  member.state = state;
  member.worker = kNone;
  member.allocated = {};
  job.active--;
  cell.active_members--;
  if (state == MemberState::kWaiting) job.waiting++;
  if (state == MemberState::kEnded) job.ended++;
  cell.capacity_epoch++;
  RefreshTeam(cell, job.team);
}

int64_t CountFits(const Resources& size, const Resources& free) {
  int64_t count = INT64_MAX;
  if (size.milli_cores > 0) {
    count = std::min(count, free.milli_cores / size.milli_cores);
  }
  if (size.memory_mb > 0) {
    count = std::min(count, free.memory_mb / size.memory_mb);
  }
  if (size.accelerators > 0) {
    count = std::min(count, free.accelerators / size.accelerators);
  }
  return std::max<int64_t>(count, 0);
}

uint32_t FirstWaiting(const Job& job) {
  for (uint32_t i = 0; i < job.members.size(); ++i) {
    if (job.members[i].state == MemberState::kWaiting) return i;
  }
  return kNone;
}

}  // namespace dotterelcove::core
