/// The time line of one process: a bounded ring of events with hybrid logical
/// times, merged over all processes by the operator's command.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "base/HybridClock.h"
#include "telemetry/Log.h"

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
  /// Keeps the newest `capacity` events.
  EventRing(HybridClock& clock, size_t capacity);
  void Add(std::string_view name, EventSubject subject,
           std::string detail = {});
  /// Events that match every non-empty field of `filter`, oldest first.
  std::vector<Event> Find(const EventSubject& filter) const;

 private:
  HybridClock& clock;
  size_t capacity;
  std::deque<Event> events;
};

/// JSON array of events, as served under /v1/events.
std::string EventsToJson(const std::vector<Event>& events,
                         std::string_view process, std::string_view zone);

}  // namespace dotterelcove
