#include "http/HttpServer.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <exception>
#include <nlohmann/json.hpp>

#include "base/Clock.h"
#include "telemetry/Log.h"

namespace dotterelcove {

/// One request and its response, from the request line until completion.
struct HttpExchange {
  HttpServer* server = nullptr;
  MHD_Connection* connection = nullptr;
  HttpRequest request;
  HttpResponse response;
  bool too_large = false;
  bool handled = false;
  bool suspended = false;
  bool answered = false;
  bool completed = false;
  /// The connection is closed without a response.
  bool aborted = false;
  std::function<void()> resume;
  /// Detects that the client closes the connection while its request is open;
  /// libmicrohttpd does not poll suspended connections.
  std::unique_ptr<IoWatch> hangup_watch;
};

struct HttpServer::State {
  State(EventLoop& loop, HttpServerOptions options, HttpHandler handler)
      : loop(loop),
        options(std::move(options)),
        handler(std::move(handler)),
        watch(loop, [this](int) { this->RunDaemon(); }),
        timer(loop, [this] { this->RunDaemon(); }),
        receive_timer(loop, [this] { this->CloseSlowClients(); }) {}

  void RunDaemon();
  void CloseSlowClients();
  void Suspend(HttpExchange& exchange);
  void OnClientReadable(HttpExchange& exchange);

  EventLoop& loop;
  HttpServerOptions options;
  HttpHandler handler;
  MHD_Daemon* daemon = nullptr;
  IoWatch watch;
  Timer timer;
  Timer receive_timer;
  /// Monotonic time since which each connection has been waiting for or
  /// receiving a request; 0 while a request is open.
  std::map<MHD_Connection*, TimeMs> receiving_since;
  bool listening = true;
  /// A connection was resumed since the last MHD_run() began.
  bool resumed = false;
  bool close_after_answers = false;
  std::map<HttpExchange*, std::shared_ptr<HttpExchange>> exchanges;
  size_t open_connections = 0;
  bool closing = false;

  static MHD_Result OnAccess(void* self, MHD_Connection* connection,
                             const char* url, const char* method,
                             const char* version, const char* data,
                             size_t* data_size, void** context);
  static void OnCompleted(void* self, MHD_Connection* connection,
                          void** context, MHD_RequestTerminationCode code);
  static void OnConnection(void* self, MHD_Connection* connection,
                           void** context, MHD_ConnectionNotificationCode code);

  MHD_Result HandleHeaders(HttpExchange& exchange);
  MHD_Result HandleBody(HttpExchange& exchange, const char* data,
                        size_t* data_size);
  void Handle(HttpExchange& exchange);
  MHD_Result Finish(HttpExchange& exchange);
};

namespace {

std::string ToLower(const char* text) {
  std::string lower = text;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

MHD_Result CollectHeader(void* fields, MHD_ValueKind, const char* key,
                         const char* value) {
  (*static_cast<FieldMap*>(fields))[ToLower(key)] = value ? value : "";
  return MHD_YES;
}

MHD_Result CollectQuery(void* fields, MHD_ValueKind, const char* key,
                        const char* value) {
  (*static_cast<FieldMap*>(fields))[key] = value ? value : "";
  return MHD_YES;
}

MHD_Result QueueResponse(MHD_Connection* connection,
                         const HttpResponse& answer) {
  MHD_Response* response = MHD_create_response_from_buffer(
      answer.body.size(), const_cast<char*>(answer.body.data()),
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type",
                          answer.content_type.c_str());
  for (const auto& [name, value] : answer.headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const MHD_Result result =
      MHD_queue_response(connection, answer.status, response);
  MHD_destroy_response(response);
  return result;
}

}  // namespace

HttpResponse MakeErrorResponse(int status, const std::string& message) {
  HttpResponse response;
  response.status = status;
  // The message may quote what the client has sent, in any encoding.
  response.body = nlohmann::json{{"error", message}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

void HttpReply::Send(HttpResponse response) const {
  HttpExchange& target = *this->exchange;
  if (target.answered || target.completed) return;
  target.answered = true;
  target.response = std::move(response);
  if (target.suspended) target.resume();
}

void HttpReply::Abort() const {
  HttpExchange& target = *this->exchange;
  if (target.answered || target.completed) return;
  target.answered = true;
  target.aborted = true;
  if (target.suspended) target.resume();
}

bool HttpReply::is_open() const {
  return !this->exchange->answered && !this->exchange->completed;
}

void HttpServer::State::RunDaemon() {
  if (this->closing) return;
  this->resumed = false;
  MHD_run(this->daemon);
  if (this->resumed) {
    // A handler responded to a request of another connection. MHD_get_timeout()
    // does not account for connections resumed this way.
    this->timer.StartAfter(0);
    return;
  }
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  if (MHD_get_timeout(this->daemon, &timeout_ms) == MHD_YES) {
    this->timer.StartAfter(static_cast<TimeMs>(timeout_ms));
    return;
  }
  this->timer.Cancel();
}

void HttpServer::State::CloseSlowClients() {
  const TimeMs now = MonotonicMs();
  for (const auto& [connection, since] : this->receiving_since) {
    if (since == 0 || now - since <= this->options.receive_timeout_ms) continue;
    // libmicrohttpd's own timeout restarts with every byte received, so clients
    // that send a few bytes at a time are only caught here. After the shutdown,
    // libmicrohttpd reads the end of the stream and cleans up.
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    shutdown(info->connect_fd, SHUT_RDWR);
  }
}

void HttpServer::State::Suspend(HttpExchange& exchange) {
  exchange.suspended = true;
  MHD_suspend_connection(exchange.connection);
  const auto* info = MHD_get_connection_info(exchange.connection,
                                             MHD_CONNECTION_INFO_CONNECTION_FD);
  exchange.hangup_watch = std::make_unique<IoWatch>(
      this->loop, [this, &exchange](int) { this->OnClientReadable(exchange); });
  exchange.hangup_watch->Start(info->connect_fd, EV_READ);
}

void HttpServer::State::OnClientReadable(HttpExchange& exchange) {
  const auto* info = MHD_get_connection_info(exchange.connection,
                                             MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte = 0;
  const ssize_t count =
      recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  // A pipelined request is waiting. A disconnect after it is not detected,
  // since its bytes stay unread until the current request is answered.
  if (count > 0) {
    exchange.hangup_watch->Stop();
    return;
  }
  exchange.answered = true;
  exchange.aborted = true;
  exchange.resume();
}

MHD_Result HttpServer::State::HandleHeaders(HttpExchange& exchange) {
  this->receiving_since[exchange.connection] = MonotonicMs();
  MHD_get_connection_values(exchange.connection, MHD_HEADER_KIND, CollectHeader,
                            &exchange.request.headers);
  MHD_get_connection_values(exchange.connection, MHD_GET_ARGUMENT_KIND,
                            CollectQuery, &exchange.request.query);
  const auto length = exchange.request.headers.find("content-length");
  if (length == exchange.request.headers.end()) return MHD_YES;
  const unsigned long long bytes =
      std::strtoull(length->second.c_str(), nullptr, 10);
  if (bytes <= this->options.max_body_bytes) return MHD_YES;
  // Responding before the body is read makes libmicrohttpd close the
  // connection, so an oversized body is never received.
  exchange.answered = true;
  return QueueResponse(
      exchange.connection,
      this->options.make_error(
          413, "body is larger than " +
                   std::to_string(this->options.max_body_bytes) + " bytes"));
}

MHD_Result HttpServer::State::HandleBody(HttpExchange& exchange,
                                         const char* data, size_t* data_size) {
  if (exchange.request.body.size() + *data_size >
      this->options.max_body_bytes) {
    exchange.too_large = true;
    exchange.request.body.clear();
  }
  if (!exchange.too_large) exchange.request.body.append(data, *data_size);
  *data_size = 0;
  return MHD_YES;
}

/// Calls the handler. An exception costs the one request: passed on, it would
/// end the process with all other requests, and leave this one with a response
/// that nobody has set.
void HttpServer::State::Handle(HttpExchange& exchange) {
  const HttpReply reply(this->exchanges.at(&exchange));
  try {
    this->handler(exchange.request, reply);
  } catch (const std::exception& error) {
    LogAlways(LogLevel::kError, "request_handler_failed",
              {F("method", exchange.request.method),
               F("path", exchange.request.path), F("error", error.what())});
    reply.Send(this->options.make_error(500, "internal error"));
  }
}

MHD_Result HttpServer::State::Finish(HttpExchange& exchange) {
  if (exchange.too_large) {
    return QueueResponse(
        exchange.connection,
        this->options.make_error(
            413, "body is larger than " +
                     std::to_string(this->options.max_body_bytes) + " bytes"));
  }
  if (!exchange.handled) {
    exchange.handled = true;
    this->receiving_since[exchange.connection] = 0;
    this->Handle(exchange);
    if (!exchange.answered) {
      this->Suspend(exchange);
      return MHD_YES;
    }
  }
  if (exchange.aborted) return MHD_NO;
  if (this->close_after_answers) {
    exchange.response.headers.emplace_back("Connection", "close");
  }
  return QueueResponse(exchange.connection, exchange.response);
}

MHD_Result HttpServer::State::OnAccess(void* self, MHD_Connection* connection,
                                       const char* url, const char* method,
                                       const char*, const char* data,
                                       size_t* data_size, void** context) {
  auto* state = static_cast<State*>(self);
  auto* exchange = static_cast<HttpExchange*>(*context);
  if (exchange == nullptr) {
    auto created = std::make_shared<HttpExchange>();
    exchange = created.get();
    exchange->connection = connection;
    exchange->request.method = method;
    exchange->request.path = url;
    exchange->resume = [state, exchange] {
      exchange->suspended = false;
      exchange->hangup_watch.reset();
      MHD_resume_connection(exchange->connection);
      state->resumed = true;
      // This may run inside a libmicrohttpd callback, which must not re-enter
      // MHD_run(), so the daemon runs from the timer.
      state->timer.StartAfter(0);
    };
    state->exchanges[exchange] = created;
    *context = exchange;
    return state->HandleHeaders(*exchange);
  }
  if (*data_size > 0) return state->HandleBody(*exchange, data, data_size);
  return state->Finish(*exchange);
}

void HttpServer::State::OnCompleted(void* self, MHD_Connection* connection,
                                    void** context,
                                    MHD_RequestTerminationCode) {
  auto* state = static_cast<State*>(self);
  auto* exchange = static_cast<HttpExchange*>(*context);
  if (exchange == nullptr) return;
  exchange->completed = true;
  state->receiving_since[connection] = MonotonicMs();
  state->exchanges.erase(exchange);
  *context = nullptr;
}

void HttpServer::State::OnConnection(void* self, MHD_Connection* connection,
                                     void**,
                                     MHD_ConnectionNotificationCode code) {
  auto* state = static_cast<State*>(self);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    state->open_connections++;
    state->receiving_since[connection] = MonotonicMs();
    return;
  }
  state->receiving_since.erase(connection);
  state->open_connections--;
}

HttpServer::HttpServer(std::unique_ptr<State> state)
    : state(std::move(state)) {}

Result<std::unique_ptr<HttpServer>> HttpServer::Start(EventLoop& loop,
                                                      HttpServerOptions options,
                                                      HttpHandler handler) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options.port);
  if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
    return leaf::new_error(HttpListenError{options.address, options.port});
  }
  auto state =
      std::make_unique<State>(loop, std::move(options), std::move(handler));
  const auto idle_seconds = static_cast<unsigned>(
      std::max<int64_t>(1, state->options.receive_timeout_ms / 1000));
  state->daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
      &State::OnAccess, state.get(), MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, &State::OnCompleted, state.get(),
      MHD_OPTION_NOTIFY_CONNECTION, &State::OnConnection, state.get(),
      MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds, MHD_OPTION_CONNECTION_LIMIT,
      state->options.max_connections, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
      MHD_OPTION_END);
  if (state->daemon == nullptr) {
    return leaf::new_error(
        HttpListenError{state->options.address, state->options.port});
  }
  const auto* info =
      MHD_get_daemon_info(state->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  state->watch.Start(info->epoll_fd, EV_READ);
  state->RunDaemon();
  // Checked four times per timeout, so a slow client is closed at most a
  // quarter of the timeout late.
  state->receive_timer.StartEvery(
      std::max<int64_t>(1, state->options.receive_timeout_ms / 4));
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::~HttpServer() {
  // Suspended connections must be resumed before the daemon stops.
  for (auto& [exchange, owner] : this->state->exchanges) {
    if (!exchange->suspended) continue;
    exchange->suspended = false;
    exchange->hangup_watch.reset();
    exchange->answered = true;
    exchange->aborted = true;
    MHD_resume_connection(exchange->connection);
  }
  MHD_run(this->state->daemon);
  this->state->closing = true;
  this->state->watch.Stop();
  this->state->timer.Cancel();
  this->state->receive_timer.Cancel();
  MHD_stop_daemon(this->state->daemon);
}

uint16_t HttpServer::port() const {
  const auto* info =
      MHD_get_daemon_info(this->state->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info->port;
}

size_t HttpServer::open_requests() const {
  return this->state->exchanges.size();
}

size_t HttpServer::open_connections() const {
  return this->state->open_connections;
}

bool HttpServer::is_listening() const { return this->state->listening; }

void HttpServer::CloseAfterAnswers() {
  this->state->close_after_answers = true;
}

void HttpServer::StopListening() {
  this->state->listening = false;
  const MHD_socket listener = MHD_quiesce_daemon(this->state->daemon);
  if (listener != MHD_INVALID_SOCKET) close(listener);
}

}  // namespace dotterelcove
