#include "standins/WorkerModel.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/Clock.h"
#include "base/Random.h"

namespace dotterelcove::standins {
namespace {

// A throttled task makes a quarter of the progress.
constexpr int64_t kThrottleFactor = 4;

struct TaskPlan {
  int64_t run_ms = 0;
  bool fails = false;
  std::string result = "ok";
};

// Payloads without the fields of the stand-in run with the defaults.
TaskPlan ReadPlan(const std::string& payload, int64_t default_run_ms) {
  TaskPlan plan;
  plan.run_ms = default_run_ms;
  const auto json = nlohmann::json::parse(payload, nullptr, false);
  if (!json.is_object()) return plan;
  if (json.contains("run_ms") && json["run_ms"].is_number_integer()) {
    plan.run_ms = json["run_ms"].get<int64_t>();
  }
  if (json.contains("fail") && json["fail"].is_boolean()) {
    plan.fails = json["fail"].get<bool>();
  }
  if (json.contains("result") && json["result"].is_string()) {
    plan.result = json["result"].get<std::string>();
  }
  if (json.contains("result_bytes") &&
      json["result_bytes"].is_number_unsigned()) {
    plan.result = std::string(json["result_bytes"].get<size_t>(), 'x');
  }
  return plan;
}

uint64_t NewIncarnation() {
  Random random = MakeSystemRandom();
  return static_cast<uint64_t>(UniformInt(random, 1, INT64_MAX));
}

}  // namespace

WorkerModel::WorkerModel(EventLoop& loop, WorkerModelOptions options,
                         WorkerJournal& journal)
    : loop(loop),
      options(std::move(options)),
      journal(journal),
      incarnation(NewIncarnation()),
      lease_timer(loop, [this] { this->OnLeaseEnd(); }),
      sync_timer(loop, [this] { this->AnswerSync(); }) {}

WorkerAnswer WorkerModel::Refuse(WorkerStatus status, std::string reason) {
  WorkerAnswer answer;
  answer.status = status;
  answer.refusal = {std::move(reason), this->highest};
  return answer;
}

WorkerAnswer WorkerModel::Fence(const FenceRequest& request) {
  if (request.token < this->highest) {
    return this->Refuse(WorkerStatus::kStaleToken, "stale token");
  }
  if (request.token.epoch > this->highest.epoch &&
      this->pending_sync != nullptr) {
    this->highest = request.token;
    this->pending_sync->answer(
        this->Refuse(WorkerStatus::kStaleToken, "stale token"));
    this->pending_sync.reset();
  }
  this->highest = request.token;
  this->journal.Add(this->options.id, JournalEvent::kFenced, {},
                    request.token.epoch);
  FenceReply reply;
  reply.incarnation = this->incarnation;
  const TimeMs now = MonotonicMs();
  for (const auto& [id, running] : this->tasks) {
    reply.held.push_back({running.task, now - running.started_ms});
  }
  reply.ended.assign(this->ended.begin(), this->ended.end());
  WorkerAnswer answer;
  answer.body = ToJson(reply);
  return answer;
}

WorkerAnswer WorkerModel::Start(const StartRequest& request) {
  const WorkerTask& task = request.task;
  const auto refuse = [&](JournalEvent event, WorkerStatus status,
                          const char* reason) {
    this->journal.Add(this->options.id, event, task, request.token.epoch,
                      reason);
    return this->Refuse(status, reason);
  };
  if (request.token != this->highest) {
    return refuse(JournalEvent::kStaleToken, WorkerStatus::kStaleToken,
                  "stale token");
  }
  if (this->started_ids.contains(task.id)) {
    return refuse(JournalEvent::kDuplicate, WorkerStatus::kDuplicate,
                  "task is known");
  }
  if (this->refuse_all) {
    return refuse(JournalEvent::kRefused, WorkerStatus::kRefused,
                  "refusing all starts");
  }
  if (MonotonicMs() >= this->lease_end_ms) {
    return refuse(JournalEvent::kRefused, WorkerStatus::kRefused,
                  "lease expired");
  }
  if (!Fits(task.size, this->options.capacity - this->Used())) {
    return refuse(JournalEvent::kNoCapacity, WorkerStatus::kNoCapacity,
                  "no capacity");
  }
  const TaskPlan plan = ReadPlan(request.payload, this->options.default_run_ms);
  this->started_ids.insert(task.id);
  RunningTask& running = this->tasks[task.id];
  running.task = task;
  running.epoch = request.token.epoch;
  running.started_ms = MonotonicMs();
  running.fails = plan.fails;
  running.result = plan.result;
  running.remaining_ms =
      plan.run_ms < 0 ? -1
                      : static_cast<int64_t>(static_cast<double>(plan.run_ms) /
                                             this->options.speed);
  running.timer = std::make_unique<Timer>(this->loop, [this, id = task.id] {
    const RunningTask& task = this->tasks.at(id);
    if (task.checkpointing) {
      this->EndTask(id, WorkerTaskEnd::kCheckpointed, "");
      return;
    }
    const bool fails = task.fails || this->fail_all;
    this->EndTask(id,
                  fails ? WorkerTaskEnd::kFailed : WorkerTaskEnd::kSucceeded,
                  fails ? "task failed" : "");
  });
  this->journal.Add(this->options.id, JournalEvent::kStarted, task,
                    request.token.epoch);
  if (this->fail_all) running.remaining_ms = 0;
  this->Run(running);
  return {};
}

void WorkerModel::Run(RunningTask& running) {
  running.resumed_ms = MonotonicMs();
  if (running.remaining_ms < 0 || this->frozen) return;
  running.timer->StartAfter(running.remaining_ms *
                            (running.throttled ? kThrottleFactor : 1));
}

void WorkerModel::PauseTimer(RunningTask& running) {
  running.timer->Cancel();
  if (running.remaining_ms < 0) return;
  int64_t progress = MonotonicMs() - running.resumed_ms;
  if (running.throttled) progress /= kThrottleFactor;
  running.remaining_ms = std::max<int64_t>(0, running.remaining_ms - progress);
}

WorkerAnswer WorkerModel::Control(const ControlRequest& request) {
  if (request.token.epoch < this->highest.epoch) {
    return this->Refuse(WorkerStatus::kStaleToken, "stale token");
  }
  const auto found = this->tasks.find(request.task);
  if (found == this->tasks.end()) {
    return this->Refuse(WorkerStatus::kRefused, "no such task");
  }
  RunningTask& running = found->second;
  switch (request.action) {
    case ControlAction::kStop:
      this->EndTask(request.task, WorkerTaskEnd::kStopped, "");
      break;
    case ControlAction::kCheckpoint:
      if (running.checkpointing) break;
      this->PauseTimer(running);
      running.checkpointing = true;
      running.throttled = false;
      running.remaining_ms = this->options.checkpoint_ms;
      this->Run(running);
      break;
    case ControlAction::kThrottle:
    case ControlAction::kResume: {
      const bool throttle = request.action == ControlAction::kThrottle;
      if (running.throttled == throttle || running.checkpointing) break;
      this->PauseTimer(running);
      running.throttled = throttle;
      this->journal.Add(
          this->options.id,
          throttle ? JournalEvent::kThrottled : JournalEvent::kResumed,
          running.task, request.token.epoch);
      this->Run(running);
      break;
    }
  }
  return {};
}

void WorkerModel::Sync(const SyncRequest& request,
                       std::function<void(WorkerAnswer)> answer) {
  if (request.token.epoch < this->highest.epoch) {
    answer(this->Refuse(WorkerStatus::kStaleToken, "stale token"));
    return;
  }
  if (request.renew) this->RenewLease(request.lease_ms);
  while (!this->ended.empty() &&
         this->ended.front().sequence <= request.acknowledged) {
    this->ended.pop_front();
  }
  // Only the newest sync is kept pending; an earlier one is answered at once.
  if (this->pending_sync != nullptr) this->AnswerSync();
  this->pending_sync =
      std::make_unique<PendingSync>(PendingSync{request, std::move(answer)});
  const bool has_new_ends =
      !this->ended.empty() && this->ended.back().sequence > request.received;
  if (has_new_ends || request.wait_ms <= 0) {
    this->AnswerSync();
    return;
  }
  this->sync_timer.StartAfter(request.wait_ms);
}

void WorkerModel::AnswerSync() {
  if (this->pending_sync == nullptr || this->frozen) return;
  this->sync_timer.Cancel();
  const std::unique_ptr<PendingSync> sync = std::move(this->pending_sync);
  SyncReply reply;
  reply.incarnation = this->incarnation;
  reply.usage = this->Usage();
  for (const EndedTask& task : this->ended) {
    if (task.sequence > sync->request.received) reply.ended.push_back(task);
  }
  WorkerAnswer answer;
  answer.body = ToJson(reply);
  sync->answer(std::move(answer));
}

std::vector<TaskUsage> WorkerModel::Usage() const {
  std::vector<TaskUsage> usage;
  const TimeMs now = MonotonicMs();
  for (const auto& [id, running] : this->tasks) {
    if (now - running.started_ms < this->options.usage_delay_ms) continue;
    usage.push_back({id, running.task.size});
  }
  return usage;
}

Resources WorkerModel::Used() const {
  Resources used;
  for (const auto& [id, running] : this->tasks) used = used + running.task.size;
  return used;
}

void WorkerModel::EndTask(const std::string& id, WorkerTaskEnd end,
                          std::string message) {
  const auto found = this->tasks.find(id);
  // The timer may be the caller and hold `id`, so it is destroyed at the end
  // of this function.
  RunningTask running = std::move(found->second);
  this->tasks.erase(found);
  this->journal.Add(this->options.id, JournalEvent::kEnded, running.task,
                    running.epoch,
                    std::string(NameOf(kWorkerTaskEndNames, end)));
  EndedTask ended;
  ended.sequence = this->next_sequence++;
  ended.task = running.task;
  ended.end = end;
  if (end == WorkerTaskEnd::kSucceeded) ended.result = running.result;
  ended.message = std::move(message);
  this->ended.push_back(std::move(ended));
  this->AnswerSync();
}

void WorkerModel::RenewLease(int64_t lease_ms) {
  this->lease_end_ms = MonotonicMs() + lease_ms;
  this->lease_timer.StartAfter(lease_ms);
}

void WorkerModel::OnLeaseEnd() {
  while (!this->tasks.empty()) {
    this->EndTask(this->tasks.begin()->first, WorkerTaskEnd::kLeaseExpired,
                  "lease expired");
  }
}

void WorkerModel::SetFailAll(bool on) {
  this->fail_all = on;
  if (!on) return;
  for (auto& [id, running] : this->tasks) {
    running.remaining_ms = 0;
    this->Run(running);
  }
}

void WorkerModel::SetRefuseAll(bool on) { this->refuse_all = on; }

void WorkerModel::SetFrozen(bool on) {
  if (this->frozen == on) return;
  this->frozen = on;
  if (on) {
    for (auto& [id, running] : this->tasks) this->PauseTimer(running);
    this->sync_timer.Cancel();
    return;
  }
  // The lease timer keeps running while frozen: frozen tasks make no progress,
  // and a VM that resumes after its lease has expired checks the lease first.
  // So its tasks end, and are journaled, when the lease expires.
  for (auto& [id, running] : this->tasks) this->Run(running);
  if (this->pending_sync != nullptr) this->sync_timer.StartAfter(0);
}

void WorkerModel::Crash() {
  for (auto& [id, running] : this->tasks) {
    this->journal.Add(this->options.id, JournalEvent::kEnded, running.task,
                      running.epoch, "died");
  }
  this->tasks.clear();
  this->ended.clear();
  this->started_ids.clear();
  this->highest = {};
  this->lease_end_ms = 0;
  this->lease_timer.Cancel();
  this->sync_timer.Cancel();
  this->pending_sync.reset();
  this->next_sequence = 1;
  this->incarnation = NewIncarnation();
}

}  // namespace dotterelcove::standins
