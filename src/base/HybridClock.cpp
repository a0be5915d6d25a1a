#include "base/HybridClock.h"

#include <algorithm>

namespace dotterelcove {

HybridTime Advance(HybridClock& clock, int64_t wall_ms) {
  const HybridTime wall = static_cast<HybridTime>(wall_ms) << 16;
  clock.last = std::max(wall, clock.last + 1);
  return clock.last;
}

HybridTime Merge(HybridClock& clock, HybridTime received, int64_t wall_ms) {
  clock.last = std::max(clock.last, received);
  return Advance(clock, wall_ms);
}

}  // namespace dotterelcove
