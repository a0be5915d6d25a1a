/// Placement of tasks on workers, as pure functions over the fleet. Designed
/// for workers of different sizes that are 80 to 90 % full, and for bursts in
/// which hundreds of steps wait: the cost of a step depends on the workers that
/// may run it, not on the fleet.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "workflow/Fleet.h"

namespace dotterelcove::workflow {

/// A worker whose slowness exceeds this gets work only if no other worker has
/// room.
inline constexpr double kSlowWorker = 2.0;

/// How fast a step has to run. Designed for workers of kinds that differ in
/// speed: a step that meets its objective on the fast ones only goes there, and
/// any other leaves them free.
struct SpeedNeed {
  /// Run time to expect on a typical worker; 0 if the kind does not matter.
  TimeMs expected_ms = 0;
  /// Time left to run in.
  TimeMs left_ms = 0;
  /// Range of the candidates' `kind_factor`.
  double fastest = 1;
  double slowest = 1;
};

/// Constraints on the worker for one task.
struct PlacementNeed {
  const JobSpec* job = nullptr;
  const StepSpec* step = nullptr;
  const StepState* state = nullptr;
  /// Workers to exclude for this task; may be null.
  const std::set<std::string>* avoid = nullptr;
  /// Fraction of each worker's processors to leave free. It does not apply to
  /// tasks that need more than the rest of an idle worker.
  double reserve = 0;
  TimeMs now_ms = 0;
  SpeedNeed speed;
};

/// Whether the worker may run the step at all, regardless of free capacity.
bool IsEligible(const Worker& worker, const JobSpec& job, const StepSpec& step);

/// Whether the step has a usable ticket for the worker.
bool HasTicket(const StepState& state, const Worker& worker, TimeMs now_ms);

/// How many more of the step's tasks its limit per worker allows on the worker;
/// its count without a limit.
uint32_t PlacesWithinLimit(const Worker& worker, const PlacementNeed& need);

/// Whether one more task fits now.
bool HasRoom(const Worker& worker, const PlacementNeed& need);

using Candidates = std::vector<Worker*>;

/// The workers that may run the step's tasks, regardless of free capacity: they
/// are usable and eligible and, if the queue requires permits, there is a
/// usable ticket for them.
Candidates FindCandidates(Fleet& fleet, const PlacementNeed& need);

/// The speed needed by a step whose order key has `latest_start_ms`. The kind
/// of worker does not matter if the candidates are all of the same speed or the
/// job has lost its value anyway.
SpeedNeed MakeSpeedNeed(const Candidates& candidates, const Job& job,
                        uint32_t step, TimeMs latest_start_ms, TimeMs now_ms);

/// Processors, in thousandths, that can be occupied until the fraction `use` of
/// those of the service's listed workers is; negative if it is exceeded.
int64_t CoresBelowUse(const Fleet& fleet, const std::string& service,
                      double use);

/// The best of the candidates for one task, or nullptr if none is suitable.
Worker* ChooseWorker(const Candidates& candidates, const PlacementNeed& need);

/// The candidate on which the least work would be lost if it crashed, or
/// nullptr if none is suitable.
Worker* ChooseLeastAtRisk(const Candidates& candidates,
                          const PlacementNeed& need);

struct PlannedTask {
  uint32_t index = 0;
  Worker* worker = nullptr;
};

/// Where the waiting tasks of one step go.
struct StepPlan {
  std::vector<PlannedTask> placed;
  /// Number of tasks for which there is no room.
  uint32_t unplaced = 0;
};

/// Plans the waiting tasks of a step, given by their indices. Reserves nothing.
StepPlan PlanStep(const Candidates& candidates, PlacementNeed need,
                  const std::vector<uint32_t>& waiting);

/// Workers for `count` tasks that have to start together, one entry per task,
/// or nothing if they do not all fit. If the step requires `same_rack`, all are
/// on one rack.
std::optional<std::vector<Worker*>> ChooseGang(const Candidates& candidates,
                                               const PlacementNeed& need,
                                               uint32_t count);

}  // namespace dotterelcove::workflow
