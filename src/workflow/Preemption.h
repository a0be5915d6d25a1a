/// Which runs make room for urgent tasks. Answers a burst of urgent work in a
/// full cell.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "workflow/Placement.h"

namespace dotterelcove::workflow {

struct Victim {
  std::string worker;
  std::string task;
  /// Core-milliseconds that the stop throws away.
  int64_t lost_work = 0;
};

/// Runs to stop so that `tasks` tasks of `need` find room, those that lose
/// least work first; room that is becoming free already counts.
std::vector<Victim> ChooseVictims(const Fleet& fleet, const PlacementNeed& need,
                                  uint32_t tasks);

}  // namespace dotterelcove::workflow
