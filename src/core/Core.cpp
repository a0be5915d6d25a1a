#include "core/Core.h"

#include <cassert>

#include "core/Admission.h"
#include "core/Placement.h"
#include "core/Queue.h"
#include "core/Systems.h"
#include "core/Tables.h"

namespace dotterelcove::core {
namespace {

template <class Index>
Index Intern(std::unordered_map<std::string, Index>& by_name,
             std::vector<std::string>& names, const std::string& name) {
  const auto [found, added] =
      by_name.try_emplace(name, static_cast<Index>(names.size()));
  if (added) names.push_back(name);
  return found->second;
}

template <class Row>
uint32_t InternRow(std::unordered_map<std::string, uint32_t>& by_name,
                   std::vector<Row>& rows, const std::string& name) {
  const auto [found, added] =
      by_name.try_emplace(name, static_cast<uint32_t>(rows.size()));
  if (added) {
    rows.emplace_back();
    rows.back().name = name;
  }
  return found->second;
}

/// Adds (`sign` 1) or removes (`sign` -1) one worker of this capacity.
void CountCapacity(Cell& cell, const Resources& capacity, int sign) {
  for (CapacityClass& row : cell.capacities) {
    if (row.capacity != capacity) continue;
    row.workers += static_cast<uint32_t>(sign);
    return;
  }
  if (sign > 0) cell.capacities.push_back({capacity, 1});
}

JobIndex NewJob(Cell& cell) {
  if (cell.free_jobs.empty()) {
    cell.jobs.emplace_back();
    return static_cast<JobIndex>(cell.jobs.size() - 1);
  }
  const JobIndex index = cell.free_jobs.back();
  cell.free_jobs.pop_back();
  return index;
}

JobIndex FindJob(const Cell& cell, const std::string& id) {
  const auto found = cell.job_by_id.find(id);
  return found == cell.job_by_id.end() ? kNone : found->second;
}

/// Returns the member that a task reference names, or a reference with job
/// kNone.
MemberRef FindMember(const Cell& cell, const TaskRef& task) {
  const JobIndex job = FindJob(cell, task.job);
  if (job == kNone || task.member >= cell.jobs[job].members.size()) return {};
  return {job, task.member};
}

/// Allocation for a task that is on a worker already. The size that it was
/// started with is not known after a takeover, but a worker never allocates
/// more than it has.
Resources AdoptedSize(const Cell& cell, const Job& job, const Worker& worker) {
  return AtLeastZero(Min(AllocationOf(cell, ShapeOf(job)), FreeOf(worker)));
}

}  // namespace

void CellDeleter::operator()(Cell* cell) const { delete cell; }

CellPtr MakeCell(CoreOptions options) {
  CellPtr cell(new Cell);
  cell->options = options;
  return cell;
}

void SetQuota(Cell& cell, const std::string& name, const Resources& quota) {
  const TeamIndex index = InternRow(cell.team_by_name, cell.teams, name);
  cell.has_quotas = true;
  cell.teams[index].has_quota = true;
  cell.teams[index].quota = quota;
  cell.capacity_epoch++;
  RefreshTeam(cell, index);
}

void AddWorker(Cell& cell, const WorkerSpec& spec) {
  const auto [found, added] = cell.worker_by_id.try_emplace(
      spec.id, static_cast<WorkerIndex>(cell.workers.size()));
  if (added) {
    cell.workers.emplace_back();
  } else {
    CountCapacity(cell, cell.workers[found->second].spec.capacity, -1);
    cell.total_capacity =
        cell.total_capacity - cell.workers[found->second].spec.capacity;
  }
  Worker& worker = cell.workers[found->second];
  if (worker.tasks.empty()) {
    worker.zone = Intern(cell.zone_by_name, cell.zones, spec.zone);
    worker.rack =
        Intern(cell.rack_by_name, cell.racks, spec.zone + "/" + spec.rack);
  }
  worker.spec = spec;
  CountCapacity(cell, spec.capacity, 1);
  cell.total_capacity = cell.total_capacity + spec.capacity;
  cell.capacity_epoch++;
  Reindex(cell, found->second);
}

void SetWorkerState(Cell& cell, const std::string& id, WorkerState state,
                    TimeMs /*now*/) {
  const auto found = cell.worker_by_id.find(id);
  if (found == cell.worker_by_id.end()) return;
  Worker& worker = cell.workers[found->second];
  if (worker.state == state) return;
  worker.state = state;
  cell.capacity_epoch++;
  Reindex(cell, found->second);
  if (state != WorkerState::kLost) return;
  for (const MemberRef& ref : worker.tasks) {
    const Member& member = cell.jobs[ref.job].members[ref.member];
    cell.lost.push_back(
        {ref, cell.jobs[ref.job].sequence, member.attempt, TaskEnd::kLost});
  }
}

SubmitDecision Submit(Cell& cell, const JobSpec& spec, TimeMs now) {
  if (FindJob(cell, spec.id) != kNone) return {};
  if (cell.has_quotas && !cell.team_by_name.contains(spec.team)) {
    SubmitDecision decision;
    decision.accepted = false;
    decision.message = "unknown team " + spec.team;
    return decision;
  }
  SubmitDecision decision = CheckCanEverRun(cell, spec);
  if (!decision.accepted) return decision;
  decision = CheckLoad(cell, spec);
  if (!decision.accepted) return decision;

  const JobIndex index = NewJob(cell);
  Job& job = cell.jobs[index];
  job.id = spec.id;
  job.sequence = cell.next_sequence++;
  job.live = true;
  job.gang = spec.gang && spec.tasks > 1;
  job.idempotent = spec.idempotent;
  job.request_class = spec.request_class;
  job.team = InternRow(cell.team_by_name, cell.teams, spec.team);
  job.workload =
      InternRow(cell.workload_by_name, cell.workloads, spec.workload);
  job.size = spec.size;
  job.duration_ms = spec.duration_ms;
  job.start_by_ms = spec.start_by_ms;
  job.submitted_ms = now;
  job.order = OrderOf(cell, spec, now);
  job.members.resize(spec.tasks);
  job.waiting = spec.tasks;
  cell.job_by_id.emplace(spec.id, index);
  Enqueue(cell, index);
  if (spec.start_by_ms > 0) {
    Timer timer;
    timer.at_ms = spec.start_by_ms;
    timer.kind = TimerKind::kStartBy;
    timer.job = index;
    timer.job_sequence = job.sequence;
    AddTimer(cell, timer);
  }
  return {};
}

void Cancel(Cell& cell, const std::string& id, TimeMs /*now*/) {
  const JobIndex index = FindJob(cell, id);
  if (index == kNone || cell.jobs[index].cancelled) return;
  cell.jobs[index].cancelled = true;
  cell.cancellations.emplace_back(index, cell.jobs[index].sequence);
}

bool AdoptTask(Cell& cell, const TaskRef& task, const std::string& worker_id,
               TimeMs started_ms) {
  const MemberRef ref = FindMember(cell, task);
  const auto found = cell.worker_by_id.find(worker_id);
  if (ref.job == kNone || found == cell.worker_by_id.end()) return false;
  Job& job = cell.jobs[ref.job];
  Member& member = job.members[ref.member];
  if (IsActive(member.state)) {
    if (member.worker == found->second && member.attempt == task.attempt) {
      if (member.state == MemberState::kUncertain) {
        const Resources size = member.allocated;
        ReleaseMember(cell, ref.job, ref.member, MemberState::kWaiting);
        AllocateMember(cell, ref.job, ref.member, found->second, size,
                       MemberState::kRunning, started_ms);
      }
      return true;
    }
    if (member.state != MemberState::kUncertain ||
        member.attempt != task.attempt) {
      return false;
    }
    ReleaseMember(cell, ref.job, ref.member, MemberState::kWaiting);
  }
  if (member.state == MemberState::kEnded || job.ending) return false;
  if (member.state == MemberState::kDelayed) {
    member.state = MemberState::kWaiting;
    job.waiting++;
  }
  member.attempt = task.attempt;
  AllocateMember(cell, ref.job, ref.member, found->second,
                 AdoptedSize(cell, job, cell.workers[found->second]),
                 MemberState::kRunning, started_ms);
  if (job.waiting == 0) Dequeue(cell, ref.job);
  return true;
}

void AdoptEnded(Cell& cell, const std::string& id, uint32_t member_index) {
  const MemberRef ref = FindMember(cell, {id, member_index, 0});
  if (ref.job == kNone) return;
  Job& job = cell.jobs[ref.job];
  Member& member = job.members[member_index];
  if (member.state == MemberState::kEnded) return;
  if (IsActive(member.state)) {
    ReleaseMember(cell, ref.job, member_index, MemberState::kEnded);
  } else {
    if (member.state == MemberState::kWaiting) job.waiting--;
    member.state = MemberState::kEnded;
    job.ended++;
  }
  member.succeeded = true;
  job.may_have_run = true;
  if (job.waiting == 0) Dequeue(cell, ref.job);
  if (job.ended == job.members.size() && !job.ending) {
    job.ending = JobEnd::kDone;
    cell.finished.push_back(ref.job);
  }
}

void AdoptUncertain(Cell& cell, const TaskRef& task,
                    const std::string& worker_id) {
  const MemberRef ref = FindMember(cell, task);
  const auto found = cell.worker_by_id.find(worker_id);
  if (ref.job == kNone || found == cell.worker_by_id.end()) return;
  Job& job = cell.jobs[ref.job];
  Member& member = job.members[ref.member];
  if (member.state != MemberState::kWaiting) return;
  member.attempt = task.attempt;
  AllocateMember(cell, ref.job, ref.member, found->second,
                 AdoptedSize(cell, job, cell.workers[found->second]),
                 MemberState::kUncertain, 0);
  if (job.waiting == 0) Dequeue(cell, ref.job);
}

void TaskStarted(Cell& cell, const TaskRef& task, TimeMs now) {
  const MemberRef ref = FindMember(cell, task);
  if (ref.job == kNone) return;
  Member& member = cell.jobs[ref.job].members[ref.member];
  if (member.attempt != task.attempt) return;
  if (member.state != MemberState::kStarting) return;
  member.state = MemberState::kRunning;
  member.started_ms = now;
}

void TaskEnded(Cell& cell, const TaskRef& task, TaskEnd end, TimeMs /*now*/) {
  const MemberRef ref = FindMember(cell, task);
  if (ref.job == kNone) return;
  cell.ended.push_back({ref, cell.jobs[ref.job].sequence, task.attempt, end});
}

void ReportUsage(Cell& cell, const TaskRef& task, const Resources& used,
                 TimeMs /*now*/) {
  const MemberRef ref = FindMember(cell, task);
  if (ref.job == kNone) return;
  const Job& job = cell.jobs[ref.job];
  cell.usage.push_back({job.workload, job.size, used});
}

}  // namespace dotterelcove::core
