#include "tests/platform/soak/CellWorker.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterelcove::soak {
namespace {

using Json = nlohmann::json;

constexpr int64_t kHeartbeatMs = 1'500;
constexpr int64_t kTickMs = 10;

}  // namespace

void EventLog::Add(RunEvent event) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->events.push_back(std::move(event));
}

std::vector<RunEvent> EventLog::All() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->events;
}

CellWorker::CellWorker(CellWorkerOptions options, StoreStandin& store,
                       EventLog& log)
    : options(std::move(options)), store(store), log(log) {}

CellWorker::~CellWorker() {
  this->Crash();
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->ended = true;
  }
  for (std::thread& thread : this->late) thread.join();
}

bool CellWorker::Boot() {
  uint64_t number = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->up = true;
    number = ++this->life;
    this->born = static_cast<uint64_t>(WallNowMs());
    this->booted_ms = NowMs();
    this->seq = 0;
    this->token = 0;
    this->deadline_ms = 0;
    this->runs.clear();
    this->over.clear();
    this->ends.clear();
    this->last_end = 0;
  }
  this->server = std::make_unique<Server>(
      this->options.ip, this->options.port,
      [this](const Request& request) { return this->Handle(request); });
  if (!this->server->Start()) return false;
  this->Register();
  this->ticker = std::thread([this, number] { this->Tick(number); });
  return true;
}

void CellWorker::Crash() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->up) return;
    this->up = false;
    for (const auto& [task, run] : this->runs) {
      this->Note(RunEventKind::kCrashed, task, run.run);
    }
    this->runs.clear();
  }
  this->changed.notify_all();
  this->server->Stop();
  if (this->ticker.joinable()) this->ticker.join();
}

bool CellWorker::is_up() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->up;
}

uint64_t CellWorker::Life() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->life;
}

std::vector<std::string> CellWorker::Running() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::string> tasks;
  for (const auto& [task, run] : this->runs) tasks.push_back(task);
  return tasks;
}

void CellWorker::Expire() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const bool is_silent = !this->up || this->cut;
    if (!is_silent || NowMs() - this->registered_ms < 3 * kHeartbeatMs) return;
  }
  this->store.Remove("servers", this->options.id);
}

void CellWorker::Note(RunEventKind kind, const std::string& task, uint32_t run,
                      bool is_late) {
  RunEvent event;
  event.is_late = is_late;
  event.at_ms = NowMs();
  event.kind = kind;
  event.task = task;
  event.run = run;
  event.worker = this->options.id;
  event.incarnation = this->born;
  event.token = this->token;
  this->log.Add(std::move(event));
}

int64_t CellWorker::Clock() const {
  const auto up_ms = static_cast<double>(NowMs() - this->booted_ms);
  return static_cast<int64_t>(up_ms * this->options.clock_rate) + 1;
}

std::string CellWorker::ClockBody(const std::string& reason) const {
  Json json{{"clock_ms", this->Clock()}, {"born", this->born}};
  if (!reason.empty()) json["reason"] = reason;
  return json.dump();
}

void CellWorker::Register() {
  Json json{
      {"service", this->options.service},
      {"address", this->options.ip + ":" + std::to_string(this->options.port)},
      {"zone", this->options.zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"capacity",
       {{"cpu", this->options.milli_cores},
        {"mem_mb", this->options.memory_mb},
        {"gpu", 0}}},
      {"labels", {this->options.kind, this->options.rack}}};
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->cut) return;
    json["clock_ms"] = this->Clock();
    json["born"] = this->born;
    json["seq"] = ++this->seq;
    this->registered_ms = NowMs();
  }
  this->store.Put("servers", this->options.id, json.dump());
}

void CellWorker::Tick(uint64_t number) {
  while (true) {
    SleepMs(kTickMs);
    bool registers = false;
    bool any = false;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (!this->up || this->life != number) return;
      const int64_t now_ms = NowMs();
      if (this->Clock() >= this->deadline_ms) {
        for (End& end : this->ends) end.lapsed = true;
      }
      std::vector<std::pair<std::string, RunEventKind>> over_now;
      for (const auto& [task, run] : this->runs) {
        if (this->Clock() >= this->deadline_ms) {
          over_now.emplace_back(task, RunEventKind::kLapsed);
        } else if (run.stop_ms > 0 && now_ms >= run.stop_ms) {
          over_now.emplace_back(task, RunEventKind::kStopped);
        } else if (!run.lasts && now_ms - run.began_ms >= run.work_ms) {
          over_now.emplace_back(
              task, run.fails ? RunEventKind::kFailed : RunEventKind::kDone);
        }
      }
      for (const auto& [task, how] : over_now) this->Finish(task, how);
      any = !over_now.empty();
      registers = now_ms - this->registered_ms >= kHeartbeatMs;
    }
    if (any) this->changed.notify_all();
    if (registers) this->Register();
  }
}

void CellWorker::Finish(const std::string& task, RunEventKind how) {
  const auto found = this->runs.find(task);
  const uint32_t run = found->second.run;
  this->runs.erase(found);
  this->over[task] = std::max(this->over[task], run);
  this->ends.push_back({++this->last_end, task, run, how, false});
  this->Note(how, task, run);
}

void CellWorker::SetCut(bool is_cut) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->cut = is_cut;
}

bool CellWorker::is_cut() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->cut;
}

bool CellWorker::has_ended() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->ended;
}

}  // namespace dotterelcove::soak
