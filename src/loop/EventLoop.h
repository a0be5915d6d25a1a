/// RAII wrappers for libev. Every process runs one loop on one thread;
/// callbacks run on that thread and must not block.
#pragma once

#include <ev.h>

#include <functional>

#include "dotterelcove/Types.h"

namespace dotterelcove {

/// The event loop of one process, or of one test.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until Stop() is called.
  void Run();
  /// Makes Run() return after the current callback.
  void Stop();
  /// Runs until `done` returns true or `timeout_ms` has passed; returns false
  /// on timeout. For tests and command-line tools.
  bool RunUntil(const std::function<bool()>& done, TimeMs timeout_ms);

  struct ev_loop* raw() {
    return this->loop;
  }

 private:
  struct ev_loop* loop;
};

/// A one-shot or repeating timer. Destroying it cancels it; the callback may
/// restart, cancel or destroy it.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Fires once after `delay_ms`; replaces any pending start.
  void StartAfter(TimeMs delay_ms);
  /// Fires every `period_ms`; replaces any pending start.
  void StartEvery(TimeMs period_ms);
  void Cancel();
  bool active() const;

 private:
  static void OnFire(struct ev_loop* loop, ev_timer* watcher, int events);

  EventLoop& loop;
  std::function<void()> callback;
  ev_timer watcher;
};

/// Watches one file descriptor for EV_READ and EV_WRITE.
class IoWatch {
 public:
  IoWatch(EventLoop& loop, std::function<void(int events)> callback);
  ~IoWatch();
  IoWatch(const IoWatch&) = delete;
  IoWatch& operator=(const IoWatch&) = delete;

  /// Watches `fd` for `events`; replaces the previous descriptor and events.
  void Start(int fd, int events);
  void Stop();

 private:
  static void OnReady(struct ev_loop* loop, ev_io* watcher, int events);

  EventLoop& loop;
  std::function<void(int)> callback;
  ev_io watcher;
};

/// Runs a callback on the loop's thread when the process receives a signal.
class SignalWatch {
 public:
  SignalWatch(EventLoop& loop, int signal_number,
              std::function<void()> callback);
  ~SignalWatch();
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;

 private:
  static void OnSignal(struct ev_loop* loop, ev_signal* watcher, int events);

  EventLoop& loop;
  std::function<void()> callback;
  ev_signal watcher;
};

}  // namespace dotterelcove
