/// One account asks for a job of another account and cancels it, with its own
/// key.
#include <cstdio>
#include <string>
#include <vector>

#include "review/standin-3/CaseCell.h"

namespace dotterelcove::review {
namespace {

constexpr const char* kService = "huvo11a";
constexpr int64_t kQuota = 40'000;
constexpr size_t kTasks = 4;
constexpr const char* kWatch =
    R"({"spec":"lasts","steps":[{"count":4,"cpu":1000,"mem_mb":256,)"
    R"("est_duration_ms":400,"long_running":true}]})";

int Run(const std::string& folder) {
  CaseOptions options;
  options.folder = folder;
  options.services = {{kService, 4}};
  CaseCell cell(options);
  if (!cell.Start({{"watch", kService, 1}}, {{"t1", kQuota}, {"t2", kQuota}})) {
    return 2;
  }
  constexpr int64_t kLimitMs = 5'000;
  const std::string path = "/watch/" + JobName(1);
  if (!cell.Submit(path, kWatch, "key-t1", soak::NowMs() + kLimitMs) ||
      !cell.AwaitRunning(JobName(1), kTasks, kLimitMs)) {
    return 2;
  }
  if (!IsTroubleOff()) {
    cell.Call(1, "GET", path, "", "key-t2", kLimitMs);
    cell.Call(1, "DELETE", path, "", "key-t2", kLimitMs);
  }
  constexpr int64_t kSettleMs = 4'000;
  soak::SleepMs(kSettleMs);
  const std::string state =
      cell.StateOf(path, "key-t1", soak::NowMs() + kLimitMs);
  cell.Say("the job of t1 is shown as " + state + ", " +
           std::to_string(cell.CountRunning(JobName(1))) + " tasks run");
  return state == "cancelled" ? 1 : 0;
}

}  // namespace
}  // namespace dotterelcove::review

int main(int count, char** arguments) {
  if (count != 2) return 2;
  return dotterelcove::review::Run(arguments[1]);
}
