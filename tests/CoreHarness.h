/// Drives a cell in tests: models the tasks on the workers and checks the
/// invariants that every command must keep.
#pragma once

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/Core.h"

namespace dotterelcove::core {

/// A task on a worker.
struct HeldTask {
  TaskRef ref;
  std::string worker;
  Resources size;
};

/// A cell with a model of its workers, updated by the commands of the core.
struct CoreHarness {
  CellPtr cell;
  TimeMs now = 1'000;
  std::vector<WorkerSpec> workers;
  /// Tasks on workers by job and member; a second start of a member is an
  /// error.
  std::map<std::pair<std::string, uint32_t>, HeldTask> held;
  /// Allocated capacity by worker.
  std::map<std::string, Resources> used;
  /// Job ends by job.
  std::map<std::string, Command> ended;
  /// Commands of the last tick.
  std::vector<Command> last;
};

inline CoreHarness MakeHarness(int workers, Resources capacity,
                               CoreOptions options = {}, int per_rack = 4,
                               int zones = 3) {
  CoreHarness harness;
  harness.cell = MakeCell(options);
  for (int i = 0; i < workers; ++i) {
    const int rack = i / per_rack;
    WorkerSpec spec{"w" + std::to_string(i), "z" + std::to_string(rack % zones),
                    "r" + std::to_string(rack), capacity};
    AddWorker(*harness.cell, spec);
    SetWorkerState(*harness.cell, spec.id, WorkerState::kUsable, harness.now);
    harness.workers.push_back(spec);
  }
  return harness;
}

inline JobSpec MakeJob(const std::string& id, RequestClass request_class,
                       Resources size, uint32_t tasks = 1) {
  JobSpec spec;
  spec.id = id;
  spec.team = "team";
  spec.workload = "service/kind";
  spec.request_class = request_class;
  spec.size = size;
  spec.tasks = tasks;
  spec.duration_ms = 10'000;
  return spec;
}

inline void ApplyStart(CoreHarness& harness, const Command& command) {
  const auto key = std::make_pair(command.task.job, command.task.member);
  cr_assert(!harness.held.contains(key), "%s/%u started twice",
            command.task.job.c_str(), command.task.member);
  cr_assert(!harness.ended.contains(command.task.job),
            "%s started after its end", command.task.job.c_str());
  harness.held[key] = {command.task, command.worker, command.size};
  Resources& used = harness.used[command.worker];
  used = used + command.size;
  for (const WorkerSpec& spec : harness.workers) {
    if (spec.id != command.worker) continue;
    cr_assert(Fits(used, spec.capacity), "%s is over its capacity",
              spec.id.c_str());
  }
}

/// Runs one tick at `harness.now` and applies starts and job ends.
inline void RunTick(CoreHarness& harness) {
  harness.last.clear();
  Tick(*harness.cell, harness.now, harness.last);
  for (const Command& command : harness.last) {
    if (command.kind == CommandKind::kStart) {
      ApplyStart(harness, command);
    } else if (command.kind == CommandKind::kJobEnded) {
      cr_assert(!harness.ended.contains(command.task.job));
      harness.ended[command.task.job] = command;
    }
  }
}

/// Ends the task of a member on its worker, and reports it to the core unless
/// `silent`.
inline void End(CoreHarness& harness, const std::string& job, uint32_t member,
                TaskEnd end, bool silent = false) {
  const auto found = harness.held.find({job, member});
  cr_assert(found != harness.held.end(), "%s/%u is not held", job.c_str(),
            member);
  const HeldTask task = found->second;
  harness.held.erase(found);
  harness.used[task.worker] = harness.used[task.worker] - task.size;
  if (!silent) TaskEnded(*harness.cell, task.ref, end, harness.now);
}

inline int CountCommands(const CoreHarness& harness, CommandKind kind) {
  int count = 0;
  for (const Command& command : harness.last) count += command.kind == kind;
  return count;
}

/// Lets the lease of a worker expire; its tasks end without a report.
inline void LoseWorker(CoreHarness& harness, const std::string& worker) {
  std::vector<std::pair<std::string, uint32_t>> gone;
  for (const auto& [key, task] : harness.held) {
    if (task.worker == worker) gone.push_back(key);
  }
  for (const auto& [job, member] : gone) {
    End(harness, job, member, TaskEnd::kLost, true);
  }
  SetWorkerState(*harness.cell, worker, WorkerState::kLost, harness.now);
}

}  // namespace dotterelcove::core
