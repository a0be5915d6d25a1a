// A task waits for ever after its runner has crashed, started again under the
// same id, and crashed again before it answered a call of the new life.
#include <algorithm>
#include <string>
#include <vector>

#include "review/standin/Cell.h"

namespace review {
namespace {

constexpr int kRunners = 16;
/// 2 of 16 runners; the site's troubles have a share of 0.14.
constexpr int kCrashing = 2;
constexpr int64_t kDownMs = 700;
constexpr int64_t kSecondLifeMs = 40;
constexpr uint64_t kLongJob = 0x1000;
constexpr uint64_t kFirstShortJob = 0x2000;
constexpr uint32_t kTasks = 32;
constexpr const char* kLongBody =
    R"({"spec":"ms=3000","steps":[{"count":32,"cpu":7000,"mem_mb":256,"est_duration_ms":3000}]})";
constexpr const char* kShortBody =
    R"({"spec":"ms=200","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_duration_ms":200}]})";

size_t CountStarts(const Cell& cell, const std::string& job) {
  const std::vector<RunEvent> events = cell.log.All();
  return static_cast<size_t>(
      std::count_if(events.begin(), events.end(), [&](const RunEvent& event) {
        return event.what == "start" && event.task.starts_with(job);
      }));
}

bool RunsNow(const Cell& cell, const std::string& job) {
  return std::any_of(
      cell.runners.begin(), cell.runners.end(), [&](const auto& runner) {
        const std::vector<std::string> tasks = runner->Running();
        return std::any_of(
            tasks.begin(), tasks.end(),
            [&](const std::string& task) { return task.starts_with(job); });
      });
}

/// Crashes the runners right after their tasks have begun, lets each begin a
/// second life, and crashes them for good.
void CrashTwice(Cell& cell) {
  for (int i = 0; i < kCrashing; ++i) cell.runners[i]->Crash();
  cell.Say("runners i-1000 and i-1001 crash");
  SleepMs(kDownMs);
  for (int i = 0; i < kCrashing; ++i) cell.runners[i]->Boot();
  SleepMs(kSecondLifeMs);
  for (int i = 0; i < kCrashing; ++i) cell.runners[i]->Crash();
  cell.Say("they have started again, and are lost for good");
}

int RunCase(const std::string& folder) {
  CellOptions options;
  options.runners = kRunners;
  Cell cell(folder, options);
  if (!cell.Start()) return kCannotRun;
  const std::string job = Cell::JobId(kLongJob);
  if (!cell.Submit(job, kLongBody)) return kCannotRun;
  constexpr int64_t kPollMs = 10;
  constexpr int64_t kStartLimitMs = 3'000;
  const int64_t limit_ms = NowMs() + kStartLimitMs;
  while (CountStarts(cell, job) < kTasks && NowMs() < limit_ms) {
    SleepMs(kPollMs);
  }
  if (HasTrouble()) CrashTwice(cell);
  // Traffic goes on for some seconds and is served.
  constexpr int kShortJobs = 40;
  constexpr int64_t kPauseMs = 250;
  for (int i = 0; i < kShortJobs; ++i) {
    cell.Submit(Cell::JobId(kFirstShortJob + static_cast<uint64_t>(i)),
                kShortBody);
    SleepMs(kPauseMs);
  }
  constexpr int64_t kFinishMs = 14'000;
  SleepMs(kFinishMs);
  int short_done = 0;
  for (int i = 0; i < kShortJobs; ++i) {
    const std::string state =
        cell.StateOf(Cell::JobId(kFirstShortJob + static_cast<uint64_t>(i)));
    short_done += state == "completed" ? 1 : 0;
  }
  // For 3 s nothing of the job may run while it is open.
  constexpr int64_t kIdleMs = 3'000;
  bool ran = false;
  const int64_t until_ms = NowMs() + kIdleMs;
  while (NowMs() < until_ms) {
    ran = ran || RunsNow(cell, job);
    SleepMs(kPollMs);
  }
  const std::string state = cell.StateOf(job);
  cell.Say("short jobs completed: " + std::to_string(short_done) + " of " +
           std::to_string(kShortJobs));
  cell.Say(
      "the job of 32 tasks is shown as \"" + state + "\", " +
      (ran ? "and a task of it runs" : "and nothing of it has run for 3 s"));
  const bool broken = state != "completed" && !ran;
  if (broken) cell.Say("LOST broken: a task's turn has come and it never runs");
  cell.WriteRecord();
  if (state.empty()) return kCannotRun;
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc > 1 ? argv[1] : ".");
}
