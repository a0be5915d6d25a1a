#include <algorithm>

#include "base/Hash.h"
#include "operator/Commands.h"
#include "operator/FetchEvents.h"
#include "operator/TextTable.h"

namespace dotterelcove {
namespace {

using Json = nlohmann::json;

constexpr size_t kJobIdDigits = 32;

bool IsJobId(const std::string& text) {
  return text.size() == kJobIdDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::string ValueText(const Json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (!value.is_array()) {
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
  }
  std::string text;
  for (const Json& item : value) {
    text += (text.empty() ? "" : ", ") + ValueText(item);
  }
  return text;
}

void PrintExplanation(CtlContext& context, const Json& explanation) {
  // What was asked for comes first, whatever the order of the answer.
  const std::vector<std::string> first = {"state", "reason", "workers"};
  TextTable table;
  table.heading = {"FIELD", "VALUE"};
  for (const std::string& name : first) {
    if (!explanation.contains(name)) continue;
    table.rows.push_back({name, ValueText(explanation[name])});
  }
  for (const auto& [name, value] : explanation.items()) {
    if (std::find(first.begin(), first.end(), name) != first.end()) continue;
    table.rows.push_back({name, ValueText(value)});
  }
  PrintTable(table, context.out);
}

}  // namespace

int RunExplain(CtlContext& context, const ParsedOptions& options) {
  const std::string& name = options.operands.front();
  const std::string job =
      IsJobId(name) ? name : MakeJobId(context.caller, name);
  HttpCall call;
  call.url = "/v1/jobs/" + job;
  HttpResult result;
  if (!CallOwner(context, "explaining " + name, call, result)) {
    return kExitUnavailable;
  }
  // Moves, preemptions and the ends of routed or refused requests are in the
  // past, which only the events tell.
  EventSubject filter;
  filter.job = job;
  const FetchedEvents fetched = FetchEvents(context, filter);
  Json explanation = BodyOf(result);
  const bool only_events = result.status == 404 && !fetched.events.empty();
  if (only_events) {
    explanation = {{"state", "not held by the owner"},
                   {"reason", "routed, refused, or ended long ago"}};
  } else if (result.status != 200) {
    const std::string what =
        IsJobId(name) ? "job " + name
                      : "key " + name + " of caller " + context.caller;
    return ReportCallError(context, what, result);
  }
  if (!explanation.is_object()) {
    return ReportError(context, kExitFailed, "the owner's answer is no object");
  }
  if (context.json) {
    PrintJson(context, {{"job", job},
                        {"explanation", explanation},
                        {"events", TimeLineToJson(fetched.events)}});
    return kExitOk;
  }
  PrintExplanation(context, explanation);
  if (fetched.events.empty()) return kExitOk;
  context.out << "\n";
  PrintEvents(context, fetched.events);
  return kExitOk;
}

}  // namespace dotterelcove
