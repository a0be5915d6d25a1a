#include "telemetry/LogWriter.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

/// Time for which lines are collected before they are written together.
constexpr TimeMs kBatchDelayMs = 5;
/// Delay before retrying a write that failed or would block.
constexpr TimeMs kRetryMs = 50;

}  // namespace

LogWriter::LogWriter(EventLoop& loop, int fd)
    : fd(fd), timer(loop, [this] { this->Flush(); }) {
  const int flags = fcntl(fd, F_GETFL);
  if (flags >= 0) fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  SetLogOutput([this](const std::string& line) { this->Add(line); });
}

LogWriter::~LogWriter() {
  this->Flush();
  SetLogOutput({});
}

void LogWriter::Add(const std::string& line) {
  if (this->buffer.size() + line.size() > kMaxLogBufferBytes) {
    this->dropped_lines++;
    return;
  }
  if (this->dropped_lines > this->reported_drops) {
    this->buffer += "{\"event\":\"log_lines_dropped\",\"total\":" +
                    std::to_string(this->dropped_lines) + "}\n";
    this->reported_drops = this->dropped_lines;
  }
  this->buffer += line;
  this->buffer += '\n';
  if (!this->timer.active()) this->timer.StartAfter(kBatchDelayMs);
}

void LogWriter::Flush() {
  while (!this->buffer.empty()) {
    const ssize_t written =
        write(this->fd, this->buffer.data(), this->buffer.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) {
      this->timer.StartAfter(kRetryMs);
      return;
    }
    this->buffer.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace dotterelcove
