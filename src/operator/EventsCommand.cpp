#include <cctype>
#include <cstdio>
#include <fstream>

#include "base/Hash.h"
#include "operator/Commands.h"
#include "operator/FetchEvents.h"
#include "operator/TextTable.h"

namespace dotterelcove {
namespace {

constexpr int64_t kMaxRows = 10'000'000;
constexpr int64_t kDefaultRows = 200;

bool WriteTrace(const std::string& file,
                const std::vector<TimeLineEvent>& events) {
  std::ofstream stream(file);
  stream << ToTrace(events).dump(-1, ' ', false,
                                 nlohmann::json::error_handler_t::replace)
         << "\n";
  stream.close();
  return stream.good();
}

/// Reads the filters from the options; returns what is wrong with them.
std::string ReadFilter(const CtlContext& context, const ParsedOptions& options,
                       EventSubject& filter) {
  if (options.Has("key") && options.Has("job")) {
    return "--key and --job exclude each other";
  }
  filter.job = options.Get("job");
  if (options.Has("key")) {
    filter.job = MakeJobId(context.caller, options.Get("key"));
  }
  filter.task = options.Get("task");
  filter.worker = options.Get("worker");
  int64_t epoch = 0;
  std::string error;
  ParseNumberOption(options, "epoch", 1, INT64_MAX, epoch, error);
  filter.epoch = static_cast<uint64_t>(epoch);
  return error;
}

}  // namespace

int RunEvents(CtlContext& context, const ParsedOptions& options) {
  EventSubject filter;
  std::string error = ReadFilter(context, options, filter);
  int64_t limit = kDefaultRows;
  if (error.empty()) {
    ParseNumberOption(options, "limit", 1, kMaxRows, limit, error);
  }
  if (!error.empty()) return ReportError(context, kExitBadCommandLine, error);
  FetchedEvents fetched = FetchEvents(context, filter);
  for (const std::string& url : fetched.missing) {
    context.err << "dotterelcovectl: no events from " << url
                << "; the time line is incomplete\n";
  }
  if (fetched.answered == 0) {
    return ReportError(context, kExitUnavailable, "no process reachable");
  }
  const std::string trace = options.Get("trace");
  if (!trace.empty() && !WriteTrace(trace, fetched.events)) {
    return ReportError(context, kExitFailed, trace + ": cannot be written");
  }
  auto& events = fetched.events;
  const size_t omitted =
      events.size() > static_cast<size_t>(limit) ? events.size() - limit : 0;
  events.erase(events.begin(),
               events.begin() + static_cast<std::ptrdiff_t>(omitted));
  if (context.json) {
    PrintJson(context, TimeLineToJson(events));
  } else {
    PrintEvents(context, events);
    if (omitted > 0) {
      context.err << omitted << " older events are left out; see --limit\n";
    }
  }
  return fetched.missing.empty() ? kExitOk : kExitFailed;
}

}  // namespace dotterelcove
