#pragma once

#include <cstdint>

namespace dotterelcove {

/// Hybrid logical time: milliseconds of wall time in the upper 48 bits, a
/// logical counter in the lower 16. Ordered as an integer; an event that was
/// caused by another always has the greater time, whatever the clocks show.
using HybridTime = uint64_t;

/// Hybrid logical clock of one process.
struct HybridClock {
  HybridTime last = 0;
};

/// Returns the time of a local event or an outgoing message, given wall time.
HybridTime Advance(HybridClock& clock, int64_t wall_ms);

/// Merges the time of a received message, then returns that of its receipt.
HybridTime Merge(HybridClock& clock, HybridTime received, int64_t wall_ms);

/// Wall-time part in milliseconds since the Unix epoch.
inline int64_t WallMsOf(HybridTime time) {
  return static_cast<int64_t>(time >> 16);
}

}  // namespace dotterelcove
