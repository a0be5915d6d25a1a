#pragma once

#include <memory>
#include <string>

#include "loop/EventLoop.h"
#include "tests/RawSocket.h"

namespace dotterelcove {

/// A TCP server that responds with fixed bytes to each read, then closes the
/// connection or keeps it open.
struct ScriptedServer {
  explicit ScriptedServer(EventLoop& loop)
      : loop(loop),
        listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)),
        accept_watch(loop, [this](int) { this->Accept(); }) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(this->listener, reinterpret_cast<sockaddr*>(&address),
         sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ntohs(address.sin_port);
    listen(this->listener, 16);
    this->accept_watch.Start(this->listener, EV_READ);
  }
  ~ScriptedServer() {
    this->watch.reset();
    this->StopListening();
    if (this->fd >= 0) close(this->fd);
  }

  /// Connections are refused from now on.
  void StopListening() {
    if (this->listener < 0) return;
    this->accept_watch.Stop();
    close(this->listener);
    this->listener = -1;
  }

  /// Makes closing the connection send a reset.
  void SetReset() const {
    const linger at_once{1, 0};
    setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  }

  void Accept() {
    if (this->fd >= 0) close(this->fd);
    this->fd = accept(this->listener, nullptr, nullptr);
    this->connections++;
    this->watch =
        std::make_unique<IoWatch>(this->loop, [this](int) { this->OnBytes(); });
    this->watch->Start(this->fd, EV_READ);
  }

  void OnBytes() {
    char chunk[4'096];
    const ssize_t count = recv(this->fd, chunk, sizeof(chunk), 0);
    if (count <= 0) {
      this->watch->Stop();
      return;
    }
    this->requests++;
    const bool silent =
        this->close_after > 0 && this->requests > this->close_after;
    const bool later = this->connections > 1 && !this->later_answer.empty();
    const std::string& bytes = later ? this->later_answer : this->answer;
    if (!silent || later) {
      send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (!this->close_each) return;
    }
    this->watch->Stop();
    if (this->resets) this->SetReset();
    if (this->stops_listening_at_close) this->StopListening();
    close(this->fd);
    this->fd = -1;
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(this->port);
  }

  EventLoop& loop;
  int listener;
  int fd = -1;
  uint16_t port = 0;
  int connections = 0;
  int requests = 0;
  std::string answer;
  /// Answer to every request on connections after the first one, empty for none
  /// of its own.
  std::string later_answer;
  bool close_each = false;
  /// Connections are reset in place of closed, also with unread bytes.
  bool resets = false;
  bool stops_listening_at_close = false;
  /// Requests answered in total; each later one closes its connection without a
  /// response. 0 means no limit.
  int close_after = 0;
  IoWatch accept_watch;
  std::unique_ptr<IoWatch> watch;
};

}  // namespace dotterelcove
