/// The event timeline of one process: a bounded ring buffer of events with
/// hybrid logical times. The operator's command merges the timelines of all
/// processes.
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

/// One event. Empty fields are omitted from the output.
struct Event {
  HybridTime time = 0;
  std::string name;
  std::string job;
  std::string task;
  std::string worker;
  uint64_t epoch = 0;
  std::string detail;
};

/// The entities an event refers to. Also used as a filter, in which an empty or
/// zero field matches every event.
struct EventSubject {
  std::string job;
  std::string task;
  std::string worker;
  uint64_t epoch = 0;
};

class EventRing {
 public:
  /// Keeps the newest `capacity` events. `wall_ms` returns the wall time;
  /// tests pass a skewed clock.
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

/// Returns the JSON array of events that is served under /v1/events: "time" is
/// the hybrid time as 16 hexadecimal digits (many parsers would lose the lower
/// bits of a JSON number), "wall_ms" its wall-time part, then process, zone,
/// event and the non-empty subject fields.
std::string EventsToJson(const std::vector<Event>& events,
                         std::string_view process, std::string_view zone);

}  // namespace dotterelcove
