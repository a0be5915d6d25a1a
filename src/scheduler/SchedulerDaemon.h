/// The scheduler daemon: the scheduler, its operator API and the follower of
/// the cell configuration.
#pragma once

#include <functional>
#include <memory>

#include "base/HybridClock.h"
#include "config/ConfigFollower.h"
#include "dotterelcove/Result.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "loop/EventLoop.h"
#include "scheduler/OperatorRoutes.h"
#include "scheduler/Scheduler.h"
#include "settings/DaemonSettings.h"

namespace dotterelcove {

class SchedulerDaemon {
 public:
  /// Fails with a PeerListenError or HttpListenError. `stopped` runs once after
  /// a planned stop.
  static Result<std::unique_ptr<SchedulerDaemon>> Start(
      EventLoop& loop, DaemonSettings settings, std::function<void()> stopped);
  ~SchedulerDaemon();
  SchedulerDaemon(const SchedulerDaemon&) = delete;
  SchedulerDaemon& operator=(const SchedulerDaemon&) = delete;

  /// Begins a planned stop.
  void Stop();
  Scheduler& scheduler() { return *this->candidate; }
  uint16_t http_port() const { return this->server->port(); }

 private:
  SchedulerDaemon(EventLoop& loop, DaemonSettings settings);
  void OnConfigMessage(const PeerInfo& peer, wire::FrameT& frame);

  DaemonSettings settings;
  HybridClock clock;
  EventRing events;
  Metrics metrics;
  HttpClient http;
  std::unique_ptr<ConfigFollower> follower;
  std::unique_ptr<Scheduler> candidate;
  OperatorContext operator_context;
  std::unique_ptr<HttpServer> server;
};

}  // namespace dotterelcove
