// Tasks run twice after the owner is lost during a wave of upkeep: the new
// owner repeats the orders for machines that are done, and takes the answer
// "already done" for the end of all that runs on them.
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/Cell.h"

namespace review {
namespace {

using Json = nlohmann::json;

constexpr int kRunners = 8;
constexpr int kWaveMachines = 4;
constexpr int64_t kUpkeepMs = 2'000;
constexpr uint64_t kFirstJob = 0x1000;
/// Keeps all runners busy.
constexpr const char* kBody =
    R"({"spec":"ms=2500","steps":[{"count":7,"cpu":3000,"mem_mb":256,"est_duration_ms":2500,"max_per_server":1}]})";
constexpr uint64_t kLastingJob = 0x2000;
constexpr const char* kLastingBody =
    R"({"spec":"lasts","steps":[{"count":8,"cpu":2000,"mem_mb":256,"est_duration_ms":400,"long_running":true}]})";
constexpr const char* kWave =
    R"({"wave":1,"machines":["m-0","m-1","m-2","m-3"],"duration_s":40,"cap":1})";

/// Stand-in for the platform's machines: each has one runner at a time.
class Machines {
 public:
  Machines(Cell& cell, const std::string& ip)
      : cell(cell), server(ip, 8169, [this](const Request& request) {
          return this->Handle(request);
        }) {
    this->states.resize(kRunners);
  }
  ~Machines() {
    for (std::thread& thread : this->threads) thread.join();
  }
  Machines(const Machines&) = delete;
  Machines& operator=(const Machines&) = delete;
  bool Start() { return this->server.Start(); }
  /// Number of machines whose upkeep is over.
  int Done() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return static_cast<int>(std::count_if(
        this->states.begin(), this->states.end(),
        [](const State& state) { return state.done && state.up; }));
  }

 private:
  struct State {
    bool up = true;
    /// Its upkeep in the wave has begun.
    bool done = false;
    uint64_t fence = 0;
  };

  Reply Handle(const Request& request) {
    if (request.path == "/machines") return this->List();
    if (request.path == "/machine-upkeep") return this->Upkeep(request);
    Reply reply;
    reply.status = 400;
    return reply;
  }

  Reply List() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    Json machines = Json::array();
    for (size_t i = 0; i < this->states.size(); ++i) {
      const RunnerOptions& about = this->cell.runners[i]->about();
      machines.push_back({{"machine", "m-" + std::to_string(i)},
                          {"pool", about.service},
                          {"state", this->states[i].up ? "up" : "upkeep"},
                          {"zone", about.zone},
                          {"labels", {about.kind, about.rack}},
                          {"capacity",
                           {{"cpu", about.milli_cores},
                            {"mem_mb", about.memory_mb},
                            {"gpu", 0}}},
                          {"id", about.id}});
    }
    Reply reply;
    reply.body =
        Json{{"machines", std::move(machines)}, {"next_token", nullptr}}.dump();
    return reply;
  }

  static Reply Refuse(const char* reason) {
    Reply reply;
    reply.status = 409;
    reply.body = Json{{"reason", reason}}.dump();
    return reply;
  }

  Reply Upkeep(const Request& request) {
    const Json body = Json::parse(request.body);
    const std::string machine = body.at("machine");
    const auto index = static_cast<size_t>(std::atoi(machine.c_str() + 2));
    const auto token = request.headers.find("x-fencing-token");
    const uint64_t fence =
        token == request.headers.end()
            ? 0
            : std::strtoull(token->second.c_str(), nullptr, 10);
    const std::lock_guard<std::mutex> lock(this->mutex);
    Reply reply;
    if (index >= this->states.size()) {
      reply.status = 400;
      return reply;
    }
    State& state = this->states[index];
    if (fence < state.fence) return Refuse("fence");
    state.fence = fence;
    if (index >= kWaveMachines) return Refuse("wave");
    if (!state.up) return Refuse("busy");
    if (state.done) {
      this->cell.Say("upkeep of " + machine + " is ordered again with fence " +
                     std::to_string(fence) + ": 200, it is already done");
      return reply;
    }
    state.done = true;
    state.up = false;
    this->cell.Say("upkeep of " + machine + " begins");
    this->cell.runners[index]->Crash();
    this->threads.emplace_back([this, index] {
      SleepMs(kUpkeepMs);
      const std::lock_guard<std::mutex> inner(this->mutex);
      this->cell.runners[index]->SetId("i-" + std::to_string(2000 + index));
      this->cell.runners[index]->Boot();
      this->states[index].up = true;
    });
    return reply;
  }

  Cell& cell;
  mutable std::mutex mutex;
  std::vector<State> states;
  std::vector<std::thread> threads;
  Server server;
};

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
               event.task + " starts on " + event.runner + " at " +
               std::to_string(cell.At(event.at_ms)) + " ms, and run " +
               std::to_string(run) + " of it still runs on " + runner);
    }
    on[event.runner] = event.run;
  }
  return overlaps;
}

int RunCase(const std::string& record_file) {
  CellOptions options;
  options.runners = kRunners;
  Cell cell(record_file, options);
  if (!cell.Start()) return kCannotRun;
  Machines machines(cell, cell.CloudIp());
  if (!machines.Start()) return kCannotRun;
  uint64_t next = kFirstJob;
  cell.store->Put("op", "wave/1", kWave);
  cell.Say("the operator asks for the upkeep of 4 machines, one at a time");
  constexpr int64_t kIntervalMs = 1'500;
  constexpr int64_t kLimitMs = 60'000;
  constexpr int64_t kRestartMs = 1'000;
  constexpr int64_t kStartupMs = 600;
  constexpr int64_t kPollMs = 100;
  bool killed = false;
  int rounds_after = 0;
  int64_t last_ms = 0;
  constexpr int kRoundsAfter = 100;
  const int64_t limit_ms = NowMs() + kLimitMs;
  while (NowMs() < limit_ms && rounds_after < kRoundsAfter) {
    if (NowMs() - last_ms >= kIntervalMs) {
      cell.Submit(Cell::JobId(next++), kBody);
      last_ms = NowMs();
    }
    SleepMs(kPollMs);
    if (killed) {
      ++rounds_after;
      continue;
    }
    // Two machines are done and run tasks again; two are still to come.
    if (machines.Done() < 2) continue;
    cell.Submit(Cell::JobId(kLastingJob), kLastingBody);
    SleepMs(kStartupMs);
    killed = true;
    Daemon* owner = cell.Owner();
    if (!HasTrouble() || owner == nullptr) continue;
    cell.Say("the owner " + owner->name + " is killed, and starts again");
    Cell::Signal(*owner, SIGKILL);
    waitpid(owner->pid, nullptr, 0);
    SleepMs(kRestartMs);
    cell.StartDaemon(*owner);
  }
  constexpr int64_t kFinishMs = 14'000;
  SleepMs(kFinishMs);
  cell.Cancel(Cell::JobId(kLastingJob));
  SleepMs(kIntervalMs);
  const int overlaps = CountOverlaps(cell);
  cell.Say(std::to_string(overlaps) +
           " runs began beside another run of their task");
  cell.WriteRecord();
  if (!killed) return kCannotRun;
  return overlaps > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc > 1 ? argv[1] : "record.txt");
}
