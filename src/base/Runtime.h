/// Clock and timer interface for scheduling decisions, state and recovery, so
/// that the same code runs on real time and on the virtual time of simulations.
#pragma once

#include <cstdint>
#include <functional>

#include "dotterelcove/Types.h"

namespace dotterelcove {

struct Runtime {
  /// Milliseconds on the monotonic clock of this process.
  std::function<TimeMs()> now;
  /// Milliseconds since the Unix epoch.
  std::function<int64_t()> wall_ms;
  /// Runs the callback once after `delay_ms`. It cannot be cancelled; the
  /// callback must check whether it still applies.
  std::function<void(TimeMs delay_ms, std::function<void()>)> after;
};

}  // namespace dotterelcove
