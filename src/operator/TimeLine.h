/// The time line of a cell: the events of all processes in hybrid time order.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/HybridClock.h"

namespace dotterelcove {

/// One event as a process served it under /v1/events.
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

/// Adds the events of one process's answer. Rows that are no events are left
/// out; returns false when the answer is no array.
bool AddEvents(const nlohmann::json& answer,
               std::vector<TimeLineEvent>& events);

/// Orders events by hybrid time, so that an event never stands before one that
/// caused it, whatever the clocks of the VMs show.
void SortEvents(std::vector<TimeLineEvent>& events);

/// The Trace Event format: an instant for each event, a span for each task from
/// its start to its end, one track for each process.
nlohmann::json ToTrace(const std::vector<TimeLineEvent>& events);

/// "2026-01-31 04:05:06.789" (UTC).
std::string FormatWallTime(HybridTime time);

}  // namespace dotterelcove
