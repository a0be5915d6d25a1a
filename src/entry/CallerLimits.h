#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/NameTable.h"
#include "config/CellConfig.h"
#include "dotterelcove/Types.h"

namespace dotterelcove {

/// Result of admission control: admitted, or the limit that was reached.
enum class Admission : uint8_t {
  kAdmitted,
  kCallerRate,
  kCallerInProgress,
  kProcessInProgress
};
inline constexpr auto kAdmissionNames = MakeNameTable<Admission>(
    {{Admission::kAdmitted, "admitted"},
     {Admission::kCallerRate, "caller_rate"},
     {Admission::kCallerInProgress, "caller_in_progress"},
     {Admission::kProcessInProgress, "process_in_progress"}});

/// Request limits of this process. A caller's limit applies to the whole cell;
/// each entry daemon enforces an equal share of it.
struct CallerLimits {
  struct Usage {
    /// Token bucket level in thousandths of a token, so that low rates refill
    /// without rounding.
    int64_t milli_tokens = 0;
    TimeMs refilled_ms = 0;
    int64_t in_progress = 0;
  };
  int64_t entries = 1;
  int64_t max_in_progress = 10'000;
  int64_t in_progress = 0;
  std::map<std::string, Usage> usage;
};

struct AdmissionResult {
  Admission admission = Admission::kAdmitted;
  int64_t retry_after_ms = 0;
};

/// Takes one token from the caller's token bucket. Runs before the body is
/// parsed, so that invalid requests are rate-limited too.
AdmissionResult AdmitRate(CallerLimits& limits, const CellConfig& config,
                          const std::string& caller, TimeMs now);

/// Counts one request of `caller` as in progress, or returns the limit that was
/// reached. Near the process limit, lower classes are rejected first.
AdmissionResult AcquireInProgress(CallerLimits& limits,
                                  const CellConfig& config,
                                  const std::string& caller,
                                  RequestClass request_class, TimeMs now);

/// Undoes one AcquireInProgress() when its request ends.
void ReleaseInProgress(CallerLimits& limits, const std::string& caller);

/// Evicts callers that are idle and have nothing in progress, so that requests
/// under made-up caller names cannot exhaust memory.
void EvictIdleCallers(CallerLimits& limits, TimeMs now);

}  // namespace dotterelcove
