// A job that every attempt was refused for is run: the store goes down while it
// performs the insert, and the daemon's second, hidden attempt hides that.
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/Cell.h"

namespace review {
namespace {

constexpr int64_t kWarmUpMs = 3'000;
constexpr int64_t kIntervalMs = 25;
/// Length of one outage of the store; the site's troubles have 4.5 s.
constexpr int64_t kDownMs = 4'500;
constexpr int kOutages = 2;
constexpr uint64_t kFirstJob = 1'000;
constexpr const char* kBody =
    R"({"spec":"ms=200","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_duration_ms":200}]})";

/// Hands in a job every 25 ms until `until_ms`.
void SubmitSteadily(Cell& cell, uint64_t& next, int64_t until_ms,
                    std::vector<std::thread>& clients) {
  while (NowMs() < until_ms) {
    const std::string job = Cell::JobId(next++);
    clients.emplace_back([&cell, job] { cell.Submit(job, kBody); });
    SleepMs(kIntervalMs);
  }
}

int Judge(Cell& cell) {
  std::map<std::string, std::vector<ClientCall>> attempts;
  for (const ClientCall& call : cell.Calls()) {
    if (call.method == "POST") attempts[call.job].push_back(call);
  }
  std::set<std::string> started;
  for (const RunEvent& event : cell.log.All()) {
    if (event.what == "start") started.insert(event.task.substr(0, 16));
  }
  int refused = 0;
  int broken = 0;
  for (const auto& [job, calls] : attempts) {
    bool all_refused = true;
    for (const ClientCall& call : calls) {
      all_refused = all_refused && (call.status == 503 || call.status == 429);
    }
    if (!all_refused) continue;
    ++refused;
    if (!started.contains(job)) continue;
    ++broken;
    cell.Say("REFUSED broken: job " + job + " was started, and all " +
             std::to_string(calls.size()) +
             " attempts to hand it in were rejected");
  }
  cell.Say(std::to_string(attempts.size()) + " jobs, of which " +
           std::to_string(refused) +
           " were refused by every answer, of which " + std::to_string(broken) +
           " ran");
  return broken > 0 ? kBroken : kHeld;
}

int RunCase(const std::string& record_file) {
  Cell cell(record_file, {});
  if (!cell.Start()) return kCannotRun;
  uint64_t next = kFirstJob;
  std::vector<std::thread> clients;
  SubmitSteadily(cell, next, NowMs() + kWarmUpMs, clients);
  for (int i = 0; i < kOutages; ++i) {
    if (HasTrouble()) {
      cell.store->GoDownDuringNextInsert(kDownMs);
      cell.Say("the store goes down for 4.5 s during the next insert");
    }
    SubmitSteadily(cell, next, NowMs() + kDownMs + kWarmUpMs, clients);
  }
  for (std::thread& client : clients) client.join();
  constexpr int64_t kFinishMs = 14'000;
  SleepMs(kFinishMs);
  const int result = Judge(cell);
  cell.WriteRecord();
  return result;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc > 1 ? argv[1] : "record.txt");
}
