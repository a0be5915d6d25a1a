/// A job that recurs often is handed in beside others. See claim.txt.
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "review/standin-2/Spans.h"
#include "tests/platform/soak/Cell.h"
#include "tests/platform/soak/Clients.h"

namespace {

using dotterelcove::review::Ended;
using dotterelcove::review::FindBeyond;
using dotterelcove::review::OrderKind;
using dotterelcove::review::Span;
using dotterelcove::review::SpansOf;
using dotterelcove::soak::Cell;
using dotterelcove::soak::CellOptions;
using dotterelcove::soak::ClientCall;
using dotterelcove::soak::ClientMethod;
using dotterelcove::soak::Clients;
using dotterelcove::soak::FindShape;
using dotterelcove::soak::JobSpec;
using dotterelcove::soak::SleepMs;
using dotterelcove::soak::WallNowMs;

constexpr int kDaemons = 5;
constexpr int kWorkers = 12;
constexpr int64_t kIntervalMs = 10;
/// Occurrences of the job that recurs, with the disruption and without.
constexpr int kManyTimes = 10'000;
constexpr int kFewTimes = 100;
/// How long it runs until the other jobs are handed in: 7,500 occurrences.
constexpr int64_t kRecursMs = 75'000;
constexpr int kShortJobs = 20;
/// `may_miss` of the job that lasts.
constexpr size_t kMayMiss = 1;
/// `finish_s`, and some time more.
constexpr int64_t kFinishMs = 18'000;

/// A job of one short task that runs `times` times.
std::string RecurringBody(int times) {
  return R"({"spec":"ms=1","steps":[{"count":1,"cpu":100,"mem_mb":100,)"
         R"("est_duration_ms":1}],"times":)" +
         std::to_string(times) + R"(,"start_at_ms":)" +
         std::to_string(WallNowMs()) + R"(,"interval_ms":)" +
         std::to_string(kIntervalMs) + "}";
}

int Play(const std::string& folder, bool trouble) {
  CellOptions options;
  if (!FindShape("stepcare", options.shape)) return 2;
  options.shape.daemons = kDaemons;
  options.shape.workers = kWorkers;
  options.daemon_program = "target/dotterelcove-celld";
  options.folder = folder;
  Cell cell(options);
  if (!cell.Start()) return 2;
  Clients clients(cell);
  SleepMs(1'500);
  JobSpec lasting;
  lasting.id = "1a577000000000aa";
  lasting.queue = "lasting";
  const ClientCall lasts = clients.Ask(
      ClientMethod::kSubmit, lasting,
      R"({"spec":"lasts","steps":[{"count":6,"cpu":1000,"mem_mb":500,)"
      R"("est_duration_ms":400,"long_running":true,"may_miss":1}]})",
      0);
  SleepMs(2'000);
  JobSpec recurring;
  recurring.id = "5c0e7a21d94b36f8";
  recurring.queue = "batch";
  const ClientCall accepted =
      clients.Ask(ClientMethod::kSubmit, recurring,
                  RecurringBody(trouble ? kManyTimes : kFewTimes), 0);
  cell.Say("job that lasts: " + std::to_string(lasts.status) +
           ", job that recurs: " + std::to_string(accepted.status));
  SleepMs(kRecursMs);
  std::vector<JobSpec> jobs;
  for (size_t i = 0; i < kShortJobs; ++i) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016zx", 0x1000 + i);
    JobSpec job;
    job.id = id;
    job.queue = "short";
    const ClientCall call = clients.Ask(
        ClientMethod::kSubmit, job,
        R"({"spec":"ms=300","steps":[{"count":2,"cpu":500,"mem_mb":100,)"
        R"("est_duration_ms":300}]})",
        i);
    if (call.status == 200) jobs.push_back(std::move(job));
    SleepMs(100);
  }
  SleepMs(kFinishMs);
  std::map<std::string, int> states;
  for (const JobSpec& job : jobs) {
    const ClientCall call = clients.Ask(ClientMethod::kQuery, job, "", 1);
    states[std::to_string(call.status) + " " + call.state]++;
  }
  for (const auto& [state, count] : states) {
    cell.Say("short jobs shown as " + state + ": " + std::to_string(count) +
             " of " + std::to_string(jobs.size()) + " accepted");
  }
  if (lasts.status != 200 || accepted.status != 200 || jobs.empty()) return 2;
  const std::vector<Span> spans = SpansOf(cell.log.All(), lasting.id);
  const std::vector<Ended> beyond =
      FindBeyond(spans, OrderKind::kLapse, kMayMiss);
  for (const Ended& ended : beyond) {
    cell.Say("AVAIL: " + ended.span->task + ", at work on " +
             ended.span->worker + ", ended by its lease at " +
             std::to_string(cell.At(ended.span->to_ms)) +
             " ms; away:" + ended.others);
  }
  cell.Say("tasks ended beyond may_miss: " + std::to_string(beyond.size()));
  return beyond.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  const char* trouble = std::getenv("TROUBLE");
  return Play(argv[1], trouble == nullptr || std::string(trouble) != "0");
}
