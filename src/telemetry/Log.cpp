#include "telemetry/Log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdio>
#include <ctime>
#include <memory>
#include <nlohmann/json.hpp>

#include "base/Clock.h"

namespace dotterelcove {
namespace {

constexpr int64_t kWindowMs = 1'000;

/// The log of this process. Not synchronized: every process has one event loop
/// thread, and only that thread logs.
struct LogState {
  std::string process;
  std::string zone;
  LogLevel level = LogLevel::kInfo;
  LogLimiter limiter;
  std::function<void(const std::string&)> output;
  std::shared_ptr<spdlog::logger> logger;
};

LogState& State() {
  static LogState state;
  return state;
}

std::string FormatTime(int64_t wall_ms) {
  const std::time_t seconds = static_cast<std::time_t>(wall_ms / 1'000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char date[32];
  std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &utc);
  char text[48];
  std::snprintf(text, sizeof(text), "%s.%03dZ", date,
                static_cast<int>(wall_ms % 1'000));
  return text;
}

void Write(LogState& state, const std::string& line) {
  if (state.output) {
    state.output(line);
    return;
  }
  if (!state.logger) {
    state.logger = std::make_shared<spdlog::logger>(
        "log", std::make_shared<spdlog::sinks::stderr_sink_st>());
    // The line is already complete JSON; suppress spdlog's prefix.
    state.logger->set_pattern("%v");
    state.logger->set_level(spdlog::level::trace);
    state.logger->flush_on(spdlog::level::trace);
  }
  state.logger->log(spdlog::level::info, spdlog::string_view_t(line));
}

}  // namespace

void InitLog(std::string_view process, std::string_view zone, LogLevel level) {
  LogState& state = State();
  state.process = process;
  state.zone = zone;
  state.level = level;
}

void SetLogLevel(LogLevel level) { State().level = level; }

void SetLogLinesPerSecond(int64_t lines) {
  State().limiter.lines_per_second = lines;
}

void SetLogOutput(std::function<void(const std::string&)> output) {
  State().output = std::move(output);
}

LogAdmission AdmitLine(LogLimiter& limiter, std::string_view event,
                       int64_t now_ms) {
  auto found = limiter.windows.find(event);
  if (found == limiter.windows.end()) {
    found =
        limiter.windows.emplace(event, LogLimiter::Window{now_ms, 0, 0}).first;
  }
  LogLimiter::Window& window = found->second;
  if (now_ms - window.start_ms >= kWindowMs) {
    window.start_ms = now_ms;
    window.written = 0;
  }
  if (window.written >= limiter.lines_per_second) {
    window.suppressed++;
    return {};
  }
  window.written++;
  return {true, std::exchange(window.suppressed, 0)};
}

namespace {

void WriteLine(LogState& state, LogLevel level, std::string_view event,
               std::initializer_list<Field> fields, int64_t suppressed) {
  nlohmann::ordered_json line;
  line["time"] = FormatTime(WallMs());
  line["level"] = NameOf(kLogLevelNames, level);
  line["process"] = state.process;
  line["zone"] = state.zone;
  line["event"] = event;
  for (const Field& field : fields) {
    std::visit(
        [&](const auto& value) { line[std::string(field.name)] = value; },
        field.value);
  }
  if (suppressed > 0) line["left_out"] = suppressed;
  // Text from other systems may contain invalid UTF-8; it is replaced, since
  // dump() would otherwise throw.
  Write(state, line.dump(-1, ' ', false,
                         nlohmann::ordered_json::error_handler_t::replace));
}

}  // namespace

void Log(LogLevel level, std::string_view event,
         std::initializer_list<Field> fields) {
  LogState& state = State();
  if (level < state.level) return;
  const LogAdmission admission = AdmitLine(state.limiter, event, MonotonicMs());
  if (!admission.admitted) return;
  WriteLine(state, level, event, fields, admission.suppressed);
}

void LogAlways(LogLevel level, std::string_view event,
               std::initializer_list<Field> fields) {
  LogState& state = State();
  if (level >= state.level) WriteLine(state, level, event, fields, 0);
}

}  // namespace dotterelcove
