/// Operator HTTP routes common to all daemons: /metrics, /healthz, /readyz,
/// /v1/events, /v1/state, /v1/drain and /v1/log-level.
#pragma once

#include <functional>
#include <string>

#include "http/HttpServer.h"
#include "telemetry/Events.h"
#include "telemetry/Log.h"
#include "telemetry/Metrics.h"

namespace dotterelcove {

/// Daemon-specific data and handlers of the routes. Pointers must outlive the
/// server.
struct OperatorContext {
  std::string process;
  std::string zone;
  Metrics* metrics = nullptr;
  EventRing* events = nullptr;
  /// Called before /metrics is rendered, to set gauges; may be empty.
  std::function<void()> refresh_metrics;
  /// Returns why the process accepts no new work, an empty string when it is
  /// ready.
  std::function<std::string()> not_ready_reason;
  /// State as a JSON object. The command-line tool reads "role" ("entry" or
  /// "scheduler"), "config_version", "is_owner", "owner" (process name),
  /// "owner_epoch", "draining" and "store_age_ms" (since the store last
  /// answered) where they are present; process, zone, version and ready are
  /// added by the route. The metrics "ready", "config_version" and
  /// "store_age_seconds" are taken from here.
  std::function<std::string()> state_json;
  /// Drains a worker or endpoint VM, or this daemon itself when `vm` is empty.
  std::function<void(const std::string& vm, const HttpReply& reply)> drain;
  /// Defaults to the log of this process.
  std::function<void(LogLevel)> set_log_level = SetLogLevel;
};

/// Answers an operator request and returns true. Returns false without
/// answering for a path outside these routes.
bool HandleOperatorRequest(const OperatorContext& context,
                           const HttpRequest& request, const HttpReply& reply);

}  // namespace dotterelcove
