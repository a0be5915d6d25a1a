/// One request for a job of very many tasks takes down each daemon that becomes
/// the owner, for as long as the job is stored: no other job is served again.
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "review/standin-3/CaseCell.h"

namespace dotterelcove::review {
namespace {

constexpr const char* kService = "huvo11a";
/// Jobs of other callers, one each so many milliseconds.
constexpr int64_t kIntervalMs = 1'000;
constexpr int kJobsBefore = 5;
constexpr int kJobsAfter = 15;
/// The bounds `recovery_s` and `finish_s` together.
constexpr int64_t kFinishMs = 12'000 + 14'000;

constexpr const char* kSmall =
    R"({"spec":"ms=800","steps":[{"count":6,"cpu":1000,"mem_mb":256,)"
    R"("est_duration_ms":800}]})";
/// A recurring job whose interval of 0 is omitted, as all zeros are.
constexpr const char* kHuge =
    R"({"spec":"ms=100","steps":[)"
    R"({"count":10000,"cpu":100,"mem_mb":64,"est_duration_ms":100},)"
    R"({"count":10000,"cpu":100,"mem_mb":64,"est_duration_ms":100,"after":[0]})"
    R"(],"times":64})";

int Run(const std::string& folder) {
  CaseOptions options;
  options.folder = folder;
  options.daemons = 4;
  options.services = {{kService, 8}};
  CaseCell cell(options);
  if (!cell.Start({{"short", kService, 0}, {"batch", kService, 2}}, {})) {
    return 2;
  }
  std::vector<std::string> accepted;
  const auto submit = [&](int number) {
    const std::string path = "/short/" + JobName(100 + number);
    const int64_t next_ms = soak::NowMs() + kIntervalMs;
    if (cell.Submit(path, kSmall, "", next_ms)) accepted.push_back(path);
    soak::SleepMs(std::max<int64_t>(next_ms - soak::NowMs(), 0));
  };
  for (int i = 0; i < kJobsBefore; ++i) submit(i);
  if (!IsTroubleOff()) {
    cell.Call(0, "POST", "/batch/" + JobName(1), kHuge, "", 3'000);
  }
  for (int i = 0; i < kJobsAfter; ++i) submit(kJobsBefore + i);
  cell.Say(std::to_string(accepted.size()) + " jobs of other callers accepted");
  const int64_t asked_ms = soak::NowMs() + kFinishMs;
  size_t completed = 0;
  while (completed < accepted.size() && soak::NowMs() < asked_ms) {
    constexpr int64_t kLimitMs = 1'500;
    const std::string state =
        cell.StateOf(accepted[completed], "", soak::NowMs() + kLimitMs);
    if (state == "completed") ++completed;
    constexpr int64_t kPauseMs = 200;
    if (state != "completed") soak::SleepMs(kPauseMs);
  }
  int kills = 0;
  for (const DaemonProcess& daemon : cell.daemons) {
    kills += daemon.memory_kills + daemon.ends;
    cell.Say(daemon.name + " was killed for its memory " +
             std::to_string(daemon.memory_kills) +
             " times and ended by itself " + std::to_string(daemon.ends) +
             " times");
  }
  const bool is_lost = completed < accepted.size();
  cell.Say(std::to_string(completed) + " of " +
           std::to_string(accepted.size()) +
           " accepted jobs of other callers are completed");
  const bool is_broken = is_lost && kills > 0;
  cell.Say(is_broken ? "LOST and Fault: the cell does not come back"
                     : "the rules held");
  return is_broken ? 1 : 0;
}

}  // namespace
}  // namespace dotterelcove::review

int main(int count, char** arguments) {
  if (count != 2) return 2;
  return dotterelcove::review::Run(arguments[1]);
}
