#include "bench/Baseline.h"

#include <list>
#include <memory>
#include <unordered_map>

namespace dotterelcove::bench {
namespace {

using core::Command;
using core::CommandKind;
using core::TaskEnd;

struct BaselineJob {
  core::JobSpec spec;
  uint32_t unfinished_tasks = 0;
  std::vector<size_t> workers;
};

/// State of one FCFS scheduler.
struct FcfsCell {
  std::vector<core::WorkerSpec> workers;
  std::vector<Resources> free;
  FitRule rule = FitRule::kFirstFit;
  HeadOfLine head_of_line = HeadOfLine::kBlocks;
  std::list<BaselineJob*> queue;
  std::unordered_map<std::string, BaselineJob> jobs;
  /// Commands to return from the next tick.
  std::vector<Command> pending;
  /// Set by arrivals and task ends; without them a tick has nothing to place.
  bool changed = false;
};

/// Returns the index of the worker chosen by the fit rule, or the number of
/// workers if none has room.
size_t FindWorker(const FcfsCell& cell, const Resources& size) {
  size_t best = cell.free.size();
  for (size_t i = 0; i < cell.free.size(); ++i) {
    if (!Fits(size, cell.free[i])) continue;
    if (cell.rule == FitRule::kFirstFit) return i;
    if (best == cell.free.size() ||
        cell.free[i].milli_cores < cell.free[best].milli_cores) {
      best = i;
    }
  }
  return best;
}

/// Places all tasks of a job and appends their start commands, or places none
/// and returns false.
bool PlaceJob(FcfsCell& cell, BaselineJob& job,
              std::vector<Command>& commands) {
  std::vector<size_t> chosen;
  for (uint32_t i = 0; i < job.spec.tasks; ++i) {
    const size_t worker = FindWorker(cell, job.spec.size);
    if (worker == cell.free.size()) {
      for (const size_t taken : chosen) {
        cell.free[taken] = cell.free[taken] + job.spec.size;
      }
      return false;
    }
    cell.free[worker] = cell.free[worker] - job.spec.size;
    chosen.push_back(worker);
  }
  for (uint32_t i = 0; i < job.spec.tasks; ++i) {
    Command command;
    command.task = {job.spec.id, i, 1};
    command.worker = cell.workers[chosen[i]].id;
    command.size = job.spec.size;
    commands.push_back(std::move(command));
  }
  job.workers = std::move(chosen);
  return true;
}

void Tick(FcfsCell& cell, std::vector<Command>& commands) {
  for (Command& command : cell.pending) commands.push_back(std::move(command));
  cell.pending.clear();
  if (!cell.changed) return;
  cell.changed = false;
  // Sizes of single-task jobs that did not fit. Jobs of at least such a size
  // are not tried again in this tick.
  std::vector<Resources> failed;
  for (auto next = cell.queue.begin(); next != cell.queue.end();) {
    BaselineJob& job = **next;
    bool known_not_to_fit = false;
    for (const Resources& size : failed) {
      known_not_to_fit = known_not_to_fit || Fits(size, job.spec.size);
    }
    if (!known_not_to_fit && PlaceJob(cell, job, commands)) {
      next = cell.queue.erase(next);
      continue;
    }
    if (cell.head_of_line == HeadOfLine::kBlocks) return;
    if (!known_not_to_fit && job.spec.tasks == 1)
      failed.push_back(job.spec.size);
    ++next;
  }
}

void EndTask(FcfsCell& cell, const core::TaskRef& task) {
  BaselineJob& job = cell.jobs.at(task.job);
  Resources& free = cell.free[job.workers[task.member]];
  free = free + job.spec.size;
  cell.changed = true;
  if (--job.unfinished_tasks > 0) return;
  Command command;
  command.kind = CommandKind::kJobEnded;
  command.task.job = task.job;
  cell.pending.push_back(std::move(command));
  cell.jobs.erase(task.job);
}

}  // namespace

Scheduler MakeFcfsScheduler(const std::vector<core::WorkerSpec>& workers,
                            FitRule rule, HeadOfLine head_of_line) {
  const auto cell = std::make_shared<FcfsCell>();
  cell->workers = workers;
  cell->rule = rule;
  cell->head_of_line = head_of_line;
  for (const auto& worker : workers) cell->free.push_back(worker.capacity);
  Scheduler scheduler;
  scheduler.submit = [cell](const core::JobSpec& spec, TimeMs) {
    cell->jobs[spec.id] = {spec, spec.tasks, {}};
    cell->queue.push_back(&cell->jobs[spec.id]);
    cell->changed = true;
    return core::SubmitDecision{};
  };
  scheduler.ended = [cell](const core::TaskRef& task, TaskEnd, TimeMs) {
    EndTask(*cell, task);
  };
  scheduler.usage = [](const core::TaskRef&, const Resources&, TimeMs) {};
  scheduler.set_worker = [](const std::string&, core::WorkerState, TimeMs) {};
  scheduler.tick = [cell](TimeMs, std::vector<Command>& commands) {
    Tick(*cell, commands);
  };
  return scheduler;
}

}  // namespace dotterelcove::bench
