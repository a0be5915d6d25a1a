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

/// A request whose body has been received completely.
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

/// Returns a response with this status and the JSON body {"error": message}.
HttpResponse MakeErrorResponse(int status, const std::string& message);

struct HttpExchange;

/// Handle for responding to one request, immediately or later. Copies refer to
/// the same request; only the first Send or Abort has an effect. A response to
/// a client that has disconnected is discarded.
class HttpReply {
 public:
  explicit HttpReply(std::shared_ptr<HttpExchange> exchange)
      : exchange(std::move(exchange)) {}
  void Send(HttpResponse response) const;
  /// Closes the connection without a response.
  void Abort() const;
  /// Whether the client still waits for a response: false after Send or Abort,
  /// and once the client has closed its side of the connection.
  bool is_open() const;

 private:
  std::shared_ptr<HttpExchange> exchange;
};

using HttpHandler = std::function<void(const HttpRequest&, HttpReply)>;

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  /// 0 selects a free port.
  uint16_t port = 0;
  size_t max_body_bytes = 1 << 20;
  /// Time a client has to send the headers, counted from the end of the
  /// previous request, and the same again for the body. Also the idle timeout.
  int64_t receive_timeout_ms = 15'000;
  unsigned max_connections = 4'096;
  /// Creates the responses that do not come from the handler: 413 for a body
  /// that is too large, 500 for a request whose handler has thrown.
  std::function<HttpResponse(int status, const std::string& message)>
      make_error = MakeErrorResponse;
};

/// The server could not listen on this address and port.
struct HttpListenError {
  std::string address;
  uint16_t port;
};

class HttpServer {
 public:
  static Result<std::unique_ptr<HttpServer>> Start(EventLoop& loop,
                                                   HttpServerOptions options,
                                                   HttpHandler handler);
  /// Closes connections with an open request without a response, since a
  /// response would claim an outcome that is not known here.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t port() const;
  /// Requests whose header was received and whose response is not complete.
  size_t open_requests() const;
  size_t open_connections() const;
  /// Closes the listening socket; open connections stay in service.
  void StopListening();
  bool is_listening() const;
  /// Makes the server close each connection after its next response.
  void CloseAfterAnswers();

 private:
  struct State;
  explicit HttpServer(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace dotterelcove
