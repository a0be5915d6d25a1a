/// The caller API's request format: strict parsing of a submitted body and
/// validation against the active configuration. docs/api.md describes each
/// field.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "config/CellConfig.h"
#include "dotterelcove/Result.h"
#include "dotterelcove/Types.h"
#include "http/HttpServer.h"

namespace dotterelcove {

/// Whether the connection is held open for the final outcome.
enum class SubmitMode : uint8_t { kWait, kAsync };
inline constexpr auto kSubmitModeNames = MakeNameTable<SubmitMode>(
    {{SubmitMode::kWait, "wait"}, {SubmitMode::kAsync, "async"}});

/// Validation error. The request was rejected before anything was sent for it.
struct CallerRequestError {
  /// HTTP status.
  int status = 400;
  /// Path of the invalid field, as in "resources.memory_mb"; empty for the
  /// whole body.
  std::string field;
  /// The error and the allowed values.
  std::string message;
  /// Key of the request, empty if the error precedes its parsing.
  std::string key = {};
};

/// A submitted request with every default filled in.
struct CallerRequest {
  std::string caller;
  std::string service;
  std::string kind;
  std::string key;
  std::string payload;
  std::string team;
  SubmitMode mode = SubmitMode::kWait;
  Delivery delivery = Delivery::kPlace;
  RequestClass request_class = RequestClass::kBatch;
  bool idempotent = true;
  bool gang = false;
  uint32_t tasks = 1;
  Resources size;
  int64_t duration_ms = 0;
  /// Milliseconds from receipt, 0 for none; routed requests always have one.
  int64_t deadline_ms = 0;
};

struct CallerCheckLimits {
  /// Longest deadline of a routed request.
  int64_t max_routed_deadline_ms = 10'000;
};

/// Longest payload. A Submit frame carries the whole payload next to the other
/// fields and must stay below kMaxFrameBytes.
inline constexpr size_t kMaxPayloadBytes = 768 << 10;
inline constexpr size_t kMaxKeyBytes = 256;
inline constexpr size_t kMaxCallerBytes = 128;
/// Longest deadline of a placed request.
inline constexpr int64_t kMaxPlacedDeadlineMs = 30LL * 24 * 3600 * 1000;
inline constexpr int64_t kMaxTasks = 10'000;
/// Upper bounds beyond any VM's capacity; a larger size indicates a wrong unit.
inline constexpr Resources kMaxTaskSize = {1'000'000, 16 << 20, 1'024};

/// Parses and validates a submitted body. Fails with a CallerRequestError.
Result<CallerRequest> ParseCallerRequest(const std::string& body,
                                         const std::string& caller,
                                         const CellConfig& config,
                                         const CallerCheckLimits& limits);

/// The caller named by the X-Caller header, "anonymous" without one. Fails with
/// a CallerRequestError.
Result<std::string> ReadCaller(const FieldMap& headers);

/// Whether `key` may name a request: 1 to 256 of A-Z a-z 0-9 . _ : ~ @ -
bool IsValidKey(const std::string& key);

/// Digest of every field that determines what runs. Excludes the deadline and
/// the mode, so that a retry may change them.
std::string DigestOf(const CallerRequest& request);

}  // namespace dotterelcove
