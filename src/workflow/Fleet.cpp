#include "workflow/Fleet.h"

#include <algorithm>
#include <utility>

namespace dotterelcove::workflow {
namespace {

int64_t FillerLoad(const PlacedRun& run) {
  const StepSpec& spec = SpecOf(run.task);
  return spec.filler ? spec.size.milli_cores : 0;
}

/// Adds the run to what its account has running, `count` times.
void CountForAccount(const PlacedRun& run, int64_t count) {
  accounts::AccountUsage* usage = run.task.job->usage;
  if (usage == nullptr) return;
  const StepSpec& spec = SpecOf(run.task);
  const Resources change{spec.size.milli_cores * count,
                         spec.size.memory_mb * count,
                         spec.size.accelerators * count};
  usage->running = usage->running + change;
  if (spec.long_running) usage->long_running = usage->long_running + change;
}

template <class Steps>
auto FindStep(Steps& steps, const StepState& step) {
  return std::find_if(steps.begin(), steps.end(), [&](const StepRuns& entry) {
    return entry.step == &step;
  });
}

void AddToStep(Worker& worker, const StepSpec& spec, const StepState& step) {
  if (spec.max_per_worker == 0) return;
  const auto found = FindStep(worker.limited_steps, step);
  if (found == worker.limited_steps.end()) {
    worker.limited_steps.push_back({&step, 1});
  } else {
    found->runs++;
  }
}

void RemoveFromStep(Worker& worker, const StepSpec& spec,
                    const StepState& step) {
  if (spec.max_per_worker == 0) return;
  const auto found = FindStep(worker.limited_steps, step);
  if (found == worker.limited_steps.end()) return;
  if (--found->runs == 0) worker.limited_steps.erase(found);
}

}  // namespace

Worker& AddWorker(Fleet& fleet, const std::string& id) {
  const auto [found, is_new] = fleet.workers.try_emplace(id);
  Worker& worker = found->second;
  if (!is_new) return worker;
  worker.slot = static_cast<uint32_t>(fleet.by_slot.size());
  fleet.by_slot.push_back(&worker);
  return worker;
}

Worker* FindWorker(Fleet& fleet, const std::string& id) {
  const auto found = fleet.workers.find(id);
  return found == fleet.workers.end() ? nullptr : &found->second;
}

const Worker* FindWorker(const Fleet& fleet, const std::string& id) {
  const auto found = fleet.workers.find(id);
  return found == fleet.workers.end() ? nullptr : &found->second;
}

void RemoveWorker(Fleet& fleet, const std::string& id) {
  const auto found = fleet.workers.find(id);
  if (found == fleet.workers.end()) return;
  fleet.by_slot[found->second.slot] = nullptr;
  fleet.workers.erase(found);
}

uint32_t HeldRunsOfStep(const Worker& worker, const StepState& step) {
  const auto found = FindStep(worker.limited_steps, step);
  return found == worker.limited_steps.end() ? 0 : found->runs;
}

uint32_t CountRunsOfStep(const Worker& worker, const TaskRef& task) {
  uint32_t count = HeldRunsOfStep(worker, StepOf(task));
  const std::string prefix =
      MakeStepName(*task.job, task.occurrence, task.step) + ".";
  for (auto it = worker.orphans.lower_bound(prefix);
       it != worker.orphans.end() && it->first.starts_with(prefix); ++it) {
    ++count;
  }
  return count;
}

bool HasUnconfirmedStart(const Worker& worker) {
  return std::any_of(worker.runs.begin(), worker.runs.end(),
                     [](const auto& entry) { return !entry.second.confirmed; });
}

bool IsFormerIncarnation(const Worker& worker, uint64_t incarnation) {
  const std::vector<uint64_t>& former = worker.former_incarnations;
  return std::find(former.begin(), former.end(), incarnation) != former.end();
}

void ReplaceIncarnation(Worker& worker, uint64_t incarnation) {
  // Entries of earlier ones are gone from the list by then.
  constexpr size_t kMostKept = 8;
  std::vector<uint64_t>& former = worker.former_incarnations;
  std::erase(former, incarnation);
  former.push_back(worker.info.incarnation);
  if (former.size() > kMostKept) former.erase(former.begin());
  worker.info.incarnation = incarnation;
}

bool IsUsable(const Worker& worker, TimeMs now_ms) {
  return worker.listed && !worker.entry_outdated && worker.synced &&
         worker.reachable && !worker.overdue && worker.recorded &&
         !worker.info.draining && !worker.maintenance_planned &&
         worker.orphans.empty() && now_ms >= worker.health.quarantined_until_ms;
}

bool HaveAllSurvivedStart(const Worker& worker) {
  return std::all_of(
      worker.runs.begin(), worker.runs.end(), [&](const auto& entry) {
        return worker.heard_ms - entry.second.placed_ms >= kProbationMs;
      });
}

Resources SizeOnWorker(const StepSpec& step) {
  Resources size = step.size;
  if (step.filler) size.milli_cores = 0;
  return size;
}

void ReserveFor(Worker& worker, const StepSpec& spec, const StepState& step) {
  worker.used = worker.used + SizeOnWorker(spec);
  AddToStep(worker, spec, step);
}

void ReleaseFor(Worker& worker, const StepSpec& spec, const StepState& step) {
  worker.used = worker.used - SizeOnWorker(spec);
  RemoveFromStep(worker, spec, step);
}

void AddRun(Worker& worker, const std::string& name, PlacedRun run) {
  RemoveRun(worker, name);
  worker.used = worker.used + run.size;
  AddToStep(worker, SpecOf(run.task), StepOf(run.task));
  worker.filler_milli_cores += FillerLoad(run);
  CountForAccount(run, 1);
  run.task.job->placed.push_back({&worker, name});
  worker.run_changes++;
  worker.runs[name] = run;
}

void RemoveRun(Worker& worker, const std::string& name) {
  const auto found = worker.runs.find(name);
  if (found == worker.runs.end()) return;
  worker.used = worker.used - found->second.size;
  const TaskRef& task = found->second.task;
  RemoveFromStep(worker, SpecOf(task), StepOf(task));
  worker.filler_milli_cores -= FillerLoad(found->second);
  CountForAccount(found->second, -1);
  std::erase_if(found->second.task.job->placed, [&](const RunLocation& at) {
    return at.worker == &worker && at.task == name;
  });
  worker.runs.erase(found);
  worker.run_changes++;
  worker.room_gains++;
}

}  // namespace dotterelcove::workflow
