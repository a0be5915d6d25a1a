#pragma once

#include <string>
#include <vector>

#include "operator/CtlContext.h"
#include "operator/TimeLine.h"
#include "telemetry/Events.h"

namespace dotterelcove {

/// Events of all processes that answered, ordered by hybrid time.
struct FetchedEvents {
  std::vector<TimeLineEvent> events;
  size_t answered = 0;
  /// Base URLs of the processes that gave no valid answer.
  std::vector<std::string> missing;
};

FetchedEvents FetchEvents(CtlContext& context, const EventSubject& filter);

/// Prints the events as a table.
void PrintEvents(CtlContext& context, const std::vector<TimeLineEvent>& events);
/// The events as a JSON array, for scripts.
nlohmann::json TimeLineToJson(const std::vector<TimeLineEvent>& events);

/// Percent-encodes a value for the query part of a URL.
std::string EscapeQuery(const std::string& value);

}  // namespace dotterelcove
