/// The order in which steps are placed. Designed for a nearly full cell in
/// which a burst doubles one kind of work: urgent work goes first, then work by
/// how soon it must start to be on time, and jobs that are too late to have any
/// value last.
#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "workflow/JobTable.h"

namespace dotterelcove::workflow {

/// A job has no value any more once it takes longer than this multiple of its
/// objective.
inline constexpr int kLateFactor = 3;

/// Sort key, compared member by member; lower goes first.
struct OrderKey {
  /// 0 while the job still has value, 1 afterwards.
  int tier = 0;
  int priority = 0;
  /// Monotonic time by which the step has to start for the job to meet its
  /// objective.
  TimeMs latest_start_ms = 0;
  TimeMs accepted_ms = 0;

  friend bool operator==(const OrderKey&, const OrderKey&) = default;
  friend bool operator<(const OrderKey& a, const OrderKey& b) {
    return std::tie(a.tier, a.priority, a.latest_start_ms, a.accepted_ms) <
           std::tie(b.tier, b.priority, b.latest_start_ms, b.accepted_ms);
  }
};

/// For each step, the estimated length of the critical path from its start to
/// the end of the job.
std::vector<TimeMs> RemainingPathsMs(const JobSpec& spec);

OrderKey MakeOrderKey(const Job& job, uint32_t occurrence, uint32_t step,
                      TimeMs now_ms, int64_t wall_ms);

}  // namespace dotterelcove::workflow
