/// An HTTP/1.1 client on the event loop (libcurl's multi socket interface).
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "dotterelcove/Types.h"
#include "http/HttpServer.h"
#include "loop/EventLoop.h"

namespace dotterelcove {

/// Why a call failed. Only `kNotSent` proves that the server cannot have acted
/// on the request. `kBroken` is any other failure after sending began, such as
/// a connection closed early or a malformed response.
enum class HttpFailure : uint8_t {
  kNone,
  kNotSent,
  kTimedOut,
  kBroken,
  kTooLarge,
  kCancelled
};
inline constexpr auto kHttpFailureNames =
    MakeNameTable<HttpFailure>({{HttpFailure::kNone, "none"},
                                {HttpFailure::kNotSent, "not_sent"},
                                {HttpFailure::kTimedOut, "timed_out"},
                                {HttpFailure::kBroken, "broken"},
                                {HttpFailure::kTooLarge, "too_large"},
                                {HttpFailure::kCancelled, "cancelled"}});

struct HttpResult;

struct HttpCall {
  std::string method = "GET";
  std::string url;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Limit for the whole call, including time spent waiting for a connection;
  /// no request is sent after it.
  int64_t timeout_ms = 5'000;
  int64_t connect_timeout_ms = 1'000;
  /// Limit for the time without a byte of the answer, counted from the call and
  /// from each byte; 0 for none. Unlike `timeout_ms`, it does not cut off a
  /// large answer that keeps arriving over a slow link.
  int64_t max_silence_ms = 0;
  size_t max_response_bytes = 16 << 20;
  /// Opens a new connection instead of reusing one, so that the call does not
  /// fail because a reused connection turns out to be dead.
  bool fresh_connection = false;
  /// The request changes nothing, which is implied for GET. libcurl silently
  /// resends a request when a reused connection turns out to be dead. Only a
  /// read is resent: any other one may have been performed the first time, so
  /// the second answer would not tell its outcome, and the call fails instead.
  bool is_read = false;
  /// The result names the connection, so that it can be tagged.
  bool wants_connection = false;
  /// If not 0, the call is sent only on an open connection that has this tag.
  /// It opens none: without an idle one it fails with `kNotSent`.
  uint64_t required_tag = 0;
};

struct HttpResult {
  HttpFailure failure = HttpFailure::kNone;
  int status = 0;
  std::string body;
  FieldMap headers;
  /// libcurl's error text; empty without a failure and for `kCancelled`.
  std::string detail;
  /// Names the connection of an answered call that wanted it, for Tag(); empty
  /// if the connection was closed.
  std::string connection;
  /// Time from the call to the first byte of the answer, 0 without one.
  int64_t first_byte_ms = 0;
};

using HttpCallback = std::function<void(HttpResult)>;

class HttpClient {
 public:
  /// `max_connections_per_host` limits concurrent connections, 0 for no limit;
  /// calls above it are queued.
  explicit HttpClient(EventLoop& loop, int max_connections_per_host = 0);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call and returns an id for Cancel(). `callback` runs exactly once
  /// unless the client is destroyed first: later from the event loop, or inside
  /// Cancel().
  uint64_t Send(HttpCall call, HttpCallback callback);
  /// Ends a call with `kCancelled`; ignores an unknown id.
  void Cancel(uint64_t id);
  /// Gives an open connection a tag, in place of the one that it had, which is
  /// returned; 0 for none. Does nothing if it has been closed since.
  uint64_t Tag(const std::string& connection, uint64_t tag);
  size_t in_progress() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace dotterelcove
