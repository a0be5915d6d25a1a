/// Where tasks go. Pure functions over the fleet; answers workers of unlike
/// sizes that stand 80 to 90 % full.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "workflow/Fleet.h"

namespace dotterelcove::workflow {

/// A worker that is this much slower than the average one gets urgent work
/// only when no other has room.
inline constexpr double kSlowWorker = 2.0;

/// What limits the workers for one task.
struct PlacementNeed {
  const JobSpec* job = nullptr;
  const StepSpec* step = nullptr;
  const StepState* state = nullptr;
  /// Workers that are not to be used for this task.
  const std::set<std::string>* avoid = nullptr;
  /// Tasks of the step on each worker.
  const std::map<std::string, uint32_t>* on_worker = nullptr;
  /// Capacity to leave free on each worker, as a share of it.
  double reserve = 0;
  /// Only this rack, empty for any.
  std::string rack;
  TimeMs now_ms = 0;
};

/// Whether the worker may run the step at all, whatever its room.
bool IsEligible(const Worker& worker, const JobSpec& job, const StepSpec& step);

/// Whether the step's ticket for the worker can be used now.
bool HasTicket(const StepState& state, const Worker& worker, TimeMs now_ms);

/// Whether one more task fits now.
bool HasRoom(const Worker& worker, const PlacementNeed& need);

/// The best worker for one task, or nullptr.
Worker* ChooseWorker(Fleet& fleet, const PlacementNeed& need);

/// Workers for `count` tasks that have to start together, one entry a task, or
/// nothing when they do not all fit. With `same_rack` all are on one rack.
std::optional<std::vector<Worker*>> ChooseGang(Fleet& fleet,
                                               const PlacementNeed& need,
                                               uint32_t count);

}  // namespace dotterelcove::workflow
