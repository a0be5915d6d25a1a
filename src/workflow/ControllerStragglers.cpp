// Moves tasks off workers that have turned slow.
#include <algorithm>

#include "telemetry/Log.h"
#include "workflow/ControllerParts.h"
#include "workflow/Straggler.h"

namespace dotterelcove::workflow {
namespace {

/// Moves of one task: where all are slow, another one gains nothing.
constexpr size_t kMaxMoves = 2;

RunProgress ProgressOf(const Controller& c, const PlacedRun& run) {
  const TaskState& task = TaskOf(run.task);
  return {c.runtime.now() - task.started_ms, task.percent};
}

/// Away from its data a task takes several times as long on a sound worker.
bool IsNearData(const Worker& worker, const StepSpec& spec) {
  return spec.data_rack.empty() || spec.data_rack == worker.info.rack;
}

bool IsJudged(const Worker& worker, const PlacedRun& run) {
  return run.confirmed && !run.stop_wanted && run.gang == 0 &&
         IsNearData(worker, SpecOf(run.task));
}

}  // namespace

void MoveStragglers(Controller& c, Worker& worker) {
  std::vector<double> estimates;
  for (const auto& [name, run] : worker.runs) {
    if (!IsJudged(worker, run)) continue;
    const double slowness =
        EstimateSlowness(SpecOf(run.task), ProgressOf(c, run));
    if (slowness > 0) estimates.push_back(slowness);
  }
  const double shared = SharedSlowness(estimates);
  if (shared <= kSlowWorker) return;
  worker.record.slowness = std::max(worker.record.slowness, shared);
  std::vector<std::string> names;
  for (const auto& [name, run] : worker.runs) {
    if (!IsJudged(worker, run)) continue;
    if (TaskOf(run.task).avoid.size() >= kMaxMoves) continue;
    if (!IsWorthMoving(SpecOf(run.task), ProgressOf(c, run))) continue;
    if (HasBetterPlace(c, run.task, worker)) names.push_back(name);
  }
  for (const std::string& name : names) {
    const TaskRef task = worker.runs.at(name).task;
    Log(LogLevel::kInfo, "straggler_moved",
        {F("task", name), F("run", TaskOf(task).run),
         F("worker", worker.info.id), F("percent", TaskOf(task).percent),
         F("estimate_ms", SpecOf(task).estimate_ms),
         F("shared_slowness", shared)});
    AvoidWorker(c, TaskOf(task), worker.info.id);
    StopRun(c, worker, name, "slow_worker");
  }
}

}  // namespace dotterelcove::workflow
