/// What every subcommand of dotterelcovectl works with, and the calls to the
/// processes of the cell that they share.
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
  /// Print JSON for scripts in place of tables.
  bool json = false;
  /// Standard error is a terminal: show a progress line on long work.
  bool show_progress = false;
  /// Longest time for one call.
  int64_t timeout_ms = 5'000;
};

/// Runs the loop until `done`, with a progress line "what, N s" from the second
/// second on. Returns false after `limit_ms`.
bool WaitWithProgress(CtlContext& context, const std::string& what,
                      const std::function<bool()>& done, int64_t limit_ms);

/// Sends all calls at once and waits for every answer.
std::vector<HttpResult> CallAll(CtlContext& context, const std::string& what,
                                std::vector<HttpCall> calls);
HttpResult CallOne(CtlContext& context, const std::string& what, HttpCall call);

/// JSON of an answer; discarded JSON when it is none.
nlohmann::json BodyOf(const HttpResult& result);

/// "text" member of an object, or an empty string.
std::string TextOf(const nlohmann::json& object, const std::string& name);
/// Any scalar member as text.
std::string ScalarOf(const nlohmann::json& object, const std::string& name);

/// The state of one process, as it gave it under /v1/state.
struct ProcessView {
  std::string url;
  bool is_scheduler = false;
  bool reached = false;
  /// Why it was not reached.
  std::string detail;
  nlohmann::json state;
};

/// Asks all processes of the cell.
std::vector<ProcessView> FetchProcesses(CtlContext& context);
/// The scheduler that owns the partition with the highest epoch, or nullptr.
const ProcessView* FindOwner(const std::vector<ProcessView>& processes);

/// Sends a call to the owner. Without one, prints why and returns false.
bool CallOwner(CtlContext& context, const std::string& what, HttpCall call,
               HttpResult& result);

/// Prints "dotterelcovectl: message" and returns `code`.
int ReportError(CtlContext& context, ExitCode code, const std::string& message);
/// The same for an answer that is an error; picks the exit code by its status.
int ReportCallError(CtlContext& context, const std::string& what,
                  const HttpResult& result);

/// Prints one JSON value on a line.
void PrintJson(CtlContext& context, const nlohmann::json& value);

}  // namespace dotterelcove
