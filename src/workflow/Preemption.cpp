#include "workflow/Preemption.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace dotterelcove::workflow {
namespace {

/// Runs of this priority or a higher number may be stopped for urgent work.
constexpr int kPreemptiblePriority = 2;
/// A run with less remaining time than this is not stopped: it frees its
/// capacity sooner by itself.
constexpr TimeMs kNearlyDoneMs = 700;
/// Assumed age of the last checkpoint of a task that makes checkpoints.
constexpr TimeMs kCheckpointAgeMs = 250;

/// A run that may be stopped.
struct Stoppable {
  const std::string* task = nullptr;
  const PlacedRun* run = nullptr;
  int64_t lost_work = 0;
};

/// A worker on which one more task fits once `stopped` have ended.
struct Option {
  const Worker* worker = nullptr;
  std::vector<Stoppable> stopped;
  int64_t lost_work = 0;
};

int64_t LostWork(const PlacedRun& run, TimeMs now_ms) {
  const StepSpec& spec = SpecOf(run.task);
  const TimeMs lost_ms = spec.checkpoints
                             ? kCheckpointAgeMs
                             : now_ms - TaskOf(run.task).started_ms;
  return lost_ms * std::max<int64_t>(spec.size.milli_cores, 1);
}

bool MayStop(const Worker& worker, const PlacedRun& run) {
  const StepSpec& spec = SpecOf(run.task);
  const TaskState& task = TaskOf(run.task);
  if (run.stop_wanted || run.gang != 0 || spec.long_running) return false;
  if (run.task.job->spec.policy.priority < kPreemptiblePriority) return false;
  if (task.phase != TaskPhase::kRunning) return false;
  return ExpectedMsOn(worker, run.task) * (100 - task.percent) / 100 >
         kNearlyDoneMs;
}

/// Capacity that is free or will be freed by pending stops.
Resources FreeAfterStops(const Worker& worker) {
  Resources free = FreeOf(worker);
  for (const auto& [name, run] : worker.runs) {
    if (run.stop_wanted) free = free + run.size;
  }
  return free;
}

/// The least work that must be stopped for one task, nothing if it does not fit
/// even then.
std::optional<Option> MakeOption(const Worker& worker,
                                 const PlacementNeed& need) {
  if (IsOnProbation(worker, need.now_ms)) return std::nullopt;
  // Stops of other work make no place within the limit.
  if (PlacesWithinLimit(worker, need) == 0) return std::nullopt;
  Option option;
  option.worker = &worker;
  const Resources size = SizeOnWorker(*need.step);
  Resources free = FreeAfterStops(worker);
  if (Fits(size, free)) return option;
  std::vector<Stoppable> candidates;
  for (const auto& [name, run] : worker.runs) {
    if (!MayStop(worker, run)) continue;
    candidates.push_back({&name, &run, LostWork(run, need.now_ms)});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Stoppable& a, const Stoppable& b) {
              return a.lost_work < b.lost_work;
            });
  for (const Stoppable& candidate : candidates) {
    if (Fits(size, free)) break;
    free = free + candidate.run->size;
    option.stopped.push_back(candidate);
    option.lost_work += candidate.lost_work;
  }
  if (!Fits(size, free)) return std::nullopt;
  return option;
}

}  // namespace

std::vector<Victim> ChooseVictims(const Candidates& candidates,
                                  const PlacementNeed& need, uint32_t tasks) {
  std::vector<Option> options;
  for (const Worker* worker : candidates) {
    auto option = MakeOption(*worker, need);
    if (option) options.push_back(std::move(*option));
  }
  std::stable_sort(options.begin(), options.end(),
                   [](const Option& a, const Option& b) {
                     return a.lost_work < b.lost_work;
                   });
  std::vector<Victim> victims;
  for (size_t i = 0; i < options.size() && i < tasks; ++i) {
    for (const Stoppable& run : options[i].stopped) {
      victims.push_back({options[i].worker->info.id, *run.task, run.lost_work});
    }
  }
  return victims;
}

bool HasRoomAfterStops(const Candidates& candidates,
                       const PlacementNeed& need) {
  const Resources size = SizeOnWorker(*need.step);
  return std::any_of(candidates.begin(), candidates.end(),
                     [&](const Worker* worker) {
                       return !IsOnProbation(*worker, need.now_ms) &&
                              PlacesWithinLimit(*worker, need) > 0 &&
                              Fits(size, FreeAfterStops(*worker));
                     });
}

Resources FreeAfterPreemption(const Worker& worker) {
  Resources free = FreeAfterStops(worker);
  for (const auto& [name, run] : worker.runs) {
    if (MayStop(worker, run)) free = free + run.size;
  }
  return free;
}

}  // namespace dotterelcove::workflow
