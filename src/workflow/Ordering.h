/// The order in which steps get workers. Answers a cell that is nearly full
/// while a burst doubles one kind of work: urgent work first, then what can
/// still be on time, and what can no longer earn anything last.
#pragma once

#include <cstdint>
#include <tuple>

#include "workflow/JobTable.h"

namespace dotterelcove::workflow {

/// After this many objectives a job earns nothing any more.
inline constexpr int kLateFactor = 3;

/// Compared member by member; lower goes first.
struct OrderKey {
  /// 0 while the job can earn, 1 afterwards.
  int tier = 0;
  int priority = 0;
  /// Monotonic time by which the step has to start for the job to be on time.
  TimeMs latest_start_ms = 0;
  TimeMs accepted_ms = 0;

  friend bool operator==(const OrderKey&, const OrderKey&) = default;
  friend bool operator<(const OrderKey& a, const OrderKey& b) {
    return std::tie(a.tier, a.priority, a.latest_start_ms, a.accepted_ms) <
           std::tie(b.tier, b.priority, b.latest_start_ms, b.accepted_ms);
  }
};

/// The estimated time from the start of `step` to the end of the job.
TimeMs RemainingCriticalPathMs(const JobSpec& spec, uint32_t step);

OrderKey MakeOrderKey(const Job& job, uint32_t occurrence, uint32_t step,
                      TimeMs now_ms, int64_t wall_ms);

}  // namespace dotterelcove::workflow
