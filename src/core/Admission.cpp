#include "core/Admission.h"

#include <algorithm>
#include <bit>

#include "core/Lifecycle.h"
#include "core/Placement.h"
#include "core/Queue.h"
#include "core/Systems.h"

namespace dotterelcove::core {
namespace {

/// Share of max_queued at which batch jobs are refused, so that the higher
/// classes still have room; likewise for services.
constexpr double kBatchShare = 0.8;
constexpr double kServiceShare = 0.95;
/// Share of max_queued that the batch jobs of one team are limited to once the
/// queue is filled to kTeamShareThreshold. Both are below kBatchShare, so that
/// other teams still have room.
constexpr double kTeamShare = 0.25;
constexpr double kTeamShareThreshold = 0.5;
constexpr TimeMs kRetryAfterMs = 5'000;

/// Part of the requested size that a capacity covers, in thousandths per
/// resource, summed over the three resources.
int64_t Similarity(const Resources& size, const Resources& capacity) {
  const auto part = [](int64_t need, int64_t have) {
    return need > have ? have * 1000 / need : int64_t{1000};
  };
  return part(size.milli_cores, capacity.milli_cores) +
         part(size.memory_mb, capacity.memory_mb) +
         part(size.accelerators, capacity.accelerators);
}

std::string Describe(const Resources& size) {
  return std::to_string(size.milli_cores) + " millicores, " +
         std::to_string(size.memory_mb) + " MB, " +
         std::to_string(size.accelerators) + " accelerators";
}

/// Returns whether one of several teams holds so much of the queue that others
/// would be refused because of it.
bool IsOverTeamShare(const Cell& cell, const std::string& team) {
  const auto found = cell.team_by_name.find(team);
  return found != cell.team_by_name.end() && cell.teams.size() > 1 &&
         cell.teams[found->second].queued_jobs >=
             cell.options.max_queued * kTeamShare;
}

/// Returns the last job that never started among the last few of the team
/// queue, or kNone.
JobIndex NewestUnstarted(const Cell& cell, const TeamQueue& team_queue) {
  constexpr int kMaxExamined = 4;
  int examined = 0;
  for (auto entry = team_queue.jobs.rbegin();
       entry != team_queue.jobs.rend() && examined < kMaxExamined;
       ++entry, ++examined) {
    const Job& job = cell.jobs[entry->job];
    if (!job.may_have_run && job.active == 0) return entry->job;
  }
  return kNone;
}

/// Sheds the last job that never started of the longest batch team queue, of
/// teams that borrow first. Returns false when there is none.
bool ShedOne(Cell& cell) {
  JobIndex victim = kNone;
  std::pair<bool, size_t> longest{false, 0};
  auto& queue = cell.queues[static_cast<size_t>(RequestClass::kBatch)];
  for (const auto& [key, shape] : queue.shapes) {
    for (const auto& [team, team_queue] : shape.team_queues) {
      const std::pair<bool, size_t> length{team_queue.borrowing,
                                           team_queue.jobs.size()};
      if (length <= longest) continue;
      const JobIndex job = NewestUnstarted(cell, team_queue);
      if (job == kNone) continue;
      victim = job;
      longest = length;
    }
  }
  if (victim == kNone) return false;
  Dequeue(cell, victim);
  cell.jobs[victim].ending = JobEnd::kNotRun;
  cell.jobs[victim].message = "shed for overload";
  cell.shed.push_back(victim);
  return true;
}

SubmitDecision Refuse(std::string message) {
  SubmitDecision decision;
  decision.accepted = false;
  decision.message = std::move(message);
  return decision;
}

}  // namespace

SubmitDecision CheckCanEverRun(const Cell& cell, const JobSpec& spec) {
  if (spec.tasks == 0) return Refuse("a job needs at least one task");
  const Resources& size = spec.size;
  if (size.milli_cores < 0 || size.memory_mb < 0 || size.accelerators < 0) {
    return Refuse("a size is negative");
  }
  // Right after a start no worker is known yet, so nothing can be refused.
  if (cell.capacities.empty()) return {};
  int64_t room = 0;
  Resources nearest;
  int64_t best = -1;
  for (const CapacityClass& row : cell.capacities) {
    if (row.workers == 0) continue;
    room += std::min<int64_t>(CountFits(size, row.capacity), INT32_MAX) *
            row.workers;
    const int64_t similarity = Similarity(size, row.capacity);
    if (similarity <= best) continue;
    best = similarity;
    nearest = Min(size, row.capacity);
  }
  if (room == 0) {
    SubmitDecision decision = Refuse("no worker has " + Describe(size) +
                                     "; nearest shape: " + Describe(nearest));
    decision.nearest = nearest;
    return decision;
  }
  if (spec.gang && room < spec.tasks) {
    SubmitDecision decision = Refuse(
        "all workers together hold " + std::to_string(room) + " of " +
        std::to_string(spec.tasks) + " gang members of " + Describe(size));
    decision.nearest = size;
    return decision;
  }
  return {};
}

SubmitDecision CheckLoad(Cell& cell, const JobSpec& spec) {
  const auto limit = static_cast<double>(cell.options.max_queued);
  const auto queued = static_cast<double>(cell.queued_jobs);
  const bool is_batch = spec.request_class == RequestClass::kBatch;
  double share = 1;
  if (is_batch) share = kBatchShare;
  if (spec.request_class == RequestClass::kService) share = kServiceShare;
  const bool over_team_share = is_batch &&
                               queued >= limit * kTeamShareThreshold &&
                               IsOverTeamShare(cell, spec.team);
  if (queued < limit * share && !over_team_share) return {};
  if (!is_batch && ShedOne(cell)) return {};
  SubmitDecision decision =
      Refuse(over_team_share
                 ? "overload: team " + spec.team + " has too many jobs queued"
                 : "overload: " + std::to_string(cell.queued_jobs) +
                       " jobs are queued");
  decision.retry_after_ms = kRetryAfterMs;
  return decision;
}

int64_t OrderOf(const Cell& cell, const JobSpec& spec, TimeMs now) {
  if (spec.request_class != RequestClass::kBatch || spec.gang) {
    // Gangs of all classes share one queue, in which higher classes go first;
    // other jobs have a queue per class.
    const int64_t offset =
        (int64_t{1} << 50) * (2 - static_cast<int64_t>(spec.request_class));
    return spec.gang ? now - offset : now;
  }
  // Ageing: a batch job of level n, the bit width of its work in core minutes,
  // is ordered as if it had been submitted n steps later. Smaller jobs go
  // first, but none that is submitted after that time overtakes it.
  constexpr int64_t kUnknownSeconds = 240;
  constexpr int64_t kMaxLevel = 5;
  const int64_t seconds =
      spec.duration_ms > 0 ? spec.duration_ms / 1000 : kUnknownSeconds;
  const int64_t work =
      seconds * std::max<int64_t>(spec.size.milli_cores, 1) / 1000 * spec.tasks;
  const int64_t level = std::min<int64_t>(
      std::bit_width(static_cast<uint64_t>(work / 60)), kMaxLevel);
  return now + level * cell.options.ageing_step_ms;
}

void RunShedJobs(Cell& cell, TimeMs /*now*/, Commands& commands) {
  for (const JobIndex job : cell.shed) {
    if (!cell.jobs[job].live) continue;
    FinishIfEnded(cell, job, commands);
    commands.back().retry_after_ms = kRetryAfterMs;
  }
  cell.shed.clear();
}

}  // namespace dotterelcove::core
