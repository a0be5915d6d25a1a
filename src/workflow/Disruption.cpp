#include "workflow/Disruption.h"

#include <algorithm>
#include <map>

namespace dotterelcove::workflow {

bool IsServing(const TaskState& task) {
  constexpr int kReadyPercent = 100;
  return task.phase == TaskPhase::kRunning && task.percent >= kReadyPercent;
}

uint32_t CountUnavailable(const StepState& state) {
  return static_cast<uint32_t>(
      std::count_if(state.tasks.begin(), state.tasks.end(),
                    [](const TaskState& task) { return !IsServing(task); }));
}

bool MayInterrupt(const StepSpec& spec, const StepState& state) {
  if (!spec.long_running || spec.disruption_allowance == 0) return true;
  return CountUnavailable(state) < spec.disruption_allowance;
}

bool MayInterruptAll(const Worker& worker) {
  std::map<const StepState*, uint32_t> serving;
  std::map<const StepState*, uint32_t> allowed;
  for (const auto& [name, run] : worker.runs) {
    const StepSpec& spec = SpecOf(run.task);
    if (!spec.long_running || spec.disruption_allowance == 0) continue;
    const StepState* step = &StepOf(run.task);
    allowed[step] = spec.disruption_allowance;
    if (IsServing(TaskOf(run.task))) serving[step]++;
  }
  return std::all_of(serving.begin(), serving.end(), [&](const auto& entry) {
    return CountUnavailable(*entry.first) + entry.second <=
           allowed[entry.first];
  });
}

}  // namespace dotterelcove::workflow
