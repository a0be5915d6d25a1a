/// One stand-in worker: its lease, tasks and answers, without network I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "border/worker/WorkerClient.h"
#include "loop/EventLoop.h"
#include "standins/WorkerJournal.h"

namespace dotterelcove::standins {

struct WorkerModelOptions {
  std::string id;
  Resources capacity;
  /// Speed-up factor: task durations are divided by it.
  double speed = 1.0;
  /// Run time of a task whose payload gives none.
  int64_t default_run_ms = 100;
  int64_t checkpoint_ms = 20;
  /// Age of the usage figures that a sync returns.
  int64_t usage_delay_ms = 2'000;
};

/// Answer of the model: a status with either a body or the highest token.
struct WorkerAnswer {
  WorkerStatus status = WorkerStatus::kOk;
  std::string body;
  RefusalBody refusal;
};

class WorkerModel {
 public:
  WorkerModel(EventLoop& loop, WorkerModelOptions options,
              WorkerJournal& journal);
  WorkerModel(const WorkerModel&) = delete;
  WorkerModel& operator=(const WorkerModel&) = delete;

  WorkerAnswer Fence(const FenceRequest& request);
  WorkerAnswer Start(const StartRequest& request);
  WorkerAnswer Control(const ControlRequest& request);
  /// Long poll: answers at once if ended tasks are unreported, otherwise when a
  /// task ends or the wait time of the request is over.
  void Sync(const SyncRequest& request,
            std::function<void(WorkerAnswer)> answer);

  /// Every task that runs or starts fails (a broken VM).
  void SetFailAll(bool on);
  /// Every start is refused.
  void SetRefuseAll(bool on);
  /// While frozen no task makes progress and nothing is answered; the lease
  /// keeps running.
  void SetFrozen(bool on);
  /// Simulates a crash of the VM: its tasks end and its state is lost.
  void Crash();

  size_t running() const { return this->tasks.size(); }

 private:
  struct RunningTask {
    WorkerTask task;
    uint64_t epoch = 0;
    TimeMs started_ms = 0;
    /// Run time left when `resumed_ms` was taken; negative for unbounded.
    int64_t remaining_ms = 0;
    TimeMs resumed_ms = 0;
    bool throttled = false;
    bool checkpointing = false;
    bool fails = false;
    std::string result;
    std::unique_ptr<Timer> timer;
  };
  struct PendingSync {
    SyncRequest request;
    std::function<void(WorkerAnswer)> answer;
  };

  WorkerAnswer Refuse(WorkerStatus status, std::string reason);
  void RenewLease(int64_t lease_ms);
  void OnLeaseEnd();
  void Run(RunningTask& running);
  void PauseTimer(RunningTask& running);
  void EndTask(const std::string& id, WorkerTaskEnd end, std::string message);
  void AnswerSync();
  std::vector<TaskUsage> Usage() const;
  Resources Used() const;

  EventLoop& loop;
  WorkerModelOptions options;
  WorkerJournal& journal;
  uint64_t incarnation;
  FenceToken highest;
  TimeMs lease_end_ms = 0;
  Timer lease_timer;
  Timer sync_timer;
  std::map<std::string, RunningTask> tasks;
  std::set<std::string> started_ids;
  std::deque<EndedTask> ended;
  uint64_t next_sequence = 1;
  std::unique_ptr<PendingSync> pending_sync;
  bool fail_all = false;
  bool refuse_all = false;
  bool frozen = false;
};

}  // namespace dotterelcove::standins
