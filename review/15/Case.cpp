/// After the quota of an account was lowered, a task that it accepts is never
/// started, although the account uses less than half of the quota: the rest of
/// it is a little smaller than the task, and what is in use lasts.
#include <algorithm>
#include <cstdio>
#include <string>

#include "review/standin-3/CaseCell.h"

namespace dotterelcove::review {
namespace {

constexpr const char* kService = "huvo11a";
constexpr int64_t kQuota = 100'000;
constexpr int64_t kLowQuota = 40'000;
constexpr int64_t kConfigApplyMs = 3'000;
/// When jobs are asked for after the end of the traffic, and for how long
/// nothing of them may run.
constexpr int64_t kFinishMs = 14'000;
constexpr int64_t kMayWaitMs = 3'000;
constexpr int64_t kObservedMs = 20'000;

/// 16 cores that last: less than half of the lower quota.
constexpr const char* kWatch =
    R"({"spec":"lasts","steps":[{"count":4,"cpu":4000,"mem_mb":256,)"
    R"("est_duration_ms":400,"long_running":true}]})";
/// One task of 26 cores.
constexpr const char* kLarge =
    R"({"spec":"ms=2000","steps":[{"count":1,"cpu":26000,"mem_mb":256,)"
    R"("est_duration_ms":2000}]})";

int Run(const std::string& folder) {
  CaseOptions options;
  options.folder = folder;
  options.services = {{kService, 8, 32'000, 65'536}};
  CaseCell cell(options);
  const std::vector<QueueRoute> routes = {{"short", kService, 0},
                                          {"watch", kService, 1}};
  if (!cell.Start(routes, {{"t1", kQuota}, {"t2", kQuota}})) return 2;
  constexpr int64_t kLimitMs = 10'000;
  const std::string key = "key-t1";
  if (!cell.Submit("/watch/" + JobName(1), kWatch, key,
                   soak::NowMs() + kLimitMs) ||
      !cell.AwaitRunning(JobName(1), 4, kLimitMs)) {
    cell.Say("the job that lasts did not start");
    return 2;
  }
  if (!IsTroubleOff()) {
    cell.WriteManifest(routes, {{"t1", kLowQuota}, {"t2", kQuota}});
  }
  soak::SleepMs(2 * kConfigApplyMs);
  const std::string path = "/short/" + JobName(2);
  if (!cell.Submit(path, kLarge, key, soak::NowMs() + kLimitMs)) {
    cell.Say("the job was not accepted");
    return 2;
  }
  soak::SleepMs(kFinishMs);
  std::string state = cell.StateOf(path, key, soak::NowMs() + kLimitMs);
  int64_t idle_ms = 0;
  const int64_t from_ms = soak::NowMs();
  while (state != "completed" && soak::NowMs() < from_ms + kObservedMs) {
    constexpr int64_t kStepMs = 100;
    soak::SleepMs(kStepMs);
    if (cell.CountRunning(JobName(2)) > 0) break;
    idle_ms = soak::NowMs() - from_ms;
  }
  state = cell.StateOf(path, key, soak::NowMs() + kLimitMs);
  cell.Say("state of the accepted job: " + state +
           "; from 14 s on nothing of it ran for " + std::to_string(idle_ms) +
           " ms");
  cell.Say("its account has " + std::to_string(cell.CountRunning(JobName(1))) +
           " tasks of 4 cores running, of a quota of 40; 16 of 256 cores are "
           "in use; the task takes 26");
  const bool is_broken = state != "completed" && idle_ms >= kMayWaitMs;
  cell.Say(is_broken ? "LOST: a job has nothing running" : "the rule held");
  return is_broken ? 1 : 0;
}

}  // namespace
}  // namespace dotterelcove::review

int main(int count, char** arguments) {
  if (count != 2) return 2;
  return dotterelcove::review::Run(arguments[1]);
}
