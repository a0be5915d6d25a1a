/// A job that lasts, accepted before the manifest moves its queue to another
/// service, is not started again once the runners of the old service have left.
#include <algorithm>
#include <cstdio>
#include <string>

#include "review/standin-3/CaseCell.h"

namespace dotterelcove::review {
namespace {

constexpr const char* kOld = "huvo11a";
constexpr const char* kNew = "rewi27b";
constexpr size_t kTasks = 4;
/// One runner that leaves is 0.031 of all, half of the site's largest share.
constexpr int kNewRunners = 28;
/// The rule: a task that lasts may be without a run for 6 s after its last run,
/// then for 3 s more.
constexpr int64_t kMayBeAwayMs = 6'000 + 3'000;
/// The three seconds and the four before them have to be calm.
constexpr int64_t kCalmMs = 7'000;
constexpr int64_t kObservedMs = 30'000;
constexpr int64_t kConfigApplyMs = 2'000;

constexpr const char* kWatch =
    R"({"spec":"lasts","steps":[{"count":4,"cpu":1000,"mem_mb":256,)"
    R"("est_duration_ms":400,"long_running":true,"may_miss":1}]})";

/// The operator retires the runners of the old service, one after the other.
void Retire(CaseCell& cell) {
  constexpr int64_t kDrainMs = 2'500;
  constexpr int64_t kUntilGoneMs = 3'500;
  for (soak::CellWorker* worker : cell.WorkersOf(kOld)) {
    cell.Say(worker->about().id + " reports draining");
    worker->Drain(kDrainMs);
    soak::SleepMs(kUntilGoneMs);
    worker->Leave();
    cell.Say(worker->about().id + " has left");
  }
}

int Run(const std::string& folder) {
  CaseOptions options;
  options.folder = folder;
  options.services = {{kOld, 4}, {kNew, kNewRunners}};
  CaseCell cell(options);
  if (!cell.Start({{"watch", kOld}}, {})) return 2;
  const std::string before = JobName(1);
  const std::string after = JobName(2);
  constexpr int64_t kLimitMs = 10'000;
  if (!cell.Submit("/watch/" + before, kWatch, "", soak::NowMs() + kLimitMs) ||
      !cell.AwaitRunning(before, kTasks, kLimitMs)) {
    cell.Say("the job did not start");
    return 2;
  }
  if (!IsTroubleOff()) {
    cell.WriteManifest({{"watch", kNew}}, {});
    soak::SleepMs(2 * kConfigApplyMs);
  }
  if (!cell.Submit("/watch/" + after, kWatch, "", soak::NowMs() + kLimitMs) ||
      !cell.AwaitRunning(after, kTasks, kLimitMs)) {
    cell.Say("the second job did not start");
    return 2;
  }
  if (!IsTroubleOff()) Retire(cell);
  const int64_t from_ms = soak::NowMs();
  int64_t away_since_ms = from_ms;
  int64_t longest_ms = 0;
  while (soak::NowMs() < from_ms + kObservedMs) {
    constexpr int64_t kStepMs = 100;
    soak::SleepMs(kStepMs);
    if (cell.CountRunning(before) == kTasks) away_since_ms = soak::NowMs();
    longest_ms = std::max(longest_ms, soak::NowMs() - away_since_ms);
  }
  cell.Say("state of the first job: " +
           cell.StateOf("/watch/" + before, "", soak::NowMs() + kLimitMs));
  cell.Say("of its 4 tasks run " + std::to_string(cell.CountRunning(before)) +
           ", of the second job's " + std::to_string(cell.CountRunning(after)) +
           "; not all of the first job's ran for " +
           std::to_string(longest_ms) + " ms on end, " +
           "beside 28 runners of 16 cores in the service of its queue");
  const bool is_broken = longest_ms >= kMayBeAwayMs + kCalmMs;
  cell.Say(is_broken ? "LOST: a task that lasts is not started again"
                     : "the rule held");
  return is_broken ? 1 : 0;
}

}  // namespace
}  // namespace dotterelcove::review

int main(int count, char** arguments) {
  if (count != 2) return 2;
  return dotterelcove::review::Run(arguments[1]);
}
