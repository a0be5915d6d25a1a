/// Records for the tests of the judge of the soak, and what it finds in them.
#pragma once

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "tests/platform/soak/Judge.h"
#include "tests/platform/soak/Observations.h"

namespace dotterelcove::soak {

inline constexpr int64_t kAskedMs = 60'000;
inline constexpr const char* kTask = "j1.0.0.0";
inline constexpr const char* kQueue = "jobs";
inline constexpr const char* kService = "s1";

/// A run on the worker "w1", which has one incarnation, unless said otherwise.
inline RunEvent Event(int64_t at_ms, RunEventKind kind, uint32_t run,
                      const std::string& worker = "w1",
                      const std::string& task = kTask) {
  RunEvent event;
  event.at_ms = at_ms;
  event.kind = kind;
  event.task = task;
  event.run = run;
  event.worker = worker;
  event.incarnation = 1;
  return event;
}

inline RunEvent Late(RunEvent event) {
  event.is_late = true;
  return event;
}

inline ClientCall Submitted(int64_t at_ms, int status) {
  return {at_ms,  at_ms + 10, ClientMethod::kSubmit, "j1", kQueue, "d1",
          status, ""};
}

inline ClientCall Asked(int64_t at_ms, int status, const std::string& state) {
  return {at_ms,  at_ms + 10, ClientMethod::kQuery, "j1", kQueue, "d1",
          status, state};
}

inline ClientCall Cancelled(int64_t at_ms, int status) {
  return {at_ms,  at_ms + 10, ClientMethod::kCancel, "j1", kQueue, "d1",
          status, ""};
}

inline ClientCall Probed(int64_t at_ms, int status, const std::string& queue,
                         const std::string& daemon = "d1") {
  return {at_ms,  at_ms + 10, ClientMethod::kPending, "", queue, daemon,
          status, ""};
}

inline Disruption Disrupted(int64_t from_ms, int64_t to_ms,
                            const std::string& daemon,
                            DisruptionScope scope = DisruptionScope::kDaemon) {
  return {from_ms, to_ms, daemon, "", scope};
}

/// A job of one step with one task that may fail twice, accepted at 1,000 ms,
/// with room on two workers, "w1" of kind "a" and "w2" of kind "b", and no runs
/// yet.
inline Observations MakeRecord() {
  Observations seen;
  JobSpec job;
  job.id = "j1";
  job.queue = kQueue;
  job.attempts = 2;
  job.steps.push_back({1, {}, false, false, 1'000});
  seen.jobs[job.id] = job;
  seen.calls.push_back(Submitted(990, 200));
  seen.lives = {{"w1", 1, 0, INT64_MAX, 16'000, kService, "a"},
                {"w2", 1, 0, INT64_MAX, 16'000, kService, "b"}};
  seen.manifests = {{0, 1, {kQueue}, 0, kService}};
  seen.traffic_end_ms = kAskedMs - 14'000;
  seen.asked_ms = kAskedMs;
  return seen;
}

/// The same with a run that is done and acknowledged, and a final answer.
inline Observations MakeDoneRecord() {
  Observations seen = MakeRecord();
  seen.runs = {Event(2'000, RunEventKind::kStart, 1),
               Event(3'000, RunEventKind::kDone, 1),
               Event(3'100, RunEventKind::kDoneAcknowledged, 1)};
  seen.calls.push_back(Asked(kAskedMs, 200, "completed"));
  return seen;
}

/// What the judge finds in a record whose runs may be out of order.
inline std::vector<Violation> Find(Observations seen) {
  std::stable_sort(
      seen.runs.begin(), seen.runs.end(),
      [](const RunEvent& a, const RunEvent& b) { return a.at_ms < b.at_ms; });
  return Judge(seen, JudgeBounds{});
}

inline std::string DescribeAll(const std::vector<Violation>& found) {
  std::string text;
  for (const Violation& violation : found) {
    text += std::string(NameOf(kRuleNames, violation.rule)) + " " +
            violation.subject + ": " + violation.text + "; ";
  }
  return text;
}

inline void ExpectOnly(const Observations& seen, Rule rule) {
  const std::vector<Violation> found = Find(seen);
  cr_assert(found.size() == 1 && found.front().rule == rule, "%zu: %s",
            found.size(), DescribeAll(found).c_str());
}

inline void ExpectNone(const Observations& seen) {
  const std::vector<Violation> found = Find(seen);
  cr_assert(found.empty(), "%s", DescribeAll(found).c_str());
}

template <class... Events>
Observations With(Observations seen, Events... events) {
  (seen.runs.push_back(std::move(events)), ...);
  return seen;
}

}  // namespace dotterelcove::soak
