/// The time line of one process: a bounded ring of events with hybrid logical
/// times, merged over all processes by the operator's command.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Clock.h"
#include "base/HybridClock.h"

namespace dotterelcove {

/// One event. Empty subjects are left out of the output.
struct Event {
  HybridTime time = 0;
  std::string name;
  std::string job;
  std::string task;
  std::string worker;
  uint64_t epoch = 0;
  std::string detail;
};

/// What an event is about; used as a filter too, where empty matches all.
struct EventSubject {
  std::string job;
  std::string task;
  std::string worker;
  uint64_t epoch = 0;
};

class EventRing {
 public:
  /// Keeps the newest `capacity` events. `wall_ms` gives the wall time; tests
  /// pass a skewed one.
  EventRing(HybridClock& clock, size_t capacity,
            std::function<int64_t()> wall_ms = WallMs);
  void Add(std::string_view name, EventSubject subject,
           std::string detail = {});
  /// Events that match every non-empty field of `filter`, oldest first.
  std::vector<Event> Find(const EventSubject& filter) const;

 private:
  HybridClock& clock;
  size_t capacity;
  std::function<int64_t()> wall_ms;
  std::deque<Event> events;
};

/// JSON array of events, as served under /v1/events: "time" is the hybrid time
/// as 16 hexadecimal digits (a JSON number would lose its lower bits in many
/// readers), "wall_ms" its wall-time part, then process, zone, event and the
/// non-empty subjects.
std::string EventsToJson(const std::vector<Event>& events,
                         std::string_view process, std::string_view zone);

}  // namespace dotterelcove
