#include "operator/TimeLine.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <map>
#include <tuple>

#include "operator/CtlContext.h"

namespace dotterelcove {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kCounterMask = 0xffff;
constexpr int64_t kUsPerMs = 1'000;

bool ParseTime(const std::string& text, HybridTime& time) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, time, 16);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

/// Timestamp in microseconds for the trace viewer. The logical counter orders
/// events within a millisecond, up to 999, the most that the format can show.
int64_t TraceTimeUs(HybridTime time) {
  const auto counter = static_cast<int64_t>(time & kCounterMask);
  return WallMsOf(time) * kUsPerMs + std::min(counter, kUsPerMs - 1);
}

Json MakeArguments(const TimeLineEvent& event) {
  Json arguments = Json::object();
  if (!event.job.empty()) arguments["job"] = event.job;
  if (!event.task.empty()) arguments["task"] = event.task;
  if (!event.worker.empty()) arguments["worker"] = event.worker;
  if (event.epoch != 0) arguments["epoch"] = event.epoch;
  if (!event.detail.empty()) arguments["detail"] = event.detail;
  return arguments;
}

/// Begins or ends the span of a task when the event is its start or end.
void AddSpan(const TimeLineEvent& event, int process, Json& rows) {
  const bool begins = event.name == "task_started";
  const bool ends = event.name == "task_ended";
  if (event.task.empty() || (!begins && !ends)) return;
  rows.push_back({{"name", event.worker.empty() ? "task" : event.worker},
                  {"cat", "task"},
                  {"ph", begins ? "b" : "e"},
                  {"id", event.task},
                  {"pid", process},
                  {"tid", 0},
                  {"ts", TraceTimeUs(event.time)}});
}

}  // namespace

bool AddEvents(const nlohmann::json& answer,
               std::vector<TimeLineEvent>& events) {
  if (!answer.is_array()) return false;
  for (const Json& row : answer) {
    TimeLineEvent event;
    if (!ParseTime(TextOf(row, "time"), event.time)) continue;
    event.process = TextOf(row, "process");
    event.zone = TextOf(row, "zone");
    event.name = TextOf(row, "event");
    event.job = TextOf(row, "job");
    event.task = TextOf(row, "task");
    event.worker = TextOf(row, "worker");
    event.detail = TextOf(row, "detail");
    if (row.contains("epoch") && row["epoch"].is_number_unsigned()) {
      event.epoch = row["epoch"].get<uint64_t>();
    }
    events.push_back(std::move(event));
  }
  return true;
}

void SortEvents(std::vector<TimeLineEvent>& events) {
  std::stable_sort(events.begin(), events.end(),
                   [](const TimeLineEvent& a, const TimeLineEvent& b) {
                     return std::tie(a.time, a.process) <
                            std::tie(b.time, b.process);
                   });
}

nlohmann::json ToTrace(const std::vector<TimeLineEvent>& events) {
  Json rows = Json::array();
  std::map<std::string, int> processes;
  for (const TimeLineEvent& event : events) {
    const auto [found, added] = processes.emplace(
        event.process, static_cast<int>(processes.size()) + 1);
    if (added) {
      rows.push_back({{"name", "process_name"},
                      {"ph", "M"},
                      {"pid", found->second},
                      {"tid", 0},
                      {"args", {{"name", event.process + " " + event.zone}}}});
    }
    rows.push_back({{"name", event.name},
                    {"ph", "i"},
                    {"s", "p"},
                    {"pid", found->second},
                    {"tid", 0},
                    {"ts", TraceTimeUs(event.time)},
                    {"args", MakeArguments(event)}});
    AddSpan(event, found->second, rows);
  }
  return {{"traceEvents", rows}, {"displayTimeUnit", "ms"}};
}

std::string FormatWallTime(HybridTime time) {
  const int64_t wall_ms = WallMsOf(time);
  const std::time_t seconds = static_cast<std::time_t>(wall_ms / 1'000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char date[32];
  std::strftime(date, sizeof(date), "%Y-%m-%d %H:%M:%S", &utc);
  char text[48];
  std::snprintf(text, sizeof(text), "%s.%03d", date,
                static_cast<int>(wall_ms % 1'000));
  return text;
}

}  // namespace dotterelcove
