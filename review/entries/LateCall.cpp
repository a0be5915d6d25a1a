// Entry of KNOWN-RED.txt: a start that is carried out late reaches a runner
// that has started again, before the owner's first sync there. No case of its
// own: the runner starts again 40 ms before the late order.
#include <algorithm>
#include <atomic>
#include <map>
#include <string>

#include "review/standin/Cell.h"

namespace review {
namespace {

constexpr uint64_t kSmallJob = 0x1000;
constexpr uint64_t kFillingJob = 0x1001;
constexpr uint64_t kLateJob = 0x3000;
/// When the lost order is carried out; the pages name 2 to 12 s.
constexpr int64_t kLateMs = 3'000;
constexpr int64_t kCrashMs = 1'500;
constexpr int64_t kBootMs = 2'960;
/// Makes the other runners the better fit once they have room.
constexpr const char* kSmallBody =
    R"({"spec":"ms=60000","steps":[{"count":7,"cpu":2000,"mem_mb":256,"est_duration_ms":60000,"max_per_server":1}]})";
/// Leaves only i-1000 for the first start of the late job.
constexpr const char* kFillingBody =
    R"({"spec":"ms=2500","steps":[{"count":7,"cpu":9000,"mem_mb":256,"est_duration_ms":2500,"max_per_server":1}]})";
constexpr const char* kLateBody =
    R"({"spec":"ms=12000","steps":[{"count":1,"cpu":9000,"mem_mb":256,"est_duration_ms":12000}]})";

int CountOverlaps(Cell& cell) {
  std::map<std::string, std::map<std::string, uint32_t>> running;
  int overlaps = 0;
  for (const RunEvent& event : cell.log.All()) {
    if (event.what == "noted") continue;
    auto& on = running[event.task];
    if (event.what != "start") {
      on.erase(event.runner);
      continue;
    }
    for (const auto& [runner, run] : on) {
      if (runner == event.runner) continue;
      ++overlaps;
      cell.Say("TWICE broken: run " + std::to_string(event.run) + " of " +
               event.task + " starts on " + event.runner + ", and run " +
               std::to_string(run) + " of it still runs on " + runner);
    }
    on[event.runner] = event.run;
  }
  return overlaps;
}

int RunEntry(const std::string& record_file) {
  Cell cell(record_file, {});
  if (!cell.Start()) return kCannotRun;
  constexpr int64_t kWarmUpMs = 10'000;
  constexpr int64_t kAwayMs = 6'000;
  constexpr int64_t kStepMs = 300;
  constexpr int64_t kJoinMs = 1'900;
  SleepMs(kWarmUpMs);
  const std::string job = Cell::JobId(kLateJob);
  std::atomic<bool> armed{HasTrouble()};
  std::atomic<int64_t> lost_ms{0};
  Runner& runner = *cell.runners[0];
  runner.late_across_lives = true;
  runner.lose = [&](const std::string& path, const std::string& task,
                    int64_t& late_ms) {
    if (path != "/run-start" || !task.starts_with(job)) return false;
    if (!armed.exchange(false)) return false;
    late_ms = kLateMs;
    lost_ms = NowMs();
    return true;
  };
  runner.Crash();
  SleepMs(kAwayMs);
  cell.Submit(Cell::JobId(kSmallJob), kSmallBody);
  SleepMs(kStepMs);
  cell.Submit(Cell::JobId(kFillingJob), kFillingBody);
  SleepMs(kStepMs);
  runner.Boot();
  SleepMs(kJoinMs);
  cell.Submit(job, kLateBody);
  SleepMs(kStepMs);
  if (HasTrouble()) {
    if (lost_ms == 0) return kCannotRun;
    cell.Say("a start order to i-1000 gets no answer");
    SleepMs(lost_ms + kCrashMs - NowMs());
    runner.Crash();
    cell.Say("i-1000 crashes");
    SleepMs(lost_ms + kBootMs - NowMs());
    runner.Boot();
    cell.Say("i-1000 starts again under its id");
  }
  constexpr int64_t kFinishMs = 20'000;
  SleepMs(kFinishMs);
  const int overlaps = CountOverlaps(cell);
  cell.Say(std::to_string(overlaps) +
           " runs began beside another run of their task");
  cell.WriteRecord();
  return overlaps > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunEntry(argc > 1 ? argv[1] : "record.txt");
}
