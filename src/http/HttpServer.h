/// An HTTP/1.1 server on the event loop (libmicrohttpd without threads).
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "dotterelcove/Result.h"
#include "dotterelcove/Types.h"
#include "loop/EventLoop.h"

namespace dotterelcove {

/// Header or query fields; header names are lower case.
using FieldMap = std::map<std::string, std::string>;

/// A request whose body has been received whole.
struct HttpRequest {
  std::string method;
  std::string path;
  FieldMap query;
  FieldMap headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
};

/// Makes a JSON error body {"error": message} with the given status.
HttpResponse MakeErrorResponse(int status, const std::string& message);

struct HttpExchange;

/// The right to answer one request, at once or later. Copies refer to the same
/// request; only the first Send counts. An answer to a caller that has gone
/// away is dropped.
class HttpReply {
 public:
  explicit HttpReply(std::shared_ptr<HttpExchange> exchange)
      : exchange(std::move(exchange)) {}
  void Send(HttpResponse response) const;
  /// Closes the connection without an answer.
  void Abort() const;
  /// Whether the caller still waits: false after Send or Abort, and once the
  /// caller has closed its side of the connection.
  bool is_open() const;

 private:
  std::shared_ptr<HttpExchange> exchange;
};

using HttpHandler = std::function<void(const HttpRequest&, HttpReply)>;

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  /// 0 takes a free port.
  uint16_t port = 0;
  size_t max_body_bytes = 1 << 20;
  /// Time a sender has for the headers, counted from the end of the request
  /// before, and again for the body; also the idle limit.
  int64_t receive_timeout_ms = 15'000;
  unsigned max_connections = 4'096;
  /// Makes the answers that the server gives by itself: 413.
  std::function<HttpResponse(int status, const std::string& message)>
      make_error = MakeErrorResponse;
};

/// The server could not listen.
struct HttpListenError {
  std::string address;
  uint16_t port;
};

class HttpServer {
 public:
  static Result<std::unique_ptr<HttpServer>> Start(EventLoop& loop,
                                                   HttpServerOptions options,
                                                   HttpHandler handler);
  /// Closes connections with an open request without an answer, since any
  /// answer would claim to know what became of it.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t port() const;
  /// Requests received whole and not answered yet.
  size_t open_requests() const;
  /// Connections open now.
  size_t open_connections() const;
  /// Closes the listening socket; open connections go on.
  void StopListening();
  bool is_listening() const;
  /// Closes each connection after its next answer.
  void CloseAfterAnswers();

 private:
  struct State;
  explicit HttpServer(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace dotterelcove
