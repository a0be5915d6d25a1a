#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "telemetry/Events.h"
#include "telemetry/Log.h"
#include "telemetry/LogWriter.h"
#include "telemetry/Metrics.h"

namespace dotterelcove {
namespace {

size_t CountOccurrences(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    count++;
  }
  return count;
}

}  // namespace

// Guards against an event on every request flooding the log, and against
// suppressed lines that are not reported.
Test(Log, limits_lines_of_one_event_and_counts_those_left_out) {
  LogLimiter limiter;
  int64_t written = 0;
  for (int i = 0; i < 100; ++i) {
    if (AdmitLine(limiter, "busy", 5).admitted) written++;
  }
  cr_expect_eq(written, kMaxLinesPerSecond);
  cr_expect(AdmitLine(limiter, "rare", 5).admitted,
            "another event keeps its own allowance");
  const LogAdmission next = AdmitLine(limiter, "busy", 1'005);
  cr_expect(next.admitted);
  cr_expect_eq(next.suppressed, 100 - kMaxLinesPerSecond);
  cr_expect_eq(AdmitLine(limiter, "busy", 1'006).suppressed, 0);
}

// Guards against a line that explains a decision and is left out in a burst.
Test(Log, lines_that_explain_decisions_are_never_left_out) {
  int64_t written = 0;
  SetLogOutput([&](const std::string&) { written++; });
  for (int i = 0; i < 100; ++i)
    LogAlways(LogLevel::kInfo, "placed", {F("i", i)});
  SetLogOutput(nullptr);
  cr_expect_eq(written, 100);
}

// Guards against lines that a reader of the log gets cut: the users' platform
// keeps the first 8 KB of a write.
Test(LogWriter, writes_whole_lines_of_limited_length) {
  int pipe_ends[2];
  cr_assert_eq(pipe2(pipe_ends, O_DIRECT | O_CLOEXEC), 0);
  EventLoop loop;
  LogWriter writer(loop, pipe_ends[1]);
  for (int i = 0; i < 100; ++i) {
    LogAlways(LogLevel::kInfo, "line", {F("text", std::string(200, 'x'))});
  }
  writer.Flush();
  // A packet pipe returns one write at a time.
  char packet[1 << 16];
  size_t lines = 0;
  while (lines < 100) {
    const ssize_t size = read(pipe_ends[0], packet, sizeof(packet));
    cr_assert_gt(size, 0);
    cr_expect_leq(size, 4'096);
    cr_expect_eq(packet[size - 1], '\n');
    lines += CountOccurrences(std::string(packet, size), "\n");
  }
  cr_expect_eq(lines, 100U);
}

// Guards against log lines that are not one valid JSON object each.
Test(Log, writes_one_json_object_a_line) {
  std::vector<std::string> lines;
  SetLogOutput([&](const std::string& line) { lines.push_back(line); });
  InitLog("entry-1", "kpong", LogLevel::kInfo);
  Log(LogLevel::kDebug, "hidden");
  Log(LogLevel::kWarning, "odd_bytes",
      {F("text", "a\nb\"\xff"), F("number", 7), F("flag", true)});
  SetLogOutput(nullptr);
  cr_assert_eq(lines.size(), 1u);
  cr_expect_eq(lines[0].find('\n'), std::string::npos);
  const auto json = nlohmann::json::parse(lines[0], nullptr, false);
  cr_assert(json.is_object());
  cr_expect(json["event"] == "odd_bytes");
  cr_expect(json["level"] == "warning");
  cr_expect(json["process"] == "entry-1");
  cr_expect_eq(json["number"].get<int>(), 7);
  cr_expect(json["flag"].get<bool>());
}

// Guards against unbounded memory use through label values from outside.
Test(Metrics, bounds_the_label_sets_of_a_family) {
  Metrics metrics;
  for (size_t i = 0; i < kMaxLabelSets + 50; ++i) {
    metrics.Count("requests_total", {{"caller", "c" + std::to_string(i)}});
    metrics.Set("depth", 1, {{"caller", "c" + std::to_string(i)}});
    metrics.ObserveSeconds("wait_seconds", 0.001,
                           {{"caller", "c" + std::to_string(i)}});
  }
  const std::string text = metrics.Render();
  const char* families[] = {"dotterelcove_requests_total{",
                            "dotterelcove_depth{",
                            "dotterelcove_wait_seconds_count{"};
  for (const char* family : families) {
    cr_expect_eq(CountOccurrences(text, family), kMaxLabelSets + 1, "%s",
                 family);
  }
  cr_expect_neq(text.find("dotterelcove_requests_total{caller=\"other\"} 50"),
                std::string::npos);
}

// Guards against missing CPU and memory metrics of the process itself.
Test(Metrics, reports_the_cost_of_the_process) {
  Metrics metrics;
  metrics.Render();
  const std::string text = metrics.Render();
  cr_expect_eq(
      CountOccurrences(text, "\ndotterelcove_process_cpu_seconds_total "), 1u);
  cr_expect_eq(CountOccurrences(text, "\ndotterelcove_process_resident_bytes "),
               1u);
}

// Guards against an event buffer that grows without bound, and against filters
// that match too many events.
Test(Events, keeps_the_newest_and_filters_by_every_field) {
  HybridClock clock;
  EventRing ring(clock, 3, [] { return int64_t{1'000}; });
  ring.Add("first", {});
  ring.Add("placed", {"j1", "j1.0.0", "w-1", 4});
  ring.Add("placed", {"j2", "j2.0.0", "w-1", 4});
  ring.Add("fenced", {"", "", "w-2", 5});
  struct Case {
    const char* name;
    EventSubject filter;
    size_t expected;
  };
  const Case cases[] = {
      {"all", {}, 3},
      {"job", {"j1", "", "", 0}, 1},
      {"task", {"", "j2.0.0", "", 0}, 1},
      {"worker", {"", "", "w-1", 0}, 2},
      {"epoch", {"", "", "", 5}, 1},
      {"job and other epoch", {"j1", "", "", 5}, 0},
  };
  for (const Case& test_case : cases) {
    cr_expect_eq(ring.Find(test_case.filter).size(), test_case.expected, "%s",
                 test_case.name);
  }
  const std::vector<Event> all = ring.Find({});
  cr_expect_lt(all[0].time, all[1].time, "equal wall times keep their order");
}

}  // namespace dotterelcove
