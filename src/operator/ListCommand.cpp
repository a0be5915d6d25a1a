#include <algorithm>

#include "operator/Commands.h"
#include "operator/FetchEvents.h"
#include "operator/NearestName.h"
#include "operator/TextTable.h"

namespace dotterelcove {
namespace {

using Json = nlohmann::json;

constexpr int64_t kDefaultRows = 100;
constexpr int64_t kMaxRows = 1'000'000;
/// Rows in one answer; a page must stay small beside the owner's other work.
constexpr int64_t kPageRows = 500;

/// What the scheduler daemon calls the stages of a job.
const std::vector<std::string>& JobStates() {
  static const std::vector<std::string> states = {
      "recording", "held", "waiting", "running", "partly_running", "ending"};
  return states;
}

void PrintJobs(CtlContext& context, const Json& jobs) {
  TextTable table;
  table.heading = {"JOB", "KEY", "CALLER", "KIND", "CLASS", "STATE", "REASON"};
  for (const Json& job : jobs) {
    const std::string service = TextOf(job, "service");
    const std::string id = TextOf(job, "job");
    table.rows.push_back({id.empty() ? TextOf(job, "id") : id,
                          TextOf(job, "key"), TextOf(job, "caller"),
                          service.empty() ? TextOf(job, "kind")
                                          : service + "/" + TextOf(job, "kind"),
                          TextOf(job, "class"), TextOf(job, "state"),
                          TextOf(job, "reason")});
  }
  PrintTable(table, context.out);
}

}  // namespace

int RunList(CtlContext& context, const ParsedOptions& options) {
  int64_t limit = kDefaultRows;
  std::string error;
  if (!ParseNumberOption(options, "limit", 1, kMaxRows, limit, error)) {
    return ReportError(context, kExitBadCommandLine, error);
  }
  const std::string state = options.Get("state");
  const auto& states = JobStates();
  if (!state.empty() &&
      std::find(states.begin(), states.end(), state) == states.end()) {
    return ReportError(context, kExitBadCommandLine,
                    DescribeUnknown("state", state, states));
  }
  Json jobs = Json::array();
  std::string after;
  bool more = true;
  while (more && static_cast<int64_t>(jobs.size()) < limit) {
    const int64_t rows =
        std::min(kPageRows, limit - static_cast<int64_t>(jobs.size()));
    HttpCall call;
    call.url = "/v1/jobs?limit=" + std::to_string(rows);
    if (!after.empty()) call.url += "&after=" + EscapeQuery(after);
    if (!state.empty()) call.url += "&state=" + state;
    HttpResult result;
    if (!CallOwner(context, "listing jobs", call, result)) {
      return kExitUnavailable;
    }
    if (result.status != 200) {
      return ReportCallError(context, "listing jobs", result);
    }
    const Json body = BodyOf(result);
    if (!body.is_object() || !body.contains("jobs") ||
        !body["jobs"].is_array()) {
      return ReportError(context, kExitFailed, "the owner's answer has no jobs");
    }
    jobs.insert(jobs.end(), body["jobs"].begin(), body["jobs"].end());
    after = TextOf(body, "next");
    more = !after.empty() && !body["jobs"].empty();
  }
  if (context.json) {
    PrintJson(context, jobs);
    return kExitOk;
  }
  PrintJobs(context, jobs);
  if (more) context.err << "there are more jobs; see --limit\n";
  return kExitOk;
}

}  // namespace dotterelcove
