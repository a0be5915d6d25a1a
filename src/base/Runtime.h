/// Time as the decisions, state and recovery see it, so that they run alike on
/// real and on virtual time.
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
  /// Calls back once after a delay. There is no way to cancel: the callback
  /// checks whether it is still wanted.
  std::function<void(TimeMs delay_ms, std::function<void()>)> after;
};

}  // namespace dotterelcove
