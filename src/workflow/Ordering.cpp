#include "workflow/Ordering.h"

#include <algorithm>
#include <utility>

namespace dotterelcove::workflow {

std::vector<TimeMs> StatedMs(const JobSpec& spec) {
  std::vector<TimeMs> stated;
  for (const StepSpec& step : spec.steps) stated.push_back(step.estimate_ms);
  return stated;
}

std::vector<TimeMs> RemainingPathsMs(const JobSpec& spec,
                                     const std::vector<TimeMs>& run_ms) {
  std::vector<TimeMs> remaining(spec.steps.size(), 0);
  for (size_t i = spec.steps.size(); i-- > 0;) {
    remaining[i] += run_ms[i];
    for (const uint32_t before : spec.steps[i].after) {
      remaining[before] = std::max(remaining[before], remaining[i]);
    }
  }
  return remaining;
}

void SetExpectedMs(Job& job, std::vector<TimeMs> expected_ms) {
  job.expected_ms = std::move(expected_ms);
  job.remaining_paths_ms = RemainingPathsMs(job.spec, job.expected_ms);
}

int64_t OverloadRank(int64_t remaining_work, bool is_late, TimeMs waited_ms) {
  // Callers value a late result at a fifth of one on time.
  constexpr double kLateWeight = 5;
  const double ageing =
      1 + static_cast<double>(std::max<TimeMs>(waited_ms, 0)) /
              static_cast<double>(kAgeingMs);
  const double weight = is_late ? kLateWeight : 1;
  return static_cast<int64_t>(static_cast<double>(remaining_work) * weight /
                              ageing);
}

namespace {

int64_t RemainingWork(const Job& job, uint32_t occurrence) {
  const std::vector<StepState>& steps = job.occurrences.at(occurrence).steps;
  int64_t work = 0;
  for (size_t i = 0; i < steps.size(); ++i) {
    const auto left = static_cast<int64_t>(steps[i].tasks.size()) -
                      static_cast<int64_t>(steps[i].done);
    work += left * job.spec.steps[i].size.milli_cores * job.expected_ms[i];
  }
  constexpr int64_t kMilliCores = 1'000;
  return work / kMilliCores;
}

}  // namespace

OrderKey MakeOrderKey(const Job& job, uint32_t occurrence, uint32_t step,
                      const OrderTime& time) {
  const TimeMs now_ms = time.now_ms;
  TimeMs begin_ms = job.accepted_ms;
  if (job.spec.occurrences > 0) {
    const int64_t due_wall_ms =
        job.spec.first_start_wall_ms + occurrence * job.spec.interval_ms;
    begin_ms = now_ms - (time.wall_ms - due_wall_ms);
  }
  const TimeMs remaining_ms = job.remaining_paths_ms[step];
  OrderKey key;
  key.priority = job.spec.policy.priority;
  key.accepted_ms = begin_ms;
  key.latest_start_ms = begin_ms + job.objective_ms - remaining_ms;
  key.rank = key.latest_start_ms;
  const bool long_running = job.spec.steps[step].long_running;
  const TimeMs last_use_ms = begin_ms + kLateFactor * job.objective_ms;
  key.is_without_value =
      !long_running && now_ms + remaining_ms / 2 > last_use_ms;
  key.is_beyond_share = !job.is_within_share;
  if (!time.is_overloaded) return key;
  key.is_late = !long_running && now_ms > key.latest_start_ms;
  key.rank = OverloadRank(RemainingWork(job, occurrence), key.is_late,
                          now_ms - begin_ms);
  return key;
}

}  // namespace dotterelcove::workflow
