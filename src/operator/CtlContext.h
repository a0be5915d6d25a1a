/// State shared by all subcommands of dotterelcovectl, and helpers for calls to
/// the processes of the cell.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "http/HttpClient.h"
#include "loop/EventLoop.h"
#include "operator/CellFile.h"
#include "operator/ExitCode.h"

namespace dotterelcove {

struct CtlContext {
  EventLoop& loop;
  HttpClient& http;
  std::ostream& out;
  std::ostream& err;
  CellFile cell = {};
  std::string caller = {};
  /// Print JSON for scripts instead of tables.
  bool json = false;
  /// Show a progress line during long operations; set when standard error is a
  /// terminal.
  bool show_progress = false;
  /// Timeout of one call.
  int64_t timeout_ms = 5'000;
};

/// Runs the loop until `done` returns true, and shows the progress line
/// "what, N s" after the first second. Returns false after `limit_ms`.
bool WaitWithProgress(CtlContext& context, const std::string& what,
                      const std::function<bool()>& done, int64_t limit_ms);

/// Sends all calls concurrently and waits until each has an answer or has
/// failed.
std::vector<HttpResult> CallAll(CtlContext& context, const std::string& what,
                                std::vector<HttpCall> calls);
HttpResult CallOne(CtlContext& context, const std::string& what, HttpCall call);

/// The parsed body of an answer; a discarded value when it is not JSON.
nlohmann::json BodyOf(const HttpResult& result);

/// The string member `name` of an object, or an empty string.
std::string TextOf(const nlohmann::json& object, const std::string& name);
/// The member `name` as text: a string as it is, any other value as JSON; empty
/// when it is absent or null.
std::string ScalarOf(const nlohmann::json& object, const std::string& name);

/// The state of one process, as served under /v1/state.
struct ProcessView {
  std::string url;
  bool is_scheduler = false;
  bool reached = false;
  /// Reason why the process was not reached.
  std::string detail;
  nlohmann::json state;
};

/// Reads /v1/state of all processes of the cell.
std::vector<ProcessView> FetchProcesses(CtlContext& context);
/// The scheduler that claims ownership with the highest epoch, or nullptr.
const ProcessView* FindOwner(const std::vector<ProcessView>& processes);

/// Sends a call to the owner. Without an owner prints an error and returns
/// false.
bool CallOwner(CtlContext& context, const std::string& what, HttpCall call,
               HttpResult& result);

/// Prints "dotterelcovectl: message" and returns `code`.
int ReportError(CtlContext& context, ExitCode code, const std::string& message);
/// Prints the error of a failed call or error answer; returns the exit code for
/// its failure or HTTP status.
int ReportCallError(CtlContext& context, const std::string& what,
                    const HttpResult& result);

/// Prints `value` as one line of JSON.
void PrintJson(CtlContext& context, const nlohmann::json& value);

}  // namespace dotterelcove
