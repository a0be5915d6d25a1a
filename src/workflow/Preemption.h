/// Choice of the runs to preempt for urgent tasks. Designed for a burst of
/// urgent work in a full cell.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "workflow/Placement.h"

namespace dotterelcove::workflow {

struct Victim {
  std::string worker;
  std::string task;
  /// Work lost by the stop, in millicore-milliseconds.
  int64_t lost_work = 0;
};

/// Runs to stop so that `tasks` tasks of `need` fit, those that lose the least
/// work first. Capacity that is being freed by earlier stops counts as free.
std::vector<Victim> ChooseVictims(const Candidates& candidates,
                                  const PlacementNeed& need, uint32_t tasks);

/// Whether a task of `need` fits on one of the candidates once the runs that
/// are being stopped have ended.
bool HasRoomAfterStops(const Candidates& candidates, const PlacementNeed& need);

/// The capacity of the worker that is free once all runs have ended that are
/// being stopped or may be stopped for urgent work.
Resources FreeAfterPreemption(const Worker& worker);

}  // namespace dotterelcove::workflow
