#include "base/Clock.h"
#include "config/ConfigPublisher.h"
#include "operator/Commands.h"
#include "operator/ConfigInput.h"

namespace dotterelcove {
namespace {

constexpr int64_t kMaxWaitS = 3'600;
constexpr int64_t kMsPerSecond = 1'000;
/// Between two looks at the versions in force.
constexpr int64_t kPollIntervalMs = 250;
/// The publisher asks the store again after a lost answer until this limit.
constexpr int64_t kPublishTimeoutMs = 10'000;

PublishResult Publish(CtlContext& context, PublishRequest request) {
  const TableClient tables{context.http, context.cell.tables,
                           context.timeout_ms};
  const ObjectClient objects{context.http, context.cell.objects,
                             context.timeout_ms};
  bool finished = false;
  PublishResult result;
  PublishConfig(context.loop, tables, objects, std::move(request),
                [&](PublishResult answer) {
                  result = std::move(answer);
                  finished = true;
                });
  while (!finished) {
    WaitWithProgress(
        context, "publishing", [&] { return finished; }, kPublishTimeoutMs);
  }
  return result;
}

/// Counts the processes that run `version` or a higher one.
size_t CountInForce(const std::vector<ProcessView>& processes,
                    uint64_t version) {
  size_t count = 0;
  for (const ProcessView& process : processes) {
    if (!process.reached) continue;
    const auto found = process.state.find("config_version");
    const bool in_force = found != process.state.end() &&
                          found->is_number_unsigned() &&
                          found->get<uint64_t>() >= version;
    count += in_force ? 1 : 0;
  }
  return count;
}

/// Waits until the version is in force in every process of the cell file.
bool WaitUntilInForce(CtlContext& context, uint64_t version, int64_t wait_ms) {
  const size_t all =
      context.cell.entries.size() + context.cell.schedulers.size();
  const TimeMs deadline = MonotonicMs() + wait_ms;
  while (MonotonicMs() < deadline) {
    if (CountInForce(FetchProcesses(context), version) == all) return true;
    WaitWithProgress(
        context, "waiting for the processes", [] { return false; }, kPollIntervalMs);
  }
  return false;
}

ExitCode ExitCodeOf(PublishStatus status) {
  switch (status) {
    case PublishStatus::kPublished:
    case PublishStatus::kUnchanged:
      return kExitOk;
    case PublishStatus::kConflict:
      return kExitConflict;
    case PublishStatus::kUnavailable:
      return kExitUnavailable;
    case PublishStatus::kUnknown:
      break;
  }
  return kExitUnknown;
}

void Report(CtlContext& context, const PublishResult& result) {
  const std::string status(NameOf(kPublishStatusNames, result.status));
  if (context.json) {
    PrintJson(context, {{"status", status},
                        {"version", result.version},
                        {"difference", result.difference}});
    return;
  }
  const bool ok = ExitCodeOf(result.status) == kExitOk;
  std::ostream& stream = ok ? context.out : context.err;
  stream << status;
  if (result.version > 0) stream << ": version " << result.version;
  stream << "\n";
  if (result.status == PublishStatus::kConflict) {
    stream << "another version was published meanwhile; from it to "
              "yours:\n"
           << result.difference;
  }
}

}  // namespace

int RunConfigPublish(CtlContext& context, const ParsedOptions& options) {
  PublishRequest request;
  int64_t expect = 0;
  int64_t wait_s = 0;
  std::string error;
  const bool valid =
      ParseNumberOption(options, "expect", 0, INT64_MAX, expect, error) &&
      ParseNumberOption(options, "wait-s", 0, kMaxWaitS, wait_s, error);
  if (!valid) return ReportError(context, kExitBadCommandLine, error);
  if (options.Has("expect")) request.base_version = expect;
  if (context.cell.tables.empty()) {
    return ReportError(context, kExitBadCommandLine,
                    "the cell file has no \"tables\"");
  }
  int exit_code = kExitOk;
  auto config = ReadConfigInput(context, options, exit_code);
  if (!config) return exit_code;
  request.config = std::move(*config);
  request.time_limit_ms = kPublishTimeoutMs;
  const PublishResult result = Publish(context, std::move(request));
  Report(context, result);
  const ExitCode code = ExitCodeOf(result.status);
  if (code != kExitOk || wait_s == 0) return code;
  if (!WaitUntilInForce(context, result.version, wait_s * kMsPerSecond)) {
    return ReportError(context, kExitFailed,
                    "not in force in every process after " +
                        std::to_string(wait_s) + " s; see config show");
  }
  if (!context.json) context.out << "in force in every process\n";
  return kExitOk;
}

}  // namespace dotterelcove
