/// The timeline of a cell: the events of all processes ordered by hybrid time.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/HybridClock.h"

namespace dotterelcove {

/// One event as served by a process under /v1/events.
struct TimeLineEvent {
  HybridTime time = 0;
  std::string process;
  std::string zone;
  std::string name;
  std::string job;
  std::string task;
  std::string worker;
  uint64_t epoch = 0;
  std::string detail;
};

/// Adds the events of one process's answer. Rows without a valid time are
/// skipped; returns false when the answer is not an array.
bool AddEvents(const nlohmann::json& answer,
               std::vector<TimeLineEvent>& events);

/// Sorts events by hybrid time, so that an event never precedes one that caused
/// it, even when the wall clocks of the VMs disagree.
void SortEvents(std::vector<TimeLineEvent>& events);

/// Converts events to the Trace Event format: one instant event per event, one
/// span per task from its start to its end, one track per process.
nlohmann::json ToTrace(const std::vector<TimeLineEvent>& events);

/// "2026-01-31 04:05:06.789" (UTC).
std::string FormatWallTime(HybridTime time);

}  // namespace dotterelcove
