// A task that needs a whole runner is never started once the only larger runner
// is lost: the scheduler keeps a part of each runner free for urgent work.
#include <algorithm>
#include <string>
#include <vector>

#include "review/standin/Cell.h"

namespace review {
namespace {

/// One of 8 runners is lost; the site's troubles have a share of 0.14.
constexpr int kRunners = 8;
constexpr uint64_t kJob = 0x1000;
constexpr uint64_t kFirstShortJob = 0x2000;
/// The largest tasks of the site's class of this priority have 8,200.
constexpr const char* kBody =
    R"({"spec":"ms=2000","steps":[{"count":1,"cpu":8000,"mem_mb":2800,"est_duration_ms":2000}]})";
constexpr const char* kShortBody =
    R"({"spec":"ms=200","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_duration_ms":200}]})";

bool RunsNow(const Cell& cell, const std::string& job) {
  return std::any_of(
      cell.runners.begin(), cell.runners.end(), [&](const auto& runner) {
        const std::vector<std::string> tasks = runner->Running();
        return std::any_of(
            tasks.begin(), tasks.end(),
            [&](const std::string& task) { return task.starts_with(job); });
      });
}

int RunCase(const std::string& record_file) {
  CellOptions options;
  options.runners = kRunners;
  // The site's runners have 0.5, 1 or 2 times 16 cores.
  options.milli_cores = {16'000, 8'000, 8'000, 8'000,
                         8'000,  8'000, 8'000, 8'000};
  Cell cell(record_file, options);
  if (!cell.Start()) return kCannotRun;
  if (HasTrouble()) {
    cell.runners[0]->Crash();
    cell.Say("runner i-1000, the only one of 16 cores, is lost for good");
  }
  constexpr int64_t kSettleMs = 8'000;
  SleepMs(kSettleMs);
  const std::string job = Cell::JobId(kJob);
  if (!cell.Submit(job, kBody)) return kCannotRun;
  constexpr int kShortJobs = 20;
  constexpr int64_t kPauseMs = 250;
  for (int i = 0; i < kShortJobs; ++i) {
    cell.Submit(Cell::JobId(kFirstShortJob + static_cast<uint64_t>(i)),
                kShortBody);
    SleepMs(kPauseMs);
  }
  constexpr int64_t kFinishMs = 14'000;
  SleepMs(kFinishMs);
  constexpr int64_t kIdleMs = 3'000;
  constexpr int64_t kPollMs = 10;
  bool ran = false;
  const int64_t until_ms = NowMs() + kIdleMs;
  while (NowMs() < until_ms) {
    ran = ran || RunsNow(cell, job);
    SleepMs(kPollMs);
  }
  const std::string state = cell.StateOf(job);
  int short_done = 0;
  for (int i = 0; i < kShortJobs; ++i) {
    const std::string short_state =
        cell.StateOf(Cell::JobId(kFirstShortJob + static_cast<uint64_t>(i)));
    short_done += short_state == "completed" ? 1 : 0;
  }
  cell.Say("short jobs completed: " + std::to_string(short_done) + " of " +
           std::to_string(kShortJobs));
  cell.Say("the job of one task of 8 cores is shown as \"" + state + "\", " +
           (ran ? "and its task runs" : "and nothing of it has run for 3 s") +
           "; 7 runners of 8 cores are idle");
  const bool broken = state != "completed" && !ran;
  if (broken) cell.Say("LOST broken: a task's turn has come and it never runs");
  cell.WriteRecord();
  if (state.empty()) return kCannotRun;
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc > 1 ? argv[1] : "record.txt");
}
