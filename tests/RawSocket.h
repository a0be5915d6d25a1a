#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <string>

namespace dotterelcove {

/// A TCP client that sends exactly the bytes that the test passes in.
struct RawSocket {
  explicit RawSocket(uint16_t port) : fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(this->fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    fcntl(this->fd, F_SETFL, O_NONBLOCK);
  }
  ~RawSocket() { close(this->fd); }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  /// Returns false when the other side has closed the connection.
  bool Send(const std::string& bytes) const {
    return send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0;
  }
  /// Reads the available bytes; sets `closed` at the end of the stream or on an
  /// error.
  const std::string& Read() {
    char chunk[4'096];
    while (true) {
      const ssize_t count = recv(this->fd, chunk, sizeof(chunk), 0);
      if (count > 0) {
        this->received.append(chunk, static_cast<size_t>(count));
        continue;
      }
      if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
        this->closed = true;
      }
      return this->received;
    }
  }

  int fd;
  std::string received;
  bool closed = false;
};

}  // namespace dotterelcove
