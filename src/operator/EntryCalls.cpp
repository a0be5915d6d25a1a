#include "operator/EntryCalls.h"

#include <cctype>
#include <cstdio>

#include "dotterelcove/Types.h"
#include "operator/TextTable.h"

namespace dotterelcove {
namespace {

void PrintAnswer(CtlContext& context, const nlohmann::json& body) {
  const std::string outcome = TextOf(body, "outcome");
  context.out << Printable(TextOf(body, "key")) << ": "
              << (outcome.empty() ? "no outcome" : Printable(outcome));
  for (const char* name :
       {"state", "worker", "endpoint", "reason", "retry_after_ms"}) {
    const std::string text = ScalarOf(body, name);
    if (!text.empty()) context.out << ", " << name << " " << Printable(text);
  }
  context.out << "\n";
  const std::string answer = TextOf(body, "answer");
  if (outcome != "done" || answer.empty()) return;
  // The answer is the caller's own text; its lines are kept.
  std::string line;
  for (const char byte : answer) {
    if (byte != '\n') {
      line += byte;
      continue;
    }
    context.out << Printable(line) << "\n";
    line.clear();
  }
  if (!line.empty()) context.out << Printable(line) << "\n";
}

}  // namespace

EntryAnswer CallEntries(CtlContext& context, const std::string& what,
                        const HttpCall& call) {
  EntryAnswer answer;
  for (const std::string& url : context.cell.entries) {
    HttpCall attempt = call;
    attempt.url = url + call.url;
    attempt.headers.emplace_back("X-Caller", context.caller);
    HttpResult result = CallOne(context, what, std::move(attempt));
    const bool failed = result.failure != HttpFailure::kNone;
    if (failed && result.failure != HttpFailure::kNotSent) {
      answer.may_have_been_received = true;
    }
    // An answer, even a refusal, says more than a later failed connect.
    if (failed && answer.answered) continue;
    answer.result = std::move(result);
    answer.answered = !failed;
    if (answer.answered && answer.result.status != 503) return answer;
  }
  return answer;
}

ExitCode ExitCodeOf(const std::string& outcome, int status) {
  if (status == 409) return kExitConflict;
  if (outcome == NameOf(kOutcomeNames, Outcome::kUnknown)) {
    return status == 404 ? kExitFailed : kExitUnknown;
  }
  if (status == 503 || status == 429) return kExitUnavailable;
  if (outcome == NameOf(kOutcomeNames, Outcome::kDone) ||
      outcome == NameOf(kOutcomeNames, Outcome::kAccepted)) {
    return kExitOk;
  }
  return kExitFailed;
}

int ReportOutcome(CtlContext& context, const std::string& key,
                  const EntryAnswer& answer) {
  if (context.cell.entries.empty()) {
    return ReportError(context, kExitBadCommandLine,
                    "the cell file names no entries");
  }
  if (!answer.answered) {
    const std::string detail =
        std::string(NameOf(kHttpFailureNames, answer.result.failure)) +
        (answer.result.detail.empty() ? "" : ", " + answer.result.detail);
    if (!answer.may_have_been_received) {
      return ReportError(context, kExitUnavailable,
                      "no entry daemon reachable (" + detail + ")");
    }
    return ReportError(
        context, kExitUnknown,
        "the answer was lost (" + detail + "); ask again: status " + key);
  }
  const auto body = BodyOf(answer.result);
  if (!body.is_object()) {
    return ReportError(context, kExitUnknown,
                    "the answer is not JSON; status " +
                        std::to_string(answer.result.status));
  }
  if (context.json) {
    PrintJson(context, body);
  } else {
    PrintAnswer(context, body);
  }
  const ExitCode code =
      ExitCodeOf(TextOf(body, "outcome"), answer.result.status);
  // A refusal at one daemon does not undo what another may have received.
  const bool refused = code == kExitUnavailable || code == kExitFailed;
  return refused && answer.may_have_been_received ? kExitUnknown : code;
}

std::string RequestPath(const std::string& key) {
  std::string path = "/v1/requests/";
  for (const unsigned char byte : key) {
    if (std::isalnum(byte) || byte == '-' || byte == '.' || byte == '_' ||
        byte == '~') {
      path += static_cast<char>(byte);
      continue;
    }
    char escaped[4];
    std::snprintf(escaped, sizeof(escaped), "%%%02X", byte);
    path += escaped;
  }
  return path;
}

}  // namespace dotterelcove
