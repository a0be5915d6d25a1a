// Processor time of the owner of a cell at the sizes of large fleets: the real
// controller on virtual time, with simulated workers, permits and store. Only
// the owner's own callbacks are measured; calls to workers cost nothing here.
#include <algorithm>
#include <ctime>
#include <string>

#include "bench/BenchRows.h"
#include "telemetry/Log.h"
#include "tests/CellModel.h"

namespace dotterelcove::bench {
namespace {

constexpr TimeMs kSecond = 1'000;
constexpr TimeMs kWarmUpMs = 6 * kSecond;
constexpr TimeMs kMeasuredMs = 8 * kSecond;
/// Processes through which permits are requested.
constexpr int kPermitClients = 40;
/// Starts a second of 540 workers in a burst, and the shape of its jobs.
constexpr double kStartsPerWorker = 900.0 / 540;
constexpr uint32_t kTasksPerStep = 8;
constexpr TimeMs kTaskMs = 640;
constexpr double kTargetUsPerStart = 40;

struct OwnerCase {
  int workers = 0;
  /// Batch tasks that wait all the time, since no worker has room for them.
  int backlog = 0;
};

constexpr OwnerCase kCases[] = {{350, 0},     {540, 0},     {540, 500},
                                {540, 5'000}, {1'100, 500}, {1'100, 5'000}};

double ThreadCpuUs() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

struct OwnerCost {
  double total_us = 0;
  double longest_us = 0;
  uint64_t starts = 0;
};

void SubmitLoad(model::Cell& cell, int workers) {
  const double jobs_per_second = kStartsPerWorker * workers / kTasksPerStep;
  const auto jobs = static_cast<int>(
      jobs_per_second * static_cast<double>(kWarmUpMs + kMeasuredMs) / kSecond);
  for (int i = 0; i < jobs; ++i) {
    const auto at_ms = static_cast<TimeMs>(i * kSecond / jobs_per_second);
    cell.time.After(at_ms, [&cell] {
      model::Submit(
          cell, 0,
          model::MakeChain(cell, 1, kTasksPerStep, {3'600, 7'300, 0}, kTaskMs));
    });
  }
}

void SubmitBacklog(model::Cell& cell, int tasks) {
  constexpr uint32_t kTasksPerJob = 10;
  for (uint32_t i = 0; i < static_cast<uint32_t>(tasks) / kTasksPerJob; ++i) {
    workflow::JobSpec job = model::MakeChain(cell, 1, kTasksPerJob,
                                             {16'000, 7'300, 0}, 10 * kSecond);
    // Batch work leaves a share of each worker free, so this never fits.
    job.policy.priority = 2;
    model::Submit(cell, 0, job);
  }
}

OwnerCost MeasureOwner(const OwnerCase& scenario, uint64_t seed) {
  model::CellOptions options;
  options.daemons = 1;
  options.workers = scenario.workers;
  options.capacity = {16'000, 65'536, 0};
  options.seed = seed;
  options.permits = true;
  options.allowed_share = 0.7;
  options.failure_share = 0.01;
  model::Cell cell(options);
  cell.configure_owner = [](workflow::Controller& c) {
    const workflow::PermitPort port = c.permit_clients.begin()->second.request;
    for (int i = 0; i < kPermitClients; ++i) {
      workflow::AddPermitClient(c, "p" + std::to_string(i), port);
    }
  };
  OwnerCost cost;
  bool is_measured = false;
  cell.run_callback = [&](const std::function<void()>& callback) {
    const double begin_us = ThreadCpuUs();
    callback();
    const double us = ThreadCpuUs() - begin_us;
    if (!is_measured) return;
    cost.total_us += us;
    cost.longest_us = std::max(cost.longest_us, us);
  };
  cell.time.RunUntil(2 * kSecond);
  SubmitBacklog(cell, scenario.backlog);
  SubmitLoad(cell, scenario.workers);
  cell.time.RunUntil(2 * kSecond + kWarmUpMs);
  is_measured = true;
  const size_t before = cell.run_records.size();
  cell.time.RunUntil(2 * kSecond + kWarmUpMs + kMeasuredMs);
  cost.starts = cell.run_records.size() - before;
  return cost;
}

std::string NameOf(const OwnerCase& scenario) {
  return std::to_string(scenario.workers) + " workers, " +
         std::to_string(scenario.backlog) + " waiting";
}

}  // namespace

void AddOwnerRows(BenchTable& table) {
  SetLogOutput([](const std::string&) {});
  for (const OwnerCase& scenario : kCases) {
    const OwnerCost cost = MeasureOwner(scenario, table.seed);
    const double us_per_start =
        cost.total_us / static_cast<double>(std::max<uint64_t>(cost.starts, 1));
    constexpr double kSecondsMeasured =
        static_cast<double>(kMeasuredMs) / kSecond;
    BenchRow row;
    row.name = "owner's processor time a start, " + NameOf(scenario);
    row.unit = "us";
    row.target = "<= 40";
    row.ours = us_per_start;
    row.met = us_per_start <= kTargetUsPerStart;
    row.note = std::to_string(static_cast<int>(
                   static_cast<double>(cost.starts) / kSecondsMeasured)) +
               " starts/s";
    AddRow(table, row);
    BenchRow longest;
    longest.name = "longest callback of the owner, " + NameOf(scenario);
    longest.unit = "ms";
    longest.ours = cost.longest_us / 1'000;
    AddRow(table, longest);
  }
  SetLogOutput({});
}

}  // namespace dotterelcove::bench
