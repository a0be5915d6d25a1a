/// A test double of the platform's endpoints: many endpoints in one process,
/// one port each, with faults on demand and a journal of every run.
#pragma once

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "border/vmlist/VmList.h"
#include "http/HttpServer.h"
#include "loop/EventLoop.h"

namespace dotterelcove {

/// Faults of one endpoint, set by POST /control/fault with a JSON object of the
/// same names. Any endpoint of the process and the control port take it; the
/// key "endpoint" names the endpoint to change.
struct EndpointFaults {
  /// Answers carry X-Endpoint-State: leaving, and new runs are refused.
  bool leaving = false;
  /// Connections are refused.
  bool unreachable = false;
  /// Number of next runs that end without an answer: the connection closes.
  int64_t lose_answers = 0;
  /// Runs, then answers 500.
  bool fail = false;
  /// Delay before each answer, after the run.
  int64_t delay_ms = 0;
  /// Factor by which every run time is multiplied.
  double slow = 1.0;
};

/// One journal line.
struct EndpointEntry {
  int64_t wall_ms = 0;
  int64_t monotonic_us = 0;
  std::string endpoint;
  std::string request;
  /// started, ended, refused, over_slots, over_connections
  std::string event;
  int64_t busy_slots = 0;
  int64_t open_connections = 0;
};

class EndpointStandin {
 public:
  /// Serves the endpoints of `vms`; each listens at the port of its address, or
  /// at a free one when that is 0. `journal` may be empty for none. A control
  /// port of 0 opens none.
  static Result<std::unique_ptr<EndpointStandin>> Start(
      EventLoop& loop, const std::vector<Vm>& vms, const std::string& journal,
      uint16_t control_port = 0);
  ~EndpointStandin();
  EndpointStandin(const EndpointStandin&) = delete;
  EndpointStandin& operator=(const EndpointStandin&) = delete;

  void SetFaults(const std::string& endpoint, const EndpointFaults& faults);
  /// Base URL of an endpoint.
  std::string address(const std::string& endpoint) const;
  /// The newest entries, for tests in the same process.
  const std::deque<EndpointEntry>& entries() const;
  /// Number of entries with this event and, unless empty, request id.
  size_t Count(const std::string& event, const std::string& request = {}) const;

 private:
  struct State;
  explicit EndpointStandin(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace dotterelcove
