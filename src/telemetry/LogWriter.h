/// Writes log lines to a file descriptor without blocking the event loop: lines
/// are batched in a bounded buffer, and lines that do not fit are dropped and
/// counted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "loop/EventLoop.h"

namespace dotterelcove {

/// Maximum buffered bytes; lines that would exceed it are dropped and counted.
inline constexpr size_t kMaxLogBufferBytes = 1 << 20;

class LogWriter {
 public:
  /// Makes `fd` non-blocking and receives all log lines of the process until
  /// destroyed.
  LogWriter(EventLoop& loop, int fd);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Writes buffered lines until the buffer is empty or the descriptor would
  /// block; retries the rest later.
  void Flush();
  uint64_t dropped() const { return this->dropped_lines; }

 private:
  void Add(const std::string& line);

  int fd;
  std::string buffer;
  uint64_t dropped_lines = 0;
  uint64_t reported_drops = 0;
  Timer timer;
};

}  // namespace dotterelcove
