#include "loop/EventLoop.h"

#include <cassert>
#include <utility>

#include "base/Clock.h"

namespace dotterelcove {
namespace {

constexpr double kMsPerSecond = 1000.0;

}  // namespace

EventLoop::EventLoop() : loop(ev_loop_new(EVFLAG_AUTO)) {
  assert(this->loop != nullptr);
}

EventLoop::~EventLoop() { ev_loop_destroy(this->loop); }

void EventLoop::Run() { ev_run(this->loop, 0); }

void EventLoop::Stop() { ev_break(this->loop, EVBREAK_ALL); }

bool EventLoop::RunUntil(const std::function<bool()>& done, TimeMs timeout_ms) {
  const TimeMs deadline = MonotonicMs() + timeout_ms;
  // The wake-up timer bounds each iteration, so that `done` and the deadline
  // are checked even when no other event is ready.
  Timer wake_up(*this, [] {});
  wake_up.StartEvery(5);
  while (!done()) {
    if (MonotonicMs() >= deadline) return false;
    ev_run(this->loop, EVRUN_ONCE);
  }
  return true;
}

Timer::Timer(EventLoop& loop, std::function<void()> callback)
    : loop(loop), callback(std::move(callback)), watcher() {
  ev_init(&this->watcher, OnFire);
  this->watcher.data = this;
}

Timer::~Timer() { this->Cancel(); }

void Timer::StartAfter(TimeMs delay_ms) {
  this->Cancel();
  // libev adds the delay to the time of the last poll, which is stale after a
  // long callback.
  ev_now_update(this->loop.raw());
  ev_timer_set(&this->watcher, static_cast<double>(delay_ms) / kMsPerSecond,
               0.0);
  ev_timer_start(this->loop.raw(), &this->watcher);
}

void Timer::StartEvery(TimeMs period_ms) {
  assert(period_ms > 0);
  this->Cancel();
  ev_now_update(this->loop.raw());
  const double period = static_cast<double>(period_ms) / kMsPerSecond;
  ev_timer_set(&this->watcher, period, period);
  ev_timer_start(this->loop.raw(), &this->watcher);
}

void Timer::Cancel() { ev_timer_stop(this->loop.raw(), &this->watcher); }

bool Timer::active() const { return ev_is_active(&this->watcher); }

void Timer::OnFire(struct ev_loop*, ev_timer* watcher, int) {
  // The copy keeps the callable alive if the callback destroys the timer.
  auto callback = static_cast<Timer*>(watcher->data)->callback;
  callback();
}

IoWatch::IoWatch(EventLoop& loop, std::function<void(int)> callback)
    : loop(loop), callback(std::move(callback)), watcher() {
  ev_init(&this->watcher, OnReady);
  this->watcher.data = this;
}

IoWatch::~IoWatch() { this->Stop(); }

void IoWatch::Start(int fd, int events) {
  // libev passes each change on to the kernel, also one to the same events.
  const bool is_same = ev_is_active(&this->watcher) && this->watcher.fd == fd &&
                       (this->watcher.events & (EV_READ | EV_WRITE)) == events;
  if (is_same) return;
  this->Stop();
  ev_io_set(&this->watcher, fd, events);
  ev_io_start(this->loop.raw(), &this->watcher);
}

void IoWatch::Stop() { ev_io_stop(this->loop.raw(), &this->watcher); }

void IoWatch::OnReady(struct ev_loop*, ev_io* watcher, int events) {
  auto callback = static_cast<IoWatch*>(watcher->data)->callback;
  callback(events);
}

SignalWatch::SignalWatch(EventLoop& loop, int signal_number,
                         std::function<void()> callback)
    : loop(loop), callback(std::move(callback)), watcher() {
  ev_signal_init(&this->watcher, OnSignal, signal_number);
  this->watcher.data = this;
  ev_signal_start(this->loop.raw(), &this->watcher);
}

SignalWatch::~SignalWatch() {
  ev_signal_stop(this->loop.raw(), &this->watcher);
}

void SignalWatch::OnSignal(struct ev_loop*, ev_signal* watcher, int) {
  static_cast<SignalWatch*>(watcher->data)->callback();
}

}  // namespace dotterelcove
