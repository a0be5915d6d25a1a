#include "loop/LoopRuntime.h"

#include <algorithm>
#include <utility>

#include "base/Clock.h"

namespace dotterelcove {

LoopRuntime::LoopRuntime(EventLoop& loop)
    : timer(loop, [this] { this->OnTimer(); }) {}

Runtime LoopRuntime::MakeRuntime() {
  Runtime runtime;
  runtime.now = MonotonicMs;
  runtime.wall_ms = WallMs;
  runtime.after = [this](TimeMs delay_ms, std::function<void()> callback) {
    this->Add(delay_ms, std::move(callback));
  };
  return runtime;
}

void LoopRuntime::Add(TimeMs delay_ms, std::function<void()> callback) {
  this->entries.push({MonotonicMs() + std::max<TimeMs>(delay_ms, 0),
                      this->next_sequence++, std::move(callback)});
  this->Arm();
}

void LoopRuntime::Arm() {
  if (this->entries.empty()) return;
  const TimeMs due_ms = this->entries.top().due_ms;
  if (this->armed_for_ms >= 0 && this->armed_for_ms <= due_ms) return;
  this->armed_for_ms = due_ms;
  this->timer.StartAfter(std::max<TimeMs>(due_ms - MonotonicMs(), 0));
}

void LoopRuntime::OnTimer() {
  this->armed_for_ms = -1;
  const TimeMs now_ms = MonotonicMs();
  // Callbacks that are added by these callbacks run in a later loop iteration.
  std::vector<std::function<void()>> due;
  while (!this->entries.empty() && this->entries.top().due_ms <= now_ms) {
    due.push_back(this->entries.top().callback);
    this->entries.pop();
  }
  for (const auto& callback : due) callback();
  this->Arm();
}

}  // namespace dotterelcove
