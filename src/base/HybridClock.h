#pragma once

#include <cstdint>

namespace dotterelcove {

/// Hybrid logical time: milliseconds of wall time in the upper 48 bits, a
/// logical counter in the lower 16. Compares as an integer; an event always has
/// a greater time than the events that caused it, whatever the clock skew.
using HybridTime = uint64_t;

/// Hybrid logical clock of one process.
struct HybridClock {
  HybridTime last = 0;
};

/// Advances the clock for a local event or an outgoing message and returns the
/// time of it. `wall_ms` is the current wall time.
HybridTime Advance(HybridClock& clock, int64_t wall_ms);

/// Merges the time carried by a received message, then advances the clock and
/// returns the time of receipt.
HybridTime Merge(HybridClock& clock, HybridTime received, int64_t wall_ms);

/// Wall-time part in milliseconds since the Unix epoch.
inline int64_t WallMsOf(HybridTime time) {
  return static_cast<int64_t>(time >> 16);
}

}  // namespace dotterelcove
