#include "operator/CtlContext.h"

#include <algorithm>
#include <utility>

#include "base/Clock.h"
#include "operator/TextTable.h"

namespace dotterelcove {
namespace {

constexpr int64_t kProgressDelayMs = 1'000;
constexpr int64_t kProgressIntervalMs = 200;
constexpr const char* kClearLine = "\r\033[K";

/// "is_owner" of /v1/state: true at the owner itself.
bool IsOwner(const ProcessView& process) {
  return process.is_scheduler && process.reached &&
         process.state.contains("is_owner") &&
         process.state["is_owner"].is_boolean() &&
         process.state["is_owner"].get<bool>();
}

uint64_t EpochOf(const ProcessView& process) {
  const auto found = process.state.find("owner_epoch");
  return found != process.state.end() && found->is_number_unsigned()
             ? found->get<uint64_t>()
             : 0;
}

}  // namespace

bool WaitWithProgress(CtlContext& context, const std::string& what,
                      const std::function<bool()>& done, int64_t limit_ms) {
  const TimeMs start = MonotonicMs();
  bool shown = false;
  bool finished = false;
  while (!finished) {
    const int64_t elapsed_ms = MonotonicMs() - start;
    if (elapsed_ms >= limit_ms) break;
    finished = context.loop.RunUntil(
        done, std::min(kProgressIntervalMs, limit_ms - elapsed_ms));
    if (finished || !context.show_progress || elapsed_ms < kProgressDelayMs) {
      continue;
    }
    context.err << kClearLine << what << ", " << elapsed_ms / 1'000 << " s"
                << std::flush;
    shown = true;
  }
  if (shown) context.err << kClearLine << std::flush;
  return finished;
}

std::vector<HttpResult> CallAll(CtlContext& context, const std::string& what,
                                std::vector<HttpCall> calls) {
  std::vector<HttpResult> results(calls.size());
  size_t pending = calls.size();
  int64_t limit_ms = 0;
  for (size_t i = 0; i < calls.size(); ++i) {
    limit_ms = std::max(limit_ms, calls[i].timeout_ms);
    context.http.Send(std::move(calls[i]), [&, i](HttpResult result) {
      results[i] = std::move(result);
      pending--;
    });
  }
  // The client itself ends each call at its timeout, so the callbacks, which
  // refer to this frame, have all run when this returns.
  while (pending > 0) {
    WaitWithProgress(
        context, what, [&] { return pending == 0; }, limit_ms);
  }
  return results;
}

HttpResult CallOne(CtlContext& context, const std::string& what,
                   HttpCall call) {
  return CallAll(context, what, {std::move(call)}).front();
}

nlohmann::json BodyOf(const HttpResult& result) {
  return nlohmann::json::parse(result.body, nullptr, false);
}

std::string TextOf(const nlohmann::json& object, const std::string& name) {
  if (!object.is_object()) return "";
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : "";
}

std::string ScalarOf(const nlohmann::json& object, const std::string& name) {
  if (!object.is_object()) return "";
  const auto found = object.find(name);
  if (found == object.end() || found->is_null()) return "";
  if (found->is_string()) return found->get<std::string>();
  return found->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::vector<ProcessView> FetchProcesses(CtlContext& context) {
  std::vector<ProcessView> processes;
  for (const std::string& url : context.cell.entries) {
    processes.push_back({url, false, false, "", {}});
  }
  for (const std::string& url : context.cell.schedulers) {
    processes.push_back({url, true, false, "", {}});
  }
  std::vector<HttpCall> calls;
  calls.reserve(processes.size());
  for (const ProcessView& process : processes) {
    HttpCall call;
    call.url = process.url + "/v1/state";
    call.timeout_ms = context.timeout_ms;
    calls.push_back(std::move(call));
  }
  const auto results =
      CallAll(context, "asking all processes", std::move(calls));
  for (size_t i = 0; i < processes.size(); ++i) {
    processes[i].state = BodyOf(results[i]);
    processes[i].reached =
        results[i].status == 200 && processes[i].state.is_object();
    if (processes[i].reached) continue;
    processes[i].detail =
        results[i].failure != HttpFailure::kNone
            ? std::string(NameOf(kHttpFailureNames, results[i].failure))
            : "status " + std::to_string(results[i].status);
  }
  return processes;
}

const ProcessView* FindOwner(const std::vector<ProcessView>& processes) {
  const ProcessView* owner = nullptr;
  for (const ProcessView& process : processes) {
    if (!IsOwner(process)) continue;
    // A paused owner that has not noticed its loss may still claim to be one.
    if (owner == nullptr || EpochOf(process) > EpochOf(*owner)) {
      owner = &process;
    }
  }
  return owner;
}

bool CallOwner(CtlContext& context, const std::string& what, HttpCall call,
               HttpResult& result) {
  const auto processes = FetchProcesses(context);
  const ProcessView* owner = FindOwner(processes);
  if (owner == nullptr) {
    ReportError(context, kExitUnavailable,
             "no scheduler of the cell is the owner now");
    return false;
  }
  call.url = owner->url + call.url;
  call.timeout_ms = context.timeout_ms;
  result = CallOne(context, what, std::move(call));
  return true;
}

int ReportError(CtlContext& context, ExitCode code, const std::string& message) {
  context.err << "dotterelcovectl: " << Printable(message) << "\n";
  return code;
}

int ReportCallError(CtlContext& context, const std::string& what,
                  const HttpResult& result) {
  if (result.failure != HttpFailure::kNone) {
    const std::string failure(NameOf(kHttpFailureNames, result.failure));
    const std::string detail =
        result.detail.empty() ? "" : " (" + result.detail + ")";
    return ReportError(context,
                    result.failure == HttpFailure::kNotSent ? kExitUnavailable
                                                            : kExitUnknown,
                    what + ": " + failure + detail);
  }
  const auto body = BodyOf(result);
  std::string message = TextOf(body, "error");
  if (message.empty()) message = TextOf(body, "reason");
  if (message.empty()) message = "status " + std::to_string(result.status);
  ExitCode code = kExitFailed;
  if (result.status == 503 || result.status == 429 || result.status == 421) {
    code = kExitUnavailable;
  }
  if (result.status == 409) code = kExitConflict;
  return ReportError(context, code, what + ": " + message);
}

void PrintJson(CtlContext& context, const nlohmann::json& value) {
  context.out << value.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace)
              << "\n";
}

}  // namespace dotterelcove
