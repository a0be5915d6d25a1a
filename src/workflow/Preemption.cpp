#include "workflow/Preemption.h"

#include <algorithm>

namespace dotterelcove::workflow {
namespace {

/// Runs of this priority or a higher number may be stopped for urgent work.
constexpr int kPreemptiblePriority = 2;
/// A run with less remaining time than this is not stopped: it frees its
/// capacity sooner by itself.
constexpr TimeMs kNearlyDoneMs = 700;
/// Assumed age of the last checkpoint of a task that makes checkpoints.
constexpr TimeMs kCheckpointAgeMs = 250;

struct Option {
  const Worker* worker = nullptr;
  std::vector<Victim> victims;
  int64_t lost_work = 0;
};

int64_t LostWork(const PlacedRun& run, TimeMs now_ms) {
  const StepSpec& spec = SpecOf(run.task);
  const TimeMs lost_ms = spec.checkpoints
                             ? kCheckpointAgeMs
                             : now_ms - TaskOf(run.task).started_ms;
  return lost_ms * std::max<int64_t>(spec.size.milli_cores, 1);
}

bool MayStop(const PlacedRun& run) {
  const StepSpec& spec = SpecOf(run.task);
  const TaskState& task = TaskOf(run.task);
  if (run.stop_wanted || run.gang != 0 || spec.long_running) return false;
  if (run.task.job->spec.policy.priority < kPreemptiblePriority) return false;
  if (task.phase != TaskPhase::kRunning) return false;
  return spec.estimate_ms * (100 - task.percent) / 100 > kNearlyDoneMs;
}

/// Capacity that is free or will be freed by pending stops.
Resources FreeAfterStops(const Worker& worker) {
  Resources free = FreeOf(worker);
  for (const auto& [name, run] : worker.runs) {
    if (run.stop_wanted) free = free + run.size;
  }
  return free;
}

Option MakeOption(const Worker& worker, const PlacementNeed& need) {
  Option option;
  const Resources size = SizeOnWorker(*need.step);
  Resources free = FreeAfterStops(worker);
  std::vector<Victim> candidates;
  for (const auto& [name, run] : worker.runs) {
    if (!MayStop(run)) continue;
    candidates.push_back({worker.info.id, name, LostWork(run, need.now_ms)});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Victim& a, const Victim& b) {
              return a.lost_work < b.lost_work;
            });
  for (const Victim& victim : candidates) {
    if (Fits(size, free)) break;
    free = free + worker.runs.at(victim.task).size;
    option.victims.push_back(victim);
    option.lost_work += victim.lost_work;
  }
  if (Fits(size, free)) option.worker = &worker;
  return option;
}

}  // namespace

std::vector<Victim> ChooseVictims(const Fleet& fleet, const PlacementNeed& need,
                                  uint32_t tasks) {
  std::vector<Option> options;
  for (const auto& [id, worker] : fleet) {
    if (!IsUsable(worker, need.now_ms)) continue;
    if (!IsEligible(worker, *need.job, *need.step)) continue;
    if (need.job->policy.permits.required &&
        !HasTicket(*need.state, worker, need.now_ms)) {
      continue;
    }
    Option option = MakeOption(worker, need);
    if (option.worker != nullptr) options.push_back(std::move(option));
  }
  std::sort(options.begin(), options.end(),
            [](const Option& a, const Option& b) {
              return a.lost_work < b.lost_work;
            });
  std::vector<Victim> victims;
  for (size_t i = 0; i < options.size() && i < tasks; ++i) {
    victims.insert(victims.end(), options[i].victims.begin(),
                   options[i].victims.end());
  }
  return victims;
}

}  // namespace dotterelcove::workflow
