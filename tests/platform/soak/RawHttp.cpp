#include "tests/platform/soak/RawHttp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <mutex>
#include <set>
#include <thread>

namespace dotterelcove::soak {

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

int64_t WallNowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool SleepUnless(int64_t ms, const std::atomic<bool>& ended) {
  constexpr int64_t kPollMs = 50;
  for (const int64_t until_ms = NowMs() + ms; NowMs() < until_ms;) {
    if (ended) return false;
    SleepMs(std::min(kPollMs, until_ms - NowMs() + 1));
  }
  return !ended;
}

struct ServerState {
  std::string ip;
  uint16_t port = 0;
  Handler handler;
  int listener = -1;
  std::atomic<bool> stopped{false};
  /// Rises when all open channels are reset.
  std::atomic<int> generation{0};
  std::mutex mutex;
  std::set<int> channels;
};

namespace {

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

void ResetOnClose(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

std::string Unescape(const std::string& text) {
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      constexpr int kHexBase = 16;
      plain += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, kHexBase));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

void ParseTarget(const std::string& target, Request& request) {
  const size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark == std::string::npos) return;
  std::string rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string pair = rest.substr(0, end);
    const size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      request.query[pair.substr(0, equals)] = Unescape(pair.substr(equals + 1));
    }
    rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
  }
}

void ParseHeaders(const std::string& text,
                  std::map<std::string, std::string>& headers) {
  size_t at = 0;
  while (at < text.size()) {
    const size_t end = text.find("\r\n", at);
    const std::string line = text.substr(at, end - at);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      const size_t value = line.find_first_not_of(' ', colon + 1);
      headers[name] =
          value == std::string::npos ? std::string() : line.substr(value);
    }
    if (end == std::string::npos) return;
    at = end + 2;
  }
}

/// Reads more bytes into `buffer`; returns false at the end of the channel.
bool ReadMore(int fd, std::string& buffer) {
  char chunk[16384];
  const ssize_t count = recv(fd, chunk, sizeof(chunk), 0);
  if (count <= 0) return false;
  buffer.append(chunk, static_cast<size_t>(count));
  return true;
}

bool ReadRequest(int fd, std::string& buffer, Request& request) {
  size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(fd, buffer)) return false;
  }
  const std::string head = buffer.substr(0, end);
  const size_t line_end = head.find("\r\n");
  const std::string line = head.substr(0, line_end);
  const size_t first = line.find(' ');
  const size_t second = line.find(' ', first + 1);
  if (first == std::string::npos || second == std::string::npos) return false;
  request.method = line.substr(0, first);
  ParseTarget(line.substr(first + 1, second - first - 1), request);
  if (line_end != std::string::npos) {
    ParseHeaders(head.substr(line_end + 2), request.headers);
  }
  size_t length = 0;
  const auto found = request.headers.find("content-length");
  if (found != request.headers.end()) {
    length = static_cast<size_t>(std::atoll(found->second.c_str()));
  }
  buffer.erase(0, end + 4);
  while (buffer.size() < length) {
    if (!ReadMore(fd, buffer)) return false;
  }
  request.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

bool WriteAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

void ServeChannel(const std::shared_ptr<ServerState>& state, int fd) {
  const int generation = state->generation;
  std::string buffer;
  while (!state->stopped && state->generation == generation) {
    Request request;
    if (!ReadRequest(fd, buffer, request)) break;
    const Reply reply = state->handler(request);
    if (reply.reset || state->stopped || state->generation != generation) {
      ResetOnClose(fd);
      break;
    }
    const std::string text =
        "HTTP/1.1 " + std::to_string(reply.status) +
        " Status\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
    if (!WriteAll(fd, text)) break;
  }
  const std::lock_guard<std::mutex> lock(state->mutex);
  state->channels.erase(fd);
  close(fd);
}

void Accept(const std::shared_ptr<ServerState>& state, int listener) {
  while (!state->stopped) {
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard<std::mutex> lock(state->mutex);
    if (state->stopped) {
      ResetOnClose(fd);
      close(fd);
      break;
    }
    state->channels.insert(fd);
    std::thread([state, fd] { ServeChannel(state, fd); }).detach();
  }
  close(listener);
}

void ResetAll(ServerState& state) {
  const std::lock_guard<std::mutex> lock(state.mutex);
  state.generation++;
  for (const int fd : state.channels) {
    ResetOnClose(fd);
    // Wakes the thread of the channel, which closes it.
    shutdown(fd, SHUT_RD);
  }
}

}  // namespace

Server::Server(std::string ip, uint16_t port, Handler handler)
    : state(std::make_shared<ServerState>()) {
  this->state->ip = std::move(ip);
  this->state->port = port;
  this->state->handler = std::move(handler);
}

Server::~Server() { this->Stop(); }

bool Server::Start() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(this->state->ip, this->state->port);
  constexpr int kBacklog = 256;
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return false;
  }
  this->state->listener = fd;
  std::thread([state = this->state, fd] { Accept(state, fd); }).detach();
  return true;
}

void Server::Stop() {
  if (this->state->stopped.exchange(true)) return;
  if (this->state->listener >= 0) shutdown(this->state->listener, SHUT_RDWR);
  ResetAll(*this->state);
}

void Server::ResetChannels() { ResetAll(*this->state); }

bool Connection::Open() {
  if (this->fd >= 0) {
    char next = 0;
    const ssize_t count = recv(this->fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count < 0 && errno == EAGAIN) return true;
    this->Close();
  }
  this->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(this->ip, this->port);
  return connect(this->fd, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0;
}

void Connection::Close() {
  if (this->fd >= 0) close(this->fd);
  this->fd = -1;
}

bool Connection::Receive(Response& response) {
  std::string buffer;
  size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(this->fd, buffer)) return false;
  }
  ParseHeaders(buffer.substr(0, end), response.headers);
  const auto length = static_cast<size_t>(
      std::atoll(response.headers["content-length"].c_str()));
  while (buffer.size() < end + 4 + length) {
    if (!ReadMore(this->fd, buffer)) return false;
  }
  constexpr size_t kStatusAt = 9;
  response.status = std::atoi(buffer.c_str() + kStatusAt);
  response.body = buffer.substr(end + 4, length);
  return true;
}

Response Connection::Call(const std::string& method, const std::string& path,
                          const Headers& headers, const std::string& body,
                          int64_t timeout_ms) {
  Response response;
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (this->Open()) {
    constexpr int64_t kMsPerSecond = 1'000;
    timeval limit{};
    limit.tv_sec = timeout_ms / kMsPerSecond;
    limit.tv_usec = (timeout_ms % kMsPerSecond) * kMsPerSecond;
    setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(this->fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    if (WriteAll(this->fd, text)) this->Receive(response);
  }
  const bool keeps =
      response.status != 0 && response.headers["connection"] != "close";
  if (!keeps) this->Close();
  return response;
}

}  // namespace dotterelcove::soak
