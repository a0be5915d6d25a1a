/// The endpoint interface: POST /run, see docs/design.md 5.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/NameTable.h"
#include "dotterelcove/Types.h"
#include "http/HttpClient.h"

namespace dotterelcove {

/// Outcome of one run at an endpoint, and thereby whether the work may have
/// run.
enum class RunStatus : uint8_t {
  /// Complete answer with status 200.
  kDone,
  /// The connection failed before a byte was sent: nothing ran.
  kNotSent,
  /// Status 503: nothing ran.
  kRefused,
  /// Another status: the work ran, at least in part.
  kFailed,
  /// The answer was lost or late: the work may have run.
  kUnknown,
};
inline constexpr auto kRunStatusNames =
    MakeNameTable<RunStatus>({{RunStatus::kDone, "done"},
                              {RunStatus::kNotSent, "not_sent"},
                              {RunStatus::kRefused, "refused"},
                              {RunStatus::kFailed, "failed"},
                              {RunStatus::kUnknown, "unknown"}});

/// Whether work may have run at the endpoint after a run with this status.
inline bool MayHaveRun(RunStatus status) {
  return status != RunStatus::kNotSent && status != RunStatus::kRefused;
}

struct EndpointClient {
  HttpClient& http;
  int64_t connect_timeout_ms = 500;
  size_t max_answer_bytes = 16 << 20;
};

struct EndpointRun {
  /// Base URL of the endpoint.
  std::string address;
  std::string request_id;
  std::string payload;
  /// The request is not sent after `deadline_ms` (monotonic) and its answer is
  /// not awaited beyond it.
  TimeMs deadline_ms = 0;
  bool idempotent = true;
};

struct EndpointResult {
  RunStatus status = RunStatus::kUnknown;
  /// The endpoint announced that it is leaving.
  bool leaving = false;
  /// The connection could not be made.
  bool unreachable = false;
  std::string body;
  std::string detail;
  int64_t latency_us = 0;
};

/// Sends one run; `done` is called from the loop. A deadline that has passed
/// gives `kNotSent` at once, from inside this call. Returns the HTTP call's id,
/// 0 for none.
uint64_t RunOnEndpoint(const EndpointClient& client, const EndpointRun& run,
                       std::function<void(EndpointResult)> done);

}  // namespace dotterelcove
