#include "base/Clock.h"
#include "operator/Commands.h"

namespace dotterelcove {
namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxWaitS = 86'400;
constexpr int64_t kMsPerSecond = 1'000;
/// Between two looks at what is being drained.
constexpr int64_t kPollIntervalMs = 250;

/// Looks again and again until `drained`; returns false after `wait_ms`.
bool PollUntil(CtlContext& context, const std::string& what,
               const std::function<bool()>& drained, int64_t wait_ms) {
  int64_t waited_ms = 0;
  while (!drained()) {
    if (waited_ms >= wait_ms) return false;
    WaitWithProgress(
        context, what, [] { return false; }, kPollIntervalMs);
    waited_ms += kPollIntervalMs;
  }
  return true;
}

bool HasExited(CtlContext& context, const std::string& url) {
  HttpCall call;
  call.url = url + "/healthz";
  call.timeout_ms = context.timeout_ms;
  return CallOne(context, "waiting", call).failure == HttpFailure::kNotSent;
}

/// The owner's rows under a path such as "/v1/workers"; false without an owner.
bool FetchRows(CtlContext& context, const std::string& name, Json& rows) {
  HttpCall call;
  call.url = "/v1/" + name;
  HttpResult result;
  if (!CallOwner(context, "waiting", call, result)) return false;
  const Json body = BodyOf(result);
  if (!body.is_object() || !body.contains(name)) return false;
  rows = body[name];
  return rows.is_array();
}

/// Whether the owner sees no work on a VM. One that it no longer lists has
/// left.
bool IsIdle(CtlContext& context, const std::string& vm) {
  Json workers;
  Json endpoints;
  if (!FetchRows(context, "workers", workers) ||
      !FetchRows(context, "endpoints", endpoints)) {
    return false;
  }
  for (const Json& row : workers) {
    if (TextOf(row, "id") == vm) return ScalarOf(row, "tasks") == "0";
  }
  for (const Json& row : endpoints) {
    if (TextOf(row, "id") == vm) return ScalarOf(row, "slots_in_use") == "0";
  }
  return true;
}

int Report(CtlContext& context, const std::string& name, const char* kind,
           bool drained) {
  if (context.json) {
    PrintJson(context, {{"name", name}, {"kind", kind}, {"drained", drained}});
  } else {
    context.out << kind << " " << name
                << (drained ? " has drained\n" : " is draining\n");
  }
  return kExitOk;
}

int DrainProcess(CtlContext& context, const std::string& name,
                 const std::string& url, int64_t wait_ms) {
  HttpCall call;
  call.method = "POST";
  call.url = url + "/v1/drain";
  call.timeout_ms = context.timeout_ms;
  const HttpResult result = CallOne(context, "draining " + name, call);
  if (result.failure != HttpFailure::kNone || result.status >= 300) {
    return ReportCallError(context, "draining " + name, result);
  }
  if (wait_ms == 0) return Report(context, name, "process", false);
  if (!PollUntil(
          context, "waiting for " + name, [&] { return HasExited(context, url); },
          wait_ms)) {
    return ReportError(context, kExitUnknown, name + " is still draining");
  }
  return Report(context, name, "process", true);
}

int DrainVm(CtlContext& context, const std::string& name, int64_t wait_ms) {
  HttpCall call;
  call.method = "POST";
  call.url = "/v1/drain";
  call.body = Json({{"vm", name}}).dump();
  HttpResult result;
  if (!CallOwner(context, "draining " + name, call, result)) {
    return kExitUnavailable;
  }
  if (result.failure != HttpFailure::kNone || result.status >= 300) {
    return ReportCallError(context, "draining " + name, result);
  }
  if (wait_ms == 0) return Report(context, name, "vm", false);
  if (!PollUntil(
          context, "waiting for " + name, [&] { return IsIdle(context, name); },
          wait_ms)) {
    return ReportError(context, kExitUnknown, name + " is still draining");
  }
  return Report(context, name, "vm", true);
}

}  // namespace

int RunDrain(CtlContext& context, const ParsedOptions& options) {
  const std::string& name = options.operands.front();
  int64_t wait_s = 0;
  std::string error;
  if (!ParseNumberOption(options, "wait-s", 0, kMaxWaitS, wait_s, error)) {
    return ReportError(context, kExitBadCommandLine, error);
  }
  const int64_t wait_ms = wait_s * kMsPerSecond;
  for (const ProcessView& process : FetchProcesses(context)) {
    if (TextOf(process.state, "process") != name) continue;
    return DrainProcess(context, name, process.url, wait_ms);
  }
  return DrainVm(context, name, wait_ms);
}

}  // namespace dotterelcove
