/// Implements Runtime on the event loop; all delayed callbacks share one timer.
#pragma once

#include <functional>
#include <queue>
#include <vector>

#include "base/Runtime.h"
#include "loop/EventLoop.h"

namespace dotterelcove {

class LoopRuntime {
 public:
  explicit LoopRuntime(EventLoop& loop);
  LoopRuntime(const LoopRuntime&) = delete;
  LoopRuntime& operator=(const LoopRuntime&) = delete;

  /// The returned functions refer to this object, which must outlive them.
  Runtime MakeRuntime();

 private:
  struct Entry {
    TimeMs due_ms = 0;
    /// Keeps callbacks that are due in the same millisecond in FIFO order.
    uint64_t sequence = 0;
    std::function<void()> callback;
  };
  struct Later {
    bool operator()(const Entry& a, const Entry& b) const {
      return a.due_ms != b.due_ms ? a.due_ms > b.due_ms
                                  : a.sequence > b.sequence;
    }
  };

  void Add(TimeMs delay_ms, std::function<void()> callback);
  void OnTimer();
  void Arm();

  uint64_t next_sequence = 0;
  TimeMs armed_for_ms = -1;
  std::priority_queue<Entry, std::vector<Entry>, Later> entries;
  Timer timer;
};

}  // namespace dotterelcove
