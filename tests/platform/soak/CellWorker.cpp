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
/// How long a stop takes; the pages allow 900 ms.
constexpr int64_t kStopMs = 30;
constexpr int64_t kTickMs = 10;
constexpr size_t kMaxEnds = 500;
constexpr int64_t kCheckpointMs = 500;
constexpr int64_t kRestoreMs = 600;
constexpr int kHexBase = 16;

int64_t WorkOf(const std::string& spec) {
  const size_t at = spec.find("ms=");
  return at == std::string::npos ? 0 : std::atoll(spec.c_str() + at + 3);
}

/// The checkpoint after `worked_ms` of work, empty before the first one.
std::string CheckpointAt(int64_t worked_ms) {
  if (worked_ms < kCheckpointMs) return {};
  const int64_t saved_ms = worked_ms / kCheckpointMs * kCheckpointMs;
  char text[32];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(saved_ms));
  return text;
}

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

void CellWorker::Extend(int64_t deadline) {
  const int64_t longest_ms = this->Clock() + this->options.max_hold_ms;
  this->deadline_ms =
      std::max(this->deadline_ms, std::min(deadline, longest_ms));
}

Reply CellWorker::Handle(const Request& request) {
  const std::string& path = request.path;
  uint64_t number = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    number = this->life;
    const auto wanted = request.headers.find("x-expect-instance");
    if (wanted != request.headers.end() && wanted->second != this->options.id) {
      Reply reply;
      reply.status = 421;
      reply.body = this->ClockBody("");
      return reply;
    }
  }
  const Json body = Json::parse(request.body, nullptr, false);
  const std::string task =
      body.is_object() ? body.value("task", std::string()) : std::string();
  int64_t late_ms = -1;
  if (this->is_cut()) return this->HoldBack();
  if (this->lose && this->lose(path, task, late_ms)) {
    if (late_ms >= 0) this->CarryOutLate(request, late_ms);
    return this->HoldBack();
  }
  const Reply reply = this->Perform(request, number);
  return this->is_cut() ? this->HoldBack() : reply;
}

Reply CellWorker::Perform(const Request& request, uint64_t number) {
  const std::string& path = request.path;
  if (path == "/run-start") return this->Start(request.body, false);
  if (path == "/run-stop") return this->Stop(request.body);
  if (path == "/hold") return this->Hold(request.body, number);
  Reply reply;
  reply.status = path == "/health" || path == "/pace" ? 200 : 400;
  return reply;
}

Reply CellWorker::HoldBack() {
  // Longer than any caller waits for an answer.
  constexpr int64_t kSilenceMs = 8'000;
  constexpr int64_t kPollMs = 50;
  for (int64_t held_ms = 0; held_ms < kSilenceMs && !this->has_ended();
       held_ms += kPollMs) {
    SleepMs(kPollMs);
  }
  Reply reply;
  reply.reset = true;
  return reply;
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

void CellWorker::CarryOutLate(const Request& request, int64_t late_ms) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const uint64_t number = this->life;
  this->late.emplace_back([this, request, late_ms, number] {
    constexpr int64_t kPollMs = 50;
    for (int64_t waited_ms = 0; waited_ms < late_ms; waited_ms += kPollMs) {
      if (this->has_ended()) return;
      SleepMs(kPollMs);
    }
    if (!this->is_up()) return;
    if (!this->late_across_lives && this->Life() != number) return;
    if (request.path == "/run-start") this->Start(request.body, true);
    if (request.path == "/run-stop") this->Stop(request.body);
    if (request.path == "/hold") this->Hold(request.body, 0);
  });
}

Reply CellWorker::Start(const std::string& text, bool is_late) {
  const Json body = Json::parse(text);
  const std::string task = body.at("task");
  const uint32_t run = body.at("run");
  const uint64_t fence = body.value("fencing_token", uint64_t{0});
  const int64_t deadline = body.at("deadline_ms");
  const std::string spec = body.value("spec", std::string());
  const std::lock_guard<std::mutex> lock(this->mutex);
  Reply reply;
  reply.status = 409;
  if (fence < this->token) {
    reply.body = this->ClockBody("fence");
    return reply;
  }
  this->token = fence;
  if (deadline <= this->Clock()) {
    reply.body = this->ClockBody("late");
    return reply;
  }
  this->Extend(deadline);
  const auto known = this->runs.find(task);
  const bool is_there = known != this->runs.end() && known->second.run == run;
  const bool is_old = this->over[task] >= run ||
                      (known != this->runs.end() && known->second.run > run);
  if (is_old && !is_there) {
    reply.body = this->ClockBody("old");
    return reply;
  }
  if (!is_there) {
    Run begun;
    begun.run = run;
    begun.began_ms = NowMs();
    begun.work_ms = WorkOf(spec);
    begun.fails = spec.find("fail") != std::string::npos;
    begun.lasts = spec.find("lasts") != std::string::npos;
    begun.saves = spec.find("save") != std::string::npos;
    const std::string checkpoint = body.value("checkpoint", std::string());
    if (!checkpoint.empty()) {
      begun.began_ms +=
          kRestoreMs - std::strtoll(checkpoint.c_str(), nullptr, kHexBase);
    }
    this->runs[task] = begun;
    this->Note(RunEventKind::kStart, task, run, is_late);
  }
  reply.status = 200;
  reply.body = this->ClockBody("");
  return reply;
}

Reply CellWorker::Stop(const std::string& text) {
  const Json body = Json::parse(text);
  const std::string task = body.at("task");
  const uint32_t run = body.at("run");
  const uint64_t fence = body.value("fencing_token", uint64_t{0});
  const std::lock_guard<std::mutex> lock(this->mutex);
  Reply reply;
  if (fence < this->token) {
    reply.status = 409;
    reply.body = this->ClockBody("fence");
    return reply;
  }
  this->token = fence;
  this->over[task] = std::max(this->over[task], run);
  const auto found = this->runs.find(task);
  if (found != this->runs.end() && found->second.run <= run &&
      found->second.stop_ms == 0) {
    found->second.stop_ms = NowMs() + kStopMs;
  }
  reply.body = this->ClockBody("");
  return reply;
}

int64_t CellWorker::PercentOf(const Run& run, int64_t now_ms) {
  constexpr int64_t kAll = 100;
  constexpr int64_t kStartupMs = 400;
  const int64_t worked_ms = std::max<int64_t>(now_ms - run.began_ms, 0);
  if (run.lasts) return worked_ms >= kStartupMs ? kAll : 0;
  if (run.work_ms == 0) return 0;
  return std::min<int64_t>(worked_ms * kAll / run.work_ms, kAll - 1);
}

Reply CellWorker::Hold(const std::string& text, uint64_t number) {
  const Json body = Json::parse(text);
  const uint64_t fence = body.value("fencing_token", uint64_t{0});
  const uint64_t acked = body.value("ack_cursor", uint64_t{0});
  const int64_t deadline = body.value("deadline_ms", int64_t{0});
  const int64_t wait_ms = body.value("wait_ms", int64_t{0});
  std::unique_lock<std::mutex> lock(this->mutex);
  Reply reply;
  if (fence < this->token) {
    reply.status = 409;
    reply.body = this->ClockBody("fence");
    return reply;
  }
  this->token = fence;
  if (deadline > 0) this->Extend(deadline);
  while (!this->ends.empty() && this->ends.front().number <= acked) {
    const End& end = this->ends.front();
    if (end.how == RunEventKind::kDone && !end.lapsed)
      this->Note(RunEventKind::kDoneAcknowledged, end.task, end.run);
    if (end.how == RunEventKind::kFailed && !end.lapsed)
      this->Note(RunEventKind::kFailedAcknowledged, end.task, end.run);
    this->ends.pop_front();
  }
  this->changed.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
    return !this->ends.empty() || !this->up || this->life != number;
  });
  if (!this->up || this->life != number) {
    reply.reset = true;
    return reply;
  }
  Json running = Json::array();
  const int64_t now_ms = NowMs();
  for (const auto& [task, run] : this->runs) {
    const int64_t percent = PercentOf(run, now_ms);
    const std::string saved =
        run.saves ? CheckpointAt(now_ms - run.began_ms) : std::string();
    running.push_back({task, run.run, saved, percent, 0});
  }
  Json finished = Json::array();
  for (const End& end : this->ends) {
    if (finished.size() >= kMaxEnds) break;
    finished.push_back({end.number, end.task, end.run,
                        NameOf(kRunEventKindNames, end.how), ""});
  }
  reply.body = Json{{"clock_ms", this->Clock()},
                    {"born", this->born},
                    {"running", std::move(running)},
                    {"finished", std::move(finished)}}
                   .dump();
  return reply;
}

}  // namespace dotterelcove::soak
