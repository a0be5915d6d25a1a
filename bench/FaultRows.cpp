#include <algorithm>
#include <ctime>

#include "bench/BenchRows.h"
#include "bench/Simulation.h"

namespace dotterelcove::bench {
namespace {

using core::Command;
using core::CoreOptions;

constexpr auto kBatch = static_cast<size_t>(RequestClass::kBatch);
constexpr auto kUrgent = static_cast<size_t>(RequestClass::kUrgent);
constexpr const char* kMechanismOffNote =
    "baseline: the mechanism switched off";
constexpr TimeMs kHorizonMs = 1'200'000;

TraceOptions OptionsOf(const BenchTable& table, double load) {
  TraceOptions options;
  options.seed = table.seed;
  options.load = load;
  options.horizon_ms = kHorizonMs;
  return options;
}

/// CPU time of this thread in microseconds.
double ThreadCpuUs() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

/// Longest tick in ms while 10,000 of 12,000 queued jobs are cancelled at once.
double LongestCancelTick(uint32_t per_tick) {
  constexpr int kQueued = 12'000;
  constexpr int kCancelled = 10'000;
  CoreOptions options;
  options.cancellations_per_tick = per_tick;
  const core::CellPtr cell = core::MakeCell(options);
  for (const auto& worker : MakeLargeWorkers(1'100)) {
    core::AddWorker(*cell, worker);
  }
  for (int i = 0; i < kQueued; ++i) {
    core::JobSpec spec;
    spec.id = "j" + std::to_string(i);
    spec.team = "team" + std::to_string(i % 700);
    spec.workload = "w/" + std::to_string(i % 20);
    spec.size = {4'000, 8'000, 0};
    core::Submit(*cell, spec, 0);
  }
  for (int i = 0; i < kCancelled; ++i) {
    core::Cancel(*cell, "j" + std::to_string(i), 0);
  }
  double longest = 0;
  std::vector<Command> commands;
  for (TimeMs now = 10; now < 1'000; now += 10) {
    const double start_us = ThreadCpuUs();
    core::Tick(*cell, now, commands);
    longest = std::max(longest, (ThreadCpuUs() - start_us) / 1'000);
    commands.clear();
  }
  return longest;
}

void AddCancellationRow(BenchTable& table) {
  const double off = LongestCancelTick(UINT32_MAX);
  const double on = LongestCancelTick(CoreOptions{}.cancellations_per_tick);
  AddRow(table, {"10,000 cancellations at once: longest tick", "ms", "", off,
                 on, std::nullopt, kMechanismOffNote});
}

void AddFailingWorkerRows(BenchTable& table) {
  const Trace trace = MakeVoltaTrace(OptionsOf(table, 0.8));
  SimulationOptions simulation;
  simulation.failing_workers = {"w3", "w11", "w22", "w33", "w44"};
  CoreOptions off;
  off.quarantine_failures = UINT32_MAX;
  const auto without =
      Simulate(trace, MakeCoreScheduler(off, trace.workers), simulation);
  const auto with =
      Simulate(trace, MakeCoreScheduler({}, trace.workers), simulation);
  AddRow(table, {"5 of 50 workers fail everything: failed attempts", "", "",
                 static_cast<double>(without.failed_attempts),
                 static_cast<double>(with.failed_attempts), std::nullopt,
                 kMechanismOffNote});
  AddRow(table, {"the same: batch jobs completed", "jobs", "",
                 static_cast<double>(without.completed[kBatch]),
                 static_cast<double>(with.completed[kBatch]), std::nullopt,
                 kMechanismOffNote});
}

struct DomainLossResult {
  double max_lost_members = 0;
  double urgent_p99_ms = 0;
};

/// Simulates the loss of each rack, or of each availability zone, from 300 s to
/// 600 s and returns the worst values.
DomainLossResult SimulateDomainLosses(const Trace& trace,
                                      const CoreOptions& options, bool zones) {
  std::set<std::string> domains;
  for (const auto& worker : trace.workers) {
    domains.insert(zones ? worker.zone : worker.rack);
  }
  DomainLossResult worst;
  for (const std::string& domain : domains) {
    SimulationOptions simulation;
    for (const auto& worker : trace.workers) {
      if ((zones ? worker.zone : worker.rack) != domain) continue;
      simulation.worker_events.push_back(
          {300'000, worker.id, core::WorkerState::kLost});
      simulation.worker_events.push_back(
          {600'000, worker.id, core::WorkerState::kUsable});
    }
    const auto result =
        Simulate(trace, MakeCoreScheduler(options, trace.workers), simulation);
    worst.max_lost_members = std::max(
        worst.max_lost_members, static_cast<double>(result.max_lost_members));
    worst.urgent_p99_ms =
        std::max(worst.urgent_p99_ms, Quantile(result.waits[kUrgent], 0.99));
  }
  return worst;
}

void AddDomainLossRows(BenchTable& table) {
  const Trace trace = MakeUlaanbaatarTrace(OptionsOf(table, 0.6));
  for (const bool zones : {false, true}) {
    CoreOptions off;
    off.spreading = false;
    const DomainLossResult without = SimulateDomainLosses(trace, off, zones);
    const DomainLossResult with = SimulateDomainLosses(trace, {}, zones);
    const std::string name = zones ? "a zone" : "a rack";
    AddRow(table, {name + " lost and back: services lost of 60, worst", "", "",
                   without.max_lost_members, with.max_lost_members,
                   std::nullopt, "baseline: no spreading"});
    AddRow(table, {"the same: p99 wait of dispatches", "ms", "<= 2100",
                   without.urgent_p99_ms, with.urgent_p99_ms,
                   with.urgent_p99_ms <= 2'100, "baseline: no spreading"});
  }
}

void AddRetryRow(BenchTable& table) {
  const Trace trace = MakeUlaanbaatarTrace(OptionsOf(table, 0.8));
  SimulationOptions simulation;
  simulation.failing_workload = "stepline/audit";
  simulation.failing_until_ms = 60'000;
  CoreOptions on;
  on.max_attempts = 1'000;
  CoreOptions off = on;
  off.retry_backoff = false;
  const auto without =
      Simulate(trace, MakeCoreScheduler(off, trace.workers), simulation);
  const auto with =
      Simulate(trace, MakeCoreScheduler(on, trace.workers), simulation);
  AddRow(table, {"a kind fails for 60 s: failed attempts", "", "",
                 static_cast<double>(without.failed_attempts),
                 static_cast<double>(with.failed_attempts), std::nullopt,
                 kMechanismOffNote});
}

void AddFloodRow(BenchTable& table) {
  Trace trace = MakeUlaanbaatarTrace(OptionsOf(table, 0.5));
  Quotas quotas;
  for (int i = 0; i < 20; ++i) {
    quotas["team" + std::to_string(i)] = {40'000, 80'000, 0};
  }
  quotas["flood"] = {40'000, 80'000, 0};
  for (int i = 0; i < 1'500; ++i) {
    TraceJob job;
    job.spec.id = "j" + std::to_string(trace.jobs.size());
    job.spec.team = "flood";
    job.spec.workload = "flood/work";
    job.spec.size = {2'000, 4'000, 0};
    job.spec.duration_ms = 120'000;
    job.run_ms = 120'000;
    job.arrives_ms = 60'000;
    trace.jobs.push_back(std::move(job));
  }
  const auto others = [](const SimulationResult& result) {
    std::vector<double> waits;
    for (const auto& [team, values] : result.team_waits) {
      if (team == "flood") continue;
      waits.insert(waits.end(), values.begin(), values.end());
    }
    return Mean(waits);
  };
  const double off =
      others(Simulate(trace, MakeCoreScheduler({}, trace.workers)));
  const double on =
      others(Simulate(trace, MakeCoreScheduler({}, trace.workers, quotas)));
  AddRow(table, {"one team floods: mean wait of the other teams", "ms", "", off,
                 on, std::nullopt, "baseline: no quotas"});
}

void AddMisdeclaredSizeRows(BenchTable& table) {
  Trace trace = MakeVoltaTrace(OptionsOf(table, 0.9));
  // Splits the reports into ten workloads whose actual usage is 0.1 to 10 times
  // the declared size.
  const double factors[] = {0.1, 0.2, 0.3, 0.5, 1, 1, 1, 2, 4, 10};
  for (size_t i = 0; i < trace.jobs.size(); ++i) {
    TraceJob& job = trace.jobs[i];
    if (job.spec.request_class != RequestClass::kBatch) continue;
    job.spec.workload += std::to_string(i % 10);
    job.usage_factor = factors[i % 10];
    // Usage above the declared size must still fit on a worker.
    if (job.usage_factor > 1) job.spec.size = {1'000, 2'000, 0};
  }
  SimulationOptions simulation;
  simulation.usage_delay_ms = 2'000;
  CoreOptions off;
  off.size_learning = false;
  const auto without =
      Simulate(trace, MakeCoreScheduler(off, trace.workers), simulation);
  const auto with =
      Simulate(trace, MakeCoreScheduler({}, trace.workers), simulation);
  AddRow(table, {"sizes off by 10 x: worker time beyond capacity", "s", "",
                 without.overloaded_ms / 1'000, with.overloaded_ms / 1'000,
                 std::nullopt, kMechanismOffNote});
  AddRow(table, {"the same: mean wait of batch jobs", "ms", "",
                 Mean(without.waits[kBatch]), Mean(with.waits[kBatch]),
                 std::nullopt, kMechanismOffNote});
}

}  // namespace

void AddFaultRows(BenchTable& table) {
  AddCancellationRow(table);
  AddFailingWorkerRows(table);
  AddDomainLossRows(table);
  AddRetryRow(table);
  AddFloodRow(table);
  AddMisdeclaredSizeRows(table);
}

}  // namespace dotterelcove::bench
