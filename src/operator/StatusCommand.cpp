#include "operator/Commands.h"
#include "operator/EntryCalls.h"

namespace dotterelcove {
namespace {

constexpr int64_t kMaxWaitS = 86'400;
constexpr int64_t kMsPerSecond = 1'000;

}  // namespace

int RunStatus(CtlContext& context, const ParsedOptions& options) {
  const std::string& key = options.operands.front();
  int64_t wait_s = 0;
  std::string error;
  if (!ParseNumberOption(options, "wait-s", 0, kMaxWaitS, wait_s, error)) {
    return ReportError(context, kExitBadCommandLine, error);
  }
  HttpCall call;
  call.url = RequestPath(key);
  if (options.Has("result")) call.url += "/result";
  call.timeout_ms = context.timeout_ms + wait_s * kMsPerSecond;
  if (wait_s > 0) {
    call.url += "?wait_ms=" + std::to_string(wait_s * kMsPerSecond);
  }
  const EntryAnswer answer = CallEntries(context, "waiting for " + key, call);
  const bool raw =
      options.Has("result") && answer.answered && answer.result.status == 200;
  if (!raw) return ReportOutcome(context, key, answer);
  context.out << answer.result.body;
  return kExitOk;
}

}  // namespace dotterelcove
