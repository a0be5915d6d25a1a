#include "base/SuspendedTime.h"

#include <ctime>

namespace dotterelcove {
namespace {

/// Differences below this are rounding of the two clocks.
constexpr TimeMs kLeastGapMs = 5;
/// Gaps older than this are forgotten: no evidence is used for so long.
constexpr TimeMs kRememberedMs = 600'000;

}  // namespace

TimeMs BootTimeMs() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  constexpr TimeMs kMsPerSecond = 1'000;
  constexpr TimeMs kNsPerMs = 1'000'000;
  return time.tv_sec * kMsPerSecond + time.tv_nsec / kNsPerMs;
}

void CheckClocks(SuspendedTime& suspended, TimeMs monotonic_ms,
                 TimeMs boot_ms) {
  const TimeMs offset_ms = boot_ms - monotonic_ms;
  const bool is_first = suspended.offset_ms < 0;
  const TimeMs length_ms = offset_ms - suspended.offset_ms;
  if (!is_first && length_ms < kLeastGapMs) return;
  suspended.offset_ms = offset_ms;
  if (is_first) return;
  suspended.gaps.push_back({monotonic_ms, length_ms});
  while (monotonic_ms - suspended.gaps.front().noticed_ms > kRememberedMs) {
    suspended.gaps.pop_front();
  }
}

TimeMs SuspendedSince(const SuspendedTime& suspended, TimeMs since_ms) {
  TimeMs total_ms = 0;
  for (const SuspendedTime::Gap& gap : suspended.gaps) {
    if (gap.noticed_ms >= since_ms) total_ms += gap.length_ms;
  }
  return total_ms;
}

}  // namespace dotterelcove
