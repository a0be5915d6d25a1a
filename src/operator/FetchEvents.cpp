#include "operator/FetchEvents.h"

#include <cctype>
#include <cstdio>

#include "operator/TextTable.h"

namespace dotterelcove {
namespace {

std::string MakeQuery(const EventSubject& filter) {
  std::string query;
  const auto add = [&](const char* name, const std::string& value) {
    if (value.empty()) return;
    query += query.empty() ? '?' : '&';
    query += name;
    query += '=';
    query += EscapeQuery(value);
  };
  add("job", filter.job);
  add("task", filter.task);
  add("worker", filter.worker);
  add("epoch", filter.epoch == 0 ? "" : std::to_string(filter.epoch));
  return query;
}

}  // namespace

std::string EscapeQuery(const std::string& value) {
  std::string text;
  for (const unsigned char byte : value) {
    if (std::isalnum(byte) || byte == '-' || byte == '.' || byte == '_') {
      text += static_cast<char>(byte);
      continue;
    }
    char escaped[4];
    std::snprintf(escaped, sizeof(escaped), "%%%02X", byte);
    text += escaped;
  }
  return text;
}

FetchedEvents FetchEvents(CtlContext& context, const EventSubject& filter) {
  std::vector<std::string> urls = context.cell.entries;
  urls.insert(urls.end(), context.cell.schedulers.begin(),
              context.cell.schedulers.end());
  std::vector<HttpCall> calls;
  calls.reserve(urls.size());
  for (const std::string& url : urls) {
    HttpCall call;
    call.url = url + "/v1/events" + MakeQuery(filter);
    call.timeout_ms = context.timeout_ms;
    calls.push_back(std::move(call));
  }
  const auto results = CallAll(context, "reading events", std::move(calls));
  FetchedEvents fetched;
  for (size_t i = 0; i < urls.size(); ++i) {
    const bool read = results[i].status == 200 &&
                      AddEvents(BodyOf(results[i]), fetched.events);
    if (read) {
      fetched.answered++;
    } else {
      fetched.missing.push_back(urls[i]);
    }
  }
  SortEvents(fetched.events);
  return fetched;
}

void PrintEvents(CtlContext& context,
                 const std::vector<TimeLineEvent>& events) {
  TextTable table;
  table.heading = {"TIME",   "PROCESS", "EVENT", "JOB OR TASK",
                   "WORKER", "EPOCH",   "DETAIL"};
  for (const TimeLineEvent& event : events) {
    table.rows.push_back(
        {FormatWallTime(event.time), event.process, event.name,
         event.task.empty() ? event.job : event.task, event.worker,
         event.epoch == 0 ? "" : std::to_string(event.epoch), event.detail});
  }
  PrintTable(table, context.out);
}

nlohmann::json TimeLineToJson(const std::vector<TimeLineEvent>& events) {
  nlohmann::json rows = nlohmann::json::array();
  for (const TimeLineEvent& event : events) {
    char time[17];
    std::snprintf(time, sizeof(time), "%016llx",
                  static_cast<unsigned long long>(event.time));
    rows.push_back({{"time", time},
                    {"wall_ms", WallMsOf(event.time)},
                    {"process", event.process},
                    {"zone", event.zone},
                    {"event", event.name},
                    {"job", event.job},
                    {"task", event.task},
                    {"worker", event.worker},
                    {"epoch", event.epoch},
                    {"detail", event.detail}});
  }
  return rows;
}

}  // namespace dotterelcove
