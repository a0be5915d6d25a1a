#pragma once

#include <chrono>
#include <cstdint>

#include "dotterelcove/Types.h"

namespace dotterelcove {

/// Milliseconds on this VM's monotonic clock. Never compared across VMs.
inline TimeMs MonotonicMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// Microseconds on this VM's monotonic clock, for latency measurements.
inline int64_t MonotonicUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// Milliseconds since the Unix epoch, for logs and events only.
inline int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace dotterelcove
