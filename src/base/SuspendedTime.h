/// Time for which the VM was suspended. The monotonic clock stands still
/// meanwhile, so an age measured on it can be too low.
#pragma once

#include <deque>

#include "dotterelcove/Types.h"

namespace dotterelcove {

/// Milliseconds on a clock that goes on while the VM is suspended.
TimeMs BootTimeMs();

struct SuspendedTime {
  struct Gap {
    /// Monotonic time at which it was noticed, at the first check after it.
    TimeMs noticed_ms = 0;
    TimeMs length_ms = 0;
  };
  /// What the two clocks differed by at the last check; -1 before the first.
  TimeMs offset_ms = -1;
  /// In order of time.
  std::deque<Gap> gaps;
};

/// Compares the clocks. To be called before each question for an age.
void CheckClocks(SuspendedTime& suspended, TimeMs monotonic_ms, TimeMs boot_ms);

/// How long the VM was suspended since a monotonic time. A suspension that may
/// have been earlier counts as well.
TimeMs SuspendedSince(const SuspendedTime& suspended, TimeMs since_ms);

}  // namespace dotterelcove
