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

/// Maximum bytes of one write. Readers of the log may take a longer write in
/// parts or cut it.
constexpr size_t kMaxWriteBytes = 4'096;

/// The length of the whole lines at the start of `text` that fit into one
/// write, or of the first line if that alone does not fit.
size_t WriteLength(const std::string& text) {
  if (text.size() <= kMaxWriteBytes) return text.size();
  const size_t last = text.rfind('\n', kMaxWriteBytes - 1);
  const size_t end = last == std::string::npos ? text.find('\n') : last;
  return end == std::string::npos ? text.size() : end + 1;
}

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
    const size_t length = WriteLength(this->buffer);
    const ssize_t written = write(this->fd, this->buffer.data(), length);
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) {
      this->timer.StartAfter(kRetryMs);
      return;
    }
    this->buffer.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace dotterelcove
