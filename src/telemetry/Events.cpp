#include "telemetry/Events.h"

#include <cassert>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterelcove {
namespace {

bool Matches(const EventSubject& filter, const Event& event) {
  return (filter.job.empty() || filter.job == event.job) &&
         (filter.task.empty() || filter.task == event.task) &&
         (filter.worker.empty() || filter.worker == event.worker) &&
         (filter.epoch == 0 || filter.epoch == event.epoch);
}

}  // namespace

EventRing::EventRing(HybridClock& clock, size_t capacity,
                     std::function<int64_t()> wall_ms)
    : clock(clock), capacity(capacity), wall_ms(std::move(wall_ms)) {
  assert(capacity > 0);
}

void EventRing::Add(std::string_view name, EventSubject subject,
                    std::string detail) {
  if (this->events.size() == this->capacity) this->events.pop_front();
  this->events.push_back(
      Event{Advance(this->clock, this->wall_ms()), std::string(name),
            std::move(subject.job), std::move(subject.task),
            std::move(subject.worker), subject.epoch, std::move(detail)});
}

std::vector<Event> EventRing::Find(const EventSubject& filter) const {
  std::vector<Event> found;
  for (const Event& event : this->events) {
    if (Matches(filter, event)) found.push_back(event);
  }
  return found;
}

std::string EventsToJson(const std::vector<Event>& events,
                         std::string_view process, std::string_view zone) {
  nlohmann::ordered_json array = nlohmann::ordered_json::array();
  for (const Event& event : events) {
    char time[17];
    std::snprintf(time, sizeof(time), "%016llx",
                  static_cast<unsigned long long>(event.time));
    nlohmann::ordered_json row;
    row["time"] = time;
    row["wall_ms"] = WallMsOf(event.time);
    row["process"] = process;
    row["zone"] = zone;
    row["event"] = event.name;
    if (!event.job.empty()) row["job"] = event.job;
    if (!event.task.empty()) row["task"] = event.task;
    if (!event.worker.empty()) row["worker"] = event.worker;
    if (event.epoch != 0) row["epoch"] = event.epoch;
    if (!event.detail.empty()) row["detail"] = event.detail;
    array.push_back(std::move(row));
  }
  return array.dump(-1, ' ', false,
                    nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace dotterelcove
