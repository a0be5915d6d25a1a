#include "core/Admission.h"

#include <algorithm>
#include <bit>

#include "core/Lifecycle.h"
#include "core/Systems.h"

namespace dotterelcove::core {
namespace {

/// Share of max_queued at which batch jobs are refused, so that the higher
/// classes still find room.
constexpr double kBatchShare = 0.8;
constexpr double kServiceShare = 0.95;
constexpr TimeMs kRetryAfterMs = 5'000;

int64_t CountFits(const Resources& size, const Resources& capacity) {
  int64_t count = INT32_MAX;
  if (size.milli_cores > 0) {
    count = std::min(count, capacity.milli_cores / size.milli_cores);
  }
  if (size.memory_mb > 0) {
    count = std::min(count, capacity.memory_mb / size.memory_mb);
  }
  if (size.accelerators > 0) {
    count = std::min(count, capacity.accelerators / size.accelerators);
  }
  return count;
}

/// How much of the requested size a capacity can serve, in thousandths.
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
  // Right after a start no worker is known yet; nothing can be refused then.
  if (cell.capacities.empty()) return {};
  int64_t room = 0;
  Resources nearest;
  int64_t best = -1;
  for (const CapacityClass& row : cell.capacities) {
    if (row.workers == 0) continue;
    room += CountFits(size, row.capacity) * row.workers;
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
  double share = 1;
  if (spec.request_class == RequestClass::kBatch) share = kBatchShare;
  if (spec.request_class == RequestClass::kService) share = kServiceShare;
  if (queued < limit * share) return {};
  SubmitDecision decision = Refuse(
      "overload: " + std::to_string(cell.queued_jobs) + " jobs are queued");
  decision.retry_after_ms = kRetryAfterMs;
  return decision;
}

int64_t OrderOf(const Cell& cell, const JobSpec& spec, TimeMs now) {
  if (spec.request_class != RequestClass::kBatch || spec.gang) {
    // Higher classes of gangs go first; other classes have their own queue.
    const int64_t offset =
        (int64_t{1} << 50) * (2 - static_cast<int64_t>(spec.request_class));
    return spec.gang ? now - offset : now;
  }
  // Ageing: a job of level n waits as if it had come n steps later, so that
  // no later arrival overtakes it after that time.
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

void RunOverload(Cell& cell, TimeMs now, Commands& commands) {
  for (const JobIndex job : cell.shed) {
    if (!cell.jobs[job].live) continue;
    BeginEnding(cell, job, JobEnd::kNotRun, "shed for overload", now, commands);
    commands.back().retry_after_ms = kRetryAfterMs;
  }
  cell.shed.clear();
}

}  // namespace dotterelcove::core
