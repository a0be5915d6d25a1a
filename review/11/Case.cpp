/// A daemon that stood still takes a submission up after its client has given
/// up and cancelled the job elsewhere: the job runs on, although its cancelling
/// was acknowledged.
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <string>
#include <thread>

#include "review/standin-3/CaseCell.h"

namespace dotterelcove::review {
namespace {

constexpr const char* kService = "huvo11a";
constexpr int64_t kTimeLimitMs = 3'000;
constexpr int64_t kFreezeMs = 4'400;
/// Bounds of the deployment.
constexpr int64_t kCancelMs = 3'000;
constexpr int64_t kStopTimeoutMs = 900;
constexpr int64_t kStableWindowMs = 3'000;
constexpr int64_t kObservedMs = 20'000;

constexpr const char* kWatch =
    R"({"spec":"lasts","steps":[{"count":4,"cpu":1000,"mem_mb":256,)"
    R"("est_duration_ms":400,"long_running":true}]})";

/// A daemon that is not the owner, so that the owner stays in touch.
size_t ChooseFrozen(CaseCell& cell) {
  const int owner = cell.Owner();
  return owner == 0 ? 1 : 0;
}

int Run(const std::string& folder) {
  CaseOptions options;
  options.folder = folder;
  options.services = {{kService, 6}};
  CaseCell cell(options);
  if (!cell.Start({{"watch", kService}}, {})) return 2;
  const size_t frozen = ChooseFrozen(cell);
  const size_t other = frozen == 0 ? 2 : 0;
  const std::string path = "/watch/" + JobName(1);
  const int64_t froze_ms = soak::NowMs();
  if (!IsTroubleOff()) {
    cell.Signal(frozen, SIGSTOP);
    cell.Say("front-" + std::to_string(frozen) + " stands still");
  }
  std::thread thaw([&] {
    soak::SleepMs(froze_ms + kFreezeMs - soak::NowMs());
    if (IsTroubleOff()) return;
    cell.Signal(frozen, SIGCONT);
    cell.Say("front-" + std::to_string(frozen) + " goes on");
  });
  cell.Call(frozen, "POST", path, kWatch, "", kTimeLimitMs);
  const int cancelled =
      cell.Call(other, "DELETE", path, "", "", kTimeLimitMs).status;
  const int64_t acknowledged_ms = soak::NowMs();
  thaw.join();
  if (cancelled != 200 && cancelled != 410) {
    cell.Say("the cancelling was not acknowledged");
    return 2;
  }
  // No impairment is near from this moment on.
  const int64_t calm_ms = froze_ms + kFreezeMs + kStableWindowMs;
  const int64_t must_be_gone_ms =
      std::max(acknowledged_ms + kCancelMs + kStopTimeoutMs, calm_ms);
  soak::SleepMs(must_be_gone_ms - soak::NowMs());
  size_t least = SIZE_MAX;
  const int64_t until_ms = soak::NowMs() + kObservedMs;
  while (soak::NowMs() < until_ms) {
    constexpr int64_t kStepMs = 100;
    soak::SleepMs(kStepMs);
    least = std::min(least, cell.CountRunning(JobName(1)));
  }
  constexpr int64_t kLimitMs = 5'000;
  cell.Say("state of the job: " +
           cell.StateOf(path, "", soak::NowMs() + kLimitMs));
  cell.Say(std::to_string(least) +
           " tasks of the cancelled job ran all the while, up to " +
           std::to_string(soak::NowMs() - acknowledged_ms) +
           " ms after the acknowledgment (" + std::to_string(cancelled) + ")");
  cell.Say(least > 0 ? "UNASKED: a task of a cancelled job runs on"
                     : "the rule held");
  return least > 0 ? 1 : 0;
}

}  // namespace
}  // namespace dotterelcove::review

int main(int count, char** arguments) {
  if (count != 2) return 2;
  return dotterelcove::review::Run(arguments[1]);
}
