/// Structured logging through spdlog: one JSON object per line.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include "base/NameTable.h"

namespace dotterelcove {

enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };
inline constexpr auto kLogLevelNames =
    MakeNameTable<LogLevel>({{LogLevel::kDebug, "debug"},
                             {LogLevel::kInfo, "info"},
                             {LogLevel::kWarning, "warning"},
                             {LogLevel::kError, "error"}});

/// One typed field of a log line or an event.
struct Field {
  std::string_view name;
  std::variant<int64_t, double, bool, std::string> value;
};

inline Field F(std::string_view name, std::string value) {
  return {name, std::move(value)};
}
inline Field F(std::string_view name, std::string_view value) {
  return {name, std::string(value)};
}
inline Field F(std::string_view name, const char* value) {
  return {name, std::string(value)};
}
inline Field F(std::string_view name, bool value) { return {name, value}; }
inline Field F(std::string_view name, double value) { return {name, value}; }
template <class T>
requires std::is_integral_v<T>
inline Field F(std::string_view name, T value) {
  return {name, static_cast<int64_t>(value)};
}

/// Sets the process and zone that every line carries, and the minimum level.
/// Lines go to standard error.
void InitLog(std::string_view process, std::string_view zone, LogLevel level);
void SetLogLevel(LogLevel level);

/// Sends lines to `output` instead of standard error; an empty function
/// restores it. Used by LogWriter and tests.
void SetLogOutput(std::function<void(const std::string& line)> output);

/// Default limit of lines per second for each event name. Without it, logging
/// an event that occurs on every request would cost more than the request
/// itself.
inline constexpr int64_t kMaxLinesPerSecond = 20;

/// Overrides kMaxLinesPerSecond, for diagnosing a fault.
void SetLogLinesPerSecond(int64_t lines);

/// Rate limiter state: the lines of each event name in the current one-second
/// window. Event names are literals in the code, so the map stays small.
struct LogLimiter {
  struct Window {
    int64_t start_ms = 0;
    int64_t written = 0;
    int64_t suppressed = 0;
  };
  std::map<std::string, Window, std::less<>> windows;
  int64_t lines_per_second = kMaxLinesPerSecond;
};

/// Whether a line may be written, and how many lines of the same event were
/// suppressed since the last one written.
struct LogAdmission {
  bool admitted = false;
  int64_t suppressed = 0;
};
LogAdmission AdmitLine(LogLimiter& limiter, std::string_view event,
                       int64_t now_ms);

/// Writes one line {"time", "level", "process", "zone", "event", fields…}.
/// Lines beyond the rate limit of their event name are suppressed; the next
/// line written for that event carries the number of suppressed lines as
/// "left_out".
void Log(LogLevel level, std::string_view event,
         std::initializer_list<Field> fields = {});

/// The same without the rate limit, for lines without which a decision cannot
/// be explained. The caller bounds their number, for example by one line for a
/// batch of decisions.
void LogAlways(LogLevel level, std::string_view event,
               std::initializer_list<Field> fields);

}  // namespace dotterelcove
