#include "entry/CallerLimits.h"

#include <algorithm>
#include <cassert>

namespace dotterelcove {
namespace {

constexpr int64_t kMilli = 1'000;
/// A bucket is full again after a second without requests, so an idle caller
/// loses nothing when it is forgotten.
constexpr TimeMs kIdleMs = 2'000;
/// Callers tracked one by one; further names share one entry until idle ones
/// are forgotten.
constexpr size_t kMaxCallers = 10'000;
constexpr const char* kOverflowCaller = "(others)";
/// Suggested wait when requests in progress are at a limit; how soon one ends
/// is not known.
constexpr int64_t kRetryMs = 1'000;

const CallerConfig& LimitsOf(const CellConfig& config,
                             const std::string& caller) {
  static const CallerConfig unconfigured;
  auto found = config.callers.find(caller);
  if (found == config.callers.end()) found = config.callers.find("default");
  return found == config.callers.end() ? unconfigured : found->second;
}

/// This process's share of a limit over the cell.
int64_t ShareOf(const CallerLimits& limits, int64_t limit) {
  return std::max<int64_t>(1, limit / std::max<int64_t>(1, limits.entries));
}

/// Requests in progress at which this class is stopped.
int64_t ProcessLimit(const CallerLimits& limits, RequestClass request_class) {
  // The last tenth is kept for urgent requests and half of it for services.
  const int64_t tenth = limits.max_in_progress / 10;
  switch (request_class) {
    case RequestClass::kUrgent:
      return limits.max_in_progress;
    case RequestClass::kService:
      return limits.max_in_progress - tenth / 2;
    case RequestClass::kBatch:
      break;
  }
  return limits.max_in_progress - tenth;
}

CallerLimits::Usage& UsageOf(CallerLimits& limits, const std::string& caller,
                             int64_t rate, TimeMs now) {
  const bool known = limits.usage.contains(caller);
  const bool full = !known && limits.usage.size() >= kMaxCallers;
  const auto [found, added] =
      limits.usage.try_emplace(full ? kOverflowCaller : caller);
  CallerLimits::Usage& usage = found->second;
  if (added) {
    usage.milli_tokens = rate * kMilli;
    usage.refilled_ms = now;
  }
  const TimeMs passed = std::min<TimeMs>(now - usage.refilled_ms, kMilli);
  // One token a second is one thousandth a millisecond.
  usage.milli_tokens =
      std::min(usage.milli_tokens + passed * rate, rate * kMilli);
  usage.refilled_ms = now;
  return usage;
}

}  // namespace

AdmissionResult AdmitRate(CallerLimits& limits, const CellConfig& config,
                          const std::string& caller, TimeMs now) {
  const int64_t rate =
      ShareOf(limits, LimitsOf(config, caller).requests_per_second);
  CallerLimits::Usage& usage = UsageOf(limits, caller, rate, now);
  if (usage.milli_tokens < kMilli) {
    const int64_t wait = (kMilli - usage.milli_tokens + rate - 1) / rate;
    return {Admission::kCallerRate, std::max<int64_t>(1, wait)};
  }
  usage.milli_tokens -= kMilli;
  return {};
}

AdmissionResult AcquireInProgress(CallerLimits& limits,
                                  const CellConfig& config,
                                  const std::string& caller,
                                  RequestClass request_class, TimeMs now) {
  if (limits.in_progress >= ProcessLimit(limits, request_class)) {
    return {Admission::kProcessInProgress, kRetryMs};
  }
  const CallerConfig& caller_limits = LimitsOf(config, caller);
  CallerLimits::Usage& usage = UsageOf(
      limits, caller, ShareOf(limits, caller_limits.requests_per_second), now);
  if (usage.in_progress >= ShareOf(limits, caller_limits.max_in_progress)) {
    return {Admission::kCallerInProgress, kRetryMs};
  }
  limits.in_progress++;
  usage.in_progress++;
  return {};
}

void ReleaseInProgress(CallerLimits& limits, const std::string& caller) {
  auto found = limits.usage.find(caller);
  if (found == limits.usage.end() || found->second.in_progress == 0) {
    found = limits.usage.find(kOverflowCaller);
  }
  assert(found != limits.usage.end() && limits.in_progress > 0);
  limits.in_progress--;
  if (found->second.in_progress > 0) found->second.in_progress--;
}

void EvictIdleCallers(CallerLimits& limits, TimeMs now) {
  std::erase_if(limits.usage, [now](const auto& entry) {
    return entry.second.in_progress == 0 &&
           now - entry.second.refilled_ms > kIdleMs;
  });
}

}  // namespace dotterelcove
