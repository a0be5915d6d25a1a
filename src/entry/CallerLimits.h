#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/NameTable.h"
#include "config/CellConfig.h"
#include "dotterelcove/Types.h"

namespace dotterelcove {

/// Whether a request may enter, and if not, which limit stopped it.
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

/// Limits of requests in this process. Each entry daemon enforces its share of
/// a caller's limit over the cell.
struct CallerLimits {
  struct Usage {
    /// Tokens in thousandths, so that low rates refill without rounding.
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

/// Takes one token of the caller's rate. Runs before a body is looked at, so
/// that a flood of invalid requests is stopped too.
AdmissionResult AdmitRate(CallerLimits& limits, const CellConfig& config,
                          const std::string& caller, TimeMs now);

/// Counts one request of `caller` as in progress, or names the limit that stops
/// it. Near the limit of the process the lower classes are stopped first.
AdmissionResult AcquireInProgress(CallerLimits& limits,
                                  const CellConfig& config,
                                  const std::string& caller,
                                  RequestClass request_class, TimeMs now);

/// Ends a request that AcquireInProgress() counted.
void ReleaseInProgress(CallerLimits& limits, const std::string& caller);

/// Forgets callers that have nothing in progress and were idle for a while, so
/// that invented names cannot fill the memory.
void EvictIdleCallers(CallerLimits& limits, TimeMs now);

}  // namespace dotterelcove
