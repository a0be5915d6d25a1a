#pragma once

#include <string>
#include <vector>

#include "operator/CtlContext.h"
#include "operator/TimeLine.h"
#include "telemetry/Events.h"

namespace dotterelcove {

/// Events of all processes that answered, in hybrid time order.
struct FetchedEvents {
  std::vector<TimeLineEvent> events;
  size_t answered = 0;
  /// Base URLs of the processes that gave none.
  std::vector<std::string> missing;
};

FetchedEvents FetchEvents(CtlContext& context, const EventSubject& filter);

/// A table for people, and an array for scripts.
void PrintEvents(CtlContext& context, const std::vector<TimeLineEvent>& events);
nlohmann::json TimeLineToJson(const std::vector<TimeLineEvent>& events);

/// Escapes a value for the query part of a URL.
std::string EscapeQuery(const std::string& value);

}  // namespace dotterelcove
