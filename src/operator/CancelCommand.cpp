#include "operator/Commands.h"
#include "operator/EntryCalls.h"

namespace dotterelcove {

int RunCancel(CtlContext& context, const ParsedOptions& options) {
  const std::string& key = options.operands.front();
  HttpCall call;
  call.method = "DELETE";
  call.url = RequestPath(key);
  call.timeout_ms = context.timeout_ms;
  const EntryAnswer answer = CallEntries(context, "cancelling " + key, call);
  const int code = ReportOutcome(context, key, answer);
  // "not_run" is what a cancellation asks for.
  const bool cancelled = answer.answered && answer.result.status == 200 &&
                         TextOf(BodyOf(answer.result), "outcome") == "not_run";
  return cancelled ? kExitOk : code;
}

}  // namespace dotterelcove
