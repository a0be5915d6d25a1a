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
/// Entries of workers that have been silent for this long are removed.
constexpr int64_t kSilenceMs = 3 * kHeartbeatMs;
constexpr int64_t kTickMs = 10;
constexpr int64_t kGangTimeoutMs = 3'000;

}  // namespace

std::string OtherKind(const std::string& kind) {
  return kWorkerKinds[kind == kWorkerKinds[0] ? 1 : 0];
}

void EventLog::Add(RunEvent event) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->events.push_back(std::move(event));
}

std::vector<RunEvent> EventLog::All() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<RunEvent> all = this->events;
  // Lapses are noted up to a tick later than they happen.
  std::stable_sort(
      all.begin(), all.end(),
      [](const RunEvent& a, const RunEvent& b) { return a.at_ms < b.at_ms; });
  return all;
}

void OrderFault::Set(uint32_t share_percent, int64_t delay_ms) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->percent = share_percent;
  this->late_ms = delay_ms;
}

bool OrderFault::Meets(int64_t& delay_ms) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  constexpr uint64_t kAll = 100;
  delay_ms = this->late_ms;
  return this->random() % kAll < this->percent;
}

CellWorker::CellWorker(CellWorkerOptions options, StoreStandin& store,
                       GangBoard& gangs, OrderFault& order_fault, EventLog& log)
    : options(std::move(options)),
      store(store),
      gangs(gangs),
      order_fault(order_fault),
      log(log) {}

CellWorker::~CellWorker() {
  this->Crash();
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->has_ended = true;
  }
  for (std::thread& thread : this->late) thread.join();
}

uint64_t CellWorker::NextBorn(int64_t set_back_ms) const {
  int64_t next_ms = WallNowMs();
  if (set_back_ms > 0) {
    next_ms = std::min(next_ms, static_cast<int64_t>(this->born)) - set_back_ms;
  }
  // The judge knows a life by its worker and this value.
  const auto is_taken = [&](const WorkerLife& other) {
    return other.worker == this->options.id &&
           other.incarnation == static_cast<uint64_t>(next_ms);
  };
  while (
      std::any_of(this->all_lives.begin(), this->all_lives.end(), is_taken)) {
    next_ms += set_back_ms > 0 ? -1 : 1;
  }
  return static_cast<uint64_t>(next_ms);
}

bool CellWorker::Boot(int64_t set_back_ms) {
  uint64_t number = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->up = true;
    number = ++this->life;
    this->born = this->NextBorn(set_back_ms);
    this->booted_ms = NowMs();
    this->seq = 0;
    this->token = 0;
    this->deadline_ms = 0;
    this->runs.clear();
    this->over.clear();
    this->ends.clear();
    this->last_end = 0;
    this->leaves_ms = 0;
    this->all_lives.push_back({this->options.id, this->born, NowMs(), INT64_MAX,
                               this->options.milli_cores, this->options.service,
                               this->options.kind});
  }
  this->server =
      std::make_unique<Server>(this->options.ip, this->options.port,
                               [this, number](const Request& request) {
                                 return this->Handle(request, number);
                               });
  if (!this->server->Start()) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->up = false;
    this->all_lives.pop_back();
    return false;
  }
  this->Register();
  this->ticker = std::thread([this, number] { this->Tick(number); });
  return true;
}

void CellWorker::Crash() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->up) return;
    this->EndRuns();
    this->up = false;
    this->all_lives.back().to_ms = NowMs();
    for (const auto& [task, run] : this->runs) {
      this->Note(RunEventKind::kCrashed, task, run.run);
      if (!run.gang.first.empty()) this->gangs.Leave(run.gang);
    }
    this->runs.clear();
  }
  this->changed.notify_all();
  this->server->Stop();
  if (this->ticker.joinable()) this->ticker.join();
}

void CellWorker::SetId(const std::string& id) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->former[this->options.id] = this->registered_ms + kSilenceMs;
  this->options.id = id;
}

void CellWorker::SetKind(const std::string& kind) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->options.kind = kind;
}

CellWorkerOptions CellWorker::about() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->options;
}

void CellWorker::Pause() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->EndRuns();
  this->paused_ms = NowMs();
}

void CellWorker::Continue() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const int64_t stood_ms = NowMs() - this->paused_ms;
    this->paused_ms = 0;
    // A stopped process works on nothing. The work of a gang, which the other
    // members go on with, is the exception.
    for (auto& [task, run] : this->runs) {
      run.began_ms += stood_ms;
      if (run.fails_ms > 0) run.fails_ms += stood_ms;
    }
    // Lease time is that of the steady clock, which has gone on, and a run is
    // over once its lease is (PROTOCOL.md, Running tasks): a scheduler cannot
    // see more, so a run elsewhere after that moment is no second one at the
    // same time. Lapses are therefore noted as of then, all other ends as of
    // now, since the run holds its lease until the worker has ended it.
    this->EndRuns();
  }
  this->changed.notify_all();
}

void CellWorker::AwaitContinue(std::unique_lock<std::mutex>& lock) {
  this->changed.wait(lock, [&] { return this->paused_ms == 0 || !this->up; });
}

void CellWorker::Drain(int64_t ms) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->leaves_ms = NowMs() + ms;
  }
  this->Register();
}

void CellWorker::Leave() {
  this->Crash();
  this->store.Remove("servers", this->options.id);
}

std::vector<WorkerLife> CellWorker::lives() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->all_lives;
}

void CellWorker::Expire() {
  const int64_t now_ms = NowMs();
  std::vector<std::string> expired;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& [id, until_ms] : this->former) {
      if (now_ms >= until_ms) expired.push_back(id);
    }
    for (const std::string& id : expired) this->former.erase(id);
    const bool is_silent =
        !this->up || this->cut != CutKind::kNone || this->paused_ms > 0;
    if (is_silent && now_ms - this->registered_ms >= kSilenceMs) {
      expired.push_back(this->options.id);
    }
  }
  for (const std::string& id : expired) this->store.Remove("servers", id);
}

void CellWorker::Note(RunEventKind kind, const std::string& task, uint32_t run,
                      bool is_late, const std::string& spec) {
  RunEvent event;
  event.spec = spec;
  event.is_late = is_late;
  const bool lapses = kind == RunEventKind::kLapsed;
  event.at_ms = lapses ? std::min(this->LapseMs(), NowMs()) : NowMs();
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
  const bool misstates = this->options.plant == Plant::kRoute;
  const int64_t factor = this->options.plant == Plant::kLimit ? 2 : 1;
  const std::string kind =
      misstates ? OtherKind(this->options.kind) : this->options.kind;
  Json json{
      {"service", this->options.service},
      {"address", this->options.ip + ":" + std::to_string(this->options.port)},
      {"zone", this->options.zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"capacity",
       {{"cpu", factor * this->options.milli_cores},
        {"mem_mb", factor * this->options.memory_mb},
        {"gpu", 0}}},
      {"labels", {kind, this->options.rack}}};
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->cut != CutKind::kNone || this->paused_ms > 0) return;
    json["clock_ms"] = this->Clock();
    json["born"] = this->born;
    json["seq"] = ++this->seq;
    this->registered_ms = NowMs();
    if (this->leaves_ms > 0) {
      json["state"] = "draining";
      json["drain_remaining_ms"] =
          std::max<int64_t>(this->leaves_ms - NowMs(), 0);
    }
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
      if (this->paused_ms > 0) continue;
      any = this->EndRuns();
      registers = NowMs() - this->registered_ms >= kHeartbeatMs;
    }
    if (any) this->changed.notify_all();
    if (registers) this->Register();
  }
}

bool CellWorker::EndRuns() {
  if (this->Clock() >= this->deadline_ms) {
    for (End& end : this->ends) end.lapsed = true;
  }
  std::vector<std::pair<std::string, RunEventKind>> over_now;
  for (auto& [task, run] : this->runs) {
    const auto how = this->EndOf(run);
    if (how) over_now.emplace_back(task, *how);
  }
  for (const auto& [task, how] : over_now) this->Finish(task, how);
  return !over_now.empty();
}

int64_t CellWorker::LapseMs() const {
  const auto lasts_ms = static_cast<double>(this->deadline_ms);
  return this->booted_ms +
         static_cast<int64_t>(lasts_ms / this->options.clock_rate);
}

std::optional<RunEventKind> CellWorker::EndOf(Run& run) {
  const int64_t now_ms = NowMs();
  if (this->Clock() >= this->deadline_ms) return RunEventKind::kLapsed;
  if (run.stop_ms > 0 && now_ms >= run.stop_ms) return RunEventKind::kStopped;
  if (run.fails_ms > 0 && now_ms >= run.fails_ms) return RunEventKind::kFailed;
  if (run.gang.first.empty()) {
    if (run.lasts || now_ms - run.began_ms < run.work_ms) return std::nullopt;
    return run.fails ? RunEventKind::kFailed : RunEventKind::kDone;
  }
  switch (this->gangs.StateOf(run.gang)) {
    case GangState::kWaiting:
      if (now_ms - run.waits_since_ms < kGangTimeoutMs) return std::nullopt;
      return RunEventKind::kAlone;
    case GangState::kAtWork:
      if (run.waits_since_ms > 0) run.began_ms = now_ms;
      run.waits_since_ms = 0;
      return std::nullopt;
    case GangState::kDone:
      return RunEventKind::kDone;
    case GangState::kBroken:
      return RunEventKind::kBroken;
  }
  return std::nullopt;
}

void CellWorker::Finish(const std::string& task, RunEventKind how) {
  const auto found = this->runs.find(task);
  const uint32_t run = found->second.run;
  const GangRun& gang = found->second.gang;
  if (!gang.first.empty() && how != RunEventKind::kDone) {
    this->gangs.Leave(gang);
  }
  this->runs.erase(found);
  this->over[task] = std::max(this->over[task], run);
  const Plant plant = this->options.plant;
  const bool hides = plant == Plant::kBudget && how == RunEventKind::kFailed;
  this->ends.push_back(
      {++this->last_end, task, run, hides ? RunEventKind::kStopped : how});
  if (plant == Plant::kOrder && how == RunEventKind::kDone) return;
  this->Note(how, task, run);
}

}  // namespace dotterelcove::soak
