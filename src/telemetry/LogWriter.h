/// Writes log lines to a descriptor without ever blocking the loop: one write
/// for each turn of the loop, a bounded buffer, and a count of lost lines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "loop/EventLoop.h"

namespace dotterelcove {

/// Lines beyond this many waiting bytes are dropped and counted.
inline constexpr size_t kMaxLogBufferBytes = 1 << 20;

class LogWriter {
 public:
  /// Takes the process's log lines from now on, until destroyed.
  LogWriter(EventLoop& loop, int fd);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Writes what can be written now.
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
