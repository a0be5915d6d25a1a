/// The orders that a worker carries out.
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "tests/platform/soak/CellWorker.h"

namespace dotterelcove::soak {
namespace {

using Json = nlohmann::json;

/// How long a stop takes; the pages allow 900 ms.
constexpr int64_t kStopMs = 30;
constexpr size_t kMaxEnds = 500;
constexpr int64_t kCheckpointMs = 500;
constexpr int64_t kRestoreMs = 600;

/// The number behind "NAME=" in a task's spec, 0 without one.
int64_t NumberIn(const std::string& spec, const std::string& name) {
  const size_t at = spec.find(name + "=");
  if (at == std::string::npos) return 0;
  return std::atoll(spec.c_str() + at + name.size() + 1);
}

/// After how much time a run ends `failed` by chance, 0 for never.
int64_t FailsAfterMs(const std::string& spec, const std::string& task,
                     uint32_t run, int64_t work_ms) {
  const int64_t luck = NumberIn(spec, "luck");
  if (luck == 0) return 0;
  const std::string name = task + "/" + std::to_string(run);
  std::mt19937_64 random(std::hash<std::string>{}(name) ^
                         static_cast<uint64_t>(luck));
  constexpr uint64_t kOneInFails = 50;
  constexpr uint64_t kOneLastingInFails = 4;
  constexpr int64_t kMostMs = 8'000;
  const bool lasts = work_ms == 0;
  if (random() % (lasts ? kOneLastingInFails : kOneInFails) != 0) return 0;
  const uint64_t most_ms = static_cast<uint64_t>(lasts ? kMostMs : work_ms);
  return 1 + static_cast<int64_t>(random() % most_ms);
}

/// The checkpoint after `worked_ms` of work, empty before the first one.
std::string CheckpointAt(int64_t worked_ms) {
  if (worked_ms < kCheckpointMs) return {};
  const int64_t saved_ms = worked_ms / kCheckpointMs * kCheckpointMs;
  return std::to_string(saved_ms);
}

}  // namespace

void CellWorker::Extend(int64_t deadline) {
  const int64_t longest_ms = this->Clock() + this->options.max_hold_ms;
  this->deadline_ms =
      std::max(this->deadline_ms, std::min(deadline, longest_ms));
}

Reply CellWorker::Handle(const Request& request, uint64_t number) {
  if (this->cut == CutKind::kBothWays) return this->HoldBack();
  int64_t late_ms = 0;
  if (this->order_fault.Meets(late_ms)) {
    this->CarryOutLate(request, number, late_ms);
    return this->HoldBack();
  }
  const Reply reply = this->Perform(request, number, false);
  return this->cut == CutKind::kNone ? reply : this->HoldBack();
}

Reply CellWorker::Perform(const Request& request, uint64_t number,
                          bool is_late) {
  {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->AwaitContinue(lock);
    const auto wanted = request.headers.find("x-expect-instance");
    const bool is_alive = this->up && this->life == number;
    Reply reply;
    if (!is_alive) {
      reply.reset = true;
      return reply;
    }
    if (wanted != request.headers.end() && wanted->second != this->options.id) {
      reply.status = 421;
      reply.body = this->ClockBody("");
      return reply;
    }
  }
  const std::string& path = request.path;
  if (path == "/run-start") return this->Start(request.body, number, is_late);
  if (path == "/run-stop") return this->Stop(request.body, number);
  if (path == "/hold") return this->Hold(request.body, number, is_late);
  Reply reply;
  reply.status = path == "/health" || path == "/pace" ? 200 : 400;
  return reply;
}

Reply CellWorker::HoldBack() {
  SleepUnless(kNoAnswerMs, this->has_ended);
  Reply reply;
  reply.reset = true;
  return reply;
}

void CellWorker::CarryOutLate(const Request& request, uint64_t number,
                              int64_t late_ms) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->has_ended) return;
  this->late.emplace_back([this, request, late_ms, number] {
    if (!SleepUnless(late_ms, this->has_ended)) return;
    uint64_t reached = number;
    if (this->options.late_to_next_life) {
      const std::lock_guard<std::mutex> next_lock(this->mutex);
      reached = this->life;
    }
    this->Perform(request, reached, true);
  });
}

CellWorker::Run CellWorker::MakeRun(const std::string& task, uint32_t run,
                                    const std::string& spec,
                                    const std::string& checkpoint) {
  Run begun;
  const int64_t now_ms = NowMs();
  begun.run = run;
  begun.began_ms = now_ms;
  begun.work_ms = NumberIn(spec, "ms");
  begun.fails = spec.find("fail") != std::string::npos;
  begun.lasts = spec.find("lasts") != std::string::npos;
  begun.saves = spec.find("save") != std::string::npos;
  const int64_t fails_ms = FailsAfterMs(spec, task, run, begun.work_ms);
  if (fails_ms > 0) begun.fails_ms = now_ms + fails_ms;
  if (!checkpoint.empty()) {
    begun.began_ms += kRestoreMs - std::atoll(checkpoint.c_str());
  }
  const std::string step = task.substr(0, task.rfind('.'));
  const size_t gang = spec.find("gang=");
  if (gang == std::string::npos) return begun;
  const size_t colon = spec.find(':', gang);
  const std::string number = spec.substr(gang + 5, colon - gang - 5);
  if (!step.ends_with("." + number)) return begun;
  begun.gang = {step, run};
  begun.waits_since_ms = now_ms;
  this->gangs.Join(begun.gang, task, std::stoul(spec.substr(colon + 1)),
                   begun.work_ms);
  return begun;
}

bool CellWorker::Admit(uint64_t fence, uint64_t number, Reply& reply) {
  reply.reset = !this->up || this->life != number;
  if (reply.reset) return false;
  // No order renews a lease that has lapsed since the last tick.
  this->EndRuns();
  if (fence < this->token) {
    reply.status = 409;
    reply.body = this->ClockBody("fence");
    return false;
  }
  this->token = fence;
  return true;
}

Reply CellWorker::Start(const std::string& text, uint64_t number,
                        bool is_late) {
  const Json body = Json::parse(text);
  const std::string task = body.at("task");
  const uint32_t run = body.at("run");
  const int64_t deadline = body.at("deadline_ms");
  const std::string spec = body.value("spec", std::string());
  const std::lock_guard<std::mutex> lock(this->mutex);
  Reply reply;
  if (!this->Admit(body.value("fencing_token", uint64_t{0}), number, reply)) {
    return reply;
  }
  reply.status = 409;
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
    this->runs[task] =
        this->MakeRun(task, run, spec, body.value("checkpoint", std::string()));
    this->Note(RunEventKind::kStart, task, run, is_late, spec);
  }
  reply.status = 200;
  reply.body = this->ClockBody("");
  return reply;
}

Reply CellWorker::Stop(const std::string& text, uint64_t number) {
  const Json body = Json::parse(text);
  const std::string task = body.at("task");
  const uint32_t run = body.at("run");
  const std::lock_guard<std::mutex> lock(this->mutex);
  Reply reply;
  if (!this->Admit(body.value("fencing_token", uint64_t{0}), number, reply)) {
    return reply;
  }
  this->over[task] = std::max(this->over[task], run);
  const auto found = this->runs.find(task);
  if (found != this->runs.end() && found->second.run <= run &&
      found->second.stop_ms == 0) {
    found->second.stop_ms = NowMs() + kStopMs;
    this->Note(RunEventKind::kStopping, task, found->second.run);
  }
  reply.body = this->ClockBody("");
  return reply;
}

int64_t CellWorker::PercentOf(const Run& run, int64_t now_ms) {
  constexpr int64_t kAll = 100;
  constexpr int64_t kStartupMs = 400;
  const int64_t worked_ms = std::max<int64_t>(now_ms - run.began_ms, 0);
  if (run.lasts) return worked_ms >= kStartupMs ? kAll : 0;
  if (run.work_ms == 0 || run.waits_since_ms > 0) return 0;
  return std::min<int64_t>(worked_ms * kAll / run.work_ms, kAll - 1);
}

void CellWorker::Acknowledge(const End& end) {
  const Plant plant = this->options.plant;
  const bool is_hidden =
      plant == Plant::kBudget && end.how == RunEventKind::kStopped;
  if (end.how == RunEventKind::kFailed || is_hidden) {
    this->Note(RunEventKind::kFailedAcknowledged, end.task, end.run);
  }
  if (end.how != RunEventKind::kDone) return;
  this->Note(RunEventKind::kDoneAcknowledged, end.task, end.run);
  if (plant != Plant::kTwice || end.number % 8 != 0) return;
  Run again;
  again.run = end.run + 1;
  again.began_ms = NowMs();
  this->runs[end.task] = again;
  this->Note(RunEventKind::kStart, end.task, again.run);
}

Reply CellWorker::Hold(const std::string& text, uint64_t number, bool is_late) {
  const Json body = Json::parse(text);
  uint64_t acked = body.value("ack_cursor", uint64_t{0});
  const int64_t deadline = body.value("deadline_ms", int64_t{0});
  const int64_t wait_ms = body.value("wait_ms", int64_t{0});
  std::unique_lock<std::mutex> lock(this->mutex);
  Reply reply;
  if (!this->Admit(body.value("fencing_token", uint64_t{0}), number, reply)) {
    return reply;
  }
  if (deadline > 0) this->Extend(deadline);
  const bool forgets = this->options.plant == Plant::kAcknowledged && acked > 0;
  if (forgets) acked = this->last_end;
  while (!this->ends.empty() && this->ends.front().number <= acked) {
    const End& end = this->ends.front();
    if (!end.lapsed && !end.listed) {
      this->Note(RunEventKind::kAcknowledgedUnseen, end.task, end.run);
    }
    if (!end.lapsed) this->Acknowledge(end);
    this->ends.pop_front();
  }
  this->changed.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
    return !this->ends.empty() || !this->up || this->life != number;
  });
  this->AwaitContinue(lock);
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
  // The answer to a late call goes nowhere, and none leaves a worker that is
  // cut off, even if the cut heals before the answer is written.
  const bool is_lost = is_late || this->cut != CutKind::kNone;
  reply.reset = is_lost;
  Json finished = Json::array();
  for (End& end : this->ends) {
    if (finished.size() >= kMaxEnds) break;
    if (!end.listed && !end.lapsed && !is_lost) {
      this->Note(RunEventKind::kListed, end.task, end.run);
    }
    end.listed = end.listed || !is_lost;
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
