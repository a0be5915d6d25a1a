#include "bench/Trace.h"

#include <algorithm>
#include <cmath>

namespace dotterelcove::bench {
namespace {

double Uniform(Random& random) {
  return static_cast<double>(UniformInt(random, 0, 1'000'000)) / 1e6;
}

/// Log-uniform in [low, high]: many short run times, few long ones.
TimeMs LogUniform(Random& random, double low, double high) {
  return static_cast<TimeMs>(
      std::exp(std::log(low) + Uniform(random) * (std::log(high / low))));
}

/// Arrival rate factor at a position in [0, 1] of the trace, with a peak of 2.2
/// at 0.35 (the morning peak).
double PeakFactor(double position) {
  const double distance = (position - 0.35) / 0.1;
  return 0.6 + 1.6 * std::exp(-distance * distance);
}

struct WorkloadProfile {
  const char* workload;
  RequestClass request_class;
  std::vector<Resources> sizes;
  TimeMs shortest_ms;
  TimeMs longest_ms;
  /// Share of the offered core load.
  double share;
  bool has_peak;
};

int64_t TotalCores(const std::vector<core::WorkerSpec>& workers) {
  int64_t total = 0;
  for (const auto& worker : workers) total += worker.capacity.milli_cores;
  return total;
}

void AddServices(Trace& trace, Random& random, const char* workload, int count,
                 Resources size) {
  for (int i = 0; i < count; ++i) {
    TraceJob job;
    job.spec.workload = workload;
    job.spec.request_class = RequestClass::kService;
    job.spec.size = size;
    job.arrives_ms = UniformInt(random, 0, 5'000);
    job.run_ms = trace.horizon_ms * 2;
    trace.jobs.push_back(std::move(job));
  }
}

TraceJob MakeTraceJob(Random& random, const WorkloadProfile& kind, TimeMs at,
                      double gang_share) {
  TraceJob job;
  job.spec.workload = kind.workload;
  job.spec.request_class = kind.request_class;
  job.spec.size = kind.sizes[static_cast<size_t>(
      UniformInt(random, 0, static_cast<int64_t>(kind.sizes.size()) - 1))];
  job.run_ms = LogUniform(random, static_cast<double>(kind.shortest_ms),
                          static_cast<double>(kind.longest_ms));
  // Declared run times are off by up to a factor of two.
  job.spec.duration_ms = static_cast<TimeMs>(
      static_cast<double>(job.run_ms) * std::exp2(Uniform(random) * 2 - 1));
  if (kind.request_class == RequestClass::kBatch &&
      Uniform(random) < gang_share) {
    job.spec.gang = true;
    job.spec.tasks = static_cast<uint32_t>(UniformInt(random, 4, 16));
  }
  job.arrives_ms = at;
  return job;
}

/// Adds Poisson arrivals of one workload until their work reaches
/// target_core_ms.
void AddArrivals(Trace& trace, Random& random, const WorkloadProfile& kind,
                 double target_core_ms, double gang_share) {
  double offered = 0;
  std::vector<TraceJob> jobs;
  while (offered < target_core_ms) {
    double position = 0;
    do {
      position = Uniform(random);
    } while (kind.has_peak && Uniform(random) * 2.2 > PeakFactor(position));
    const auto at =
        static_cast<TimeMs>(position * static_cast<double>(trace.horizon_ms));
    jobs.push_back(MakeTraceJob(random, kind, at, gang_share));
    offered += static_cast<double>(jobs.back().run_ms) *
               static_cast<double>(jobs.back().spec.size.milli_cores) / 1000 *
               jobs.back().spec.tasks;
  }
  for (TraceJob& job : jobs) trace.jobs.push_back(std::move(job));
}

void SortAndNumberJobs(Trace& trace) {
  std::stable_sort(trace.jobs.begin(), trace.jobs.end(),
                   [](const TraceJob& a, const TraceJob& b) {
                     return a.arrives_ms < b.arrives_ms;
                   });
  for (size_t i = 0; i < trace.jobs.size(); ++i) {
    trace.jobs[i].spec.id = "j" + std::to_string(i);
    if (trace.jobs[i].spec.team.empty()) {
      trace.jobs[i].spec.team = "team" + std::to_string(i % 20);
    }
  }
}

Trace MakeTrace(const TraceOptions& options,
                std::vector<core::WorkerSpec> workers, int services,
                Resources service_size, const char* service,
                const std::vector<WorkloadProfile>& kinds) {
  Random random(options.seed);
  Trace trace;
  trace.workers = std::move(workers);
  trace.horizon_ms = options.horizon_ms;
  AddServices(trace, random, service, services, service_size);
  const double remaining_cores =
      static_cast<double>(TotalCores(trace.workers) -
                          services * service_size.milli_cores) /
      1000;
  const double offered_core_ms =
      options.load * remaining_cores * static_cast<double>(options.horizon_ms);
  for (const WorkloadProfile& kind : kinds) {
    AddArrivals(trace, random, kind, offered_core_ms * kind.share,
                options.gang_share);
  }
  SortAndNumberJobs(trace);
  return trace;
}

}  // namespace

std::vector<core::WorkerSpec> MakeWorkers(int count, Resources capacity,
                                          int per_rack, int zones) {
  std::vector<core::WorkerSpec> workers;
  for (int i = 0; i < count; ++i) {
    const int rack = i / per_rack;
    workers.push_back({"w" + std::to_string(i),
                       "zone" + std::to_string(rack % zones),
                       "rack" + std::to_string(rack), capacity});
  }
  return workers;
}

Trace MakeUlaanbaatarTrace(const TraceOptions& options) {
  const std::vector<WorkloadProfile> kinds = {{"stepline/dispatch",
                                               RequestClass::kUrgent,
                                               {{1'000, 1'000, 0}},
                                               1'000,
                                               8'000,
                                               0.15,
                                               true},
                                              {"stepline/audit",
                                               RequestClass::kBatch,
                                               {{1'000, 2'000, 0},
                                                {2'000, 4'000, 0},
                                                {4'000, 6'000, 0},
                                                {8'000, 12'000, 0}},
                                               30'000,
                                               600'000,
                                               0.85,
                                               false}};
  return MakeTrace(options, MakeWorkers(50, {16'000, 32'000, 0}, 8, 3), 60,
                   {1'000, 1'500, 0}, "stepline/watch", kinds);
}

Trace MakeVoltaTrace(const TraceOptions& options) {
  const std::vector<WorkloadProfile> kinds = {
      {"polecheck/check",
       RequestClass::kUrgent,
       {{500, 500, 0}, {1'000, 1'000, 0}},
       500,
       4'000,
       0.1,
       true},
      {"polecheck/report",
       RequestClass::kBatch,
       {{1'000, 1'000, 0},
        {2'000, 6'000, 0},
        {4'000, 8'000, 0},
        {8'000, 12'000, 0},
        {12'000, 28'000, 0},
        {16'000, 24'000, 0}},
       30'000,
       600'000,
       0.9,
       false}};
  return MakeTrace(options, MakeWorkers(50, {32'000, 64'000, 0}, 6, 4), 80,
                   {1'000, 2'000, 0}, "polecheck/curing", kinds);
}

std::vector<core::WorkerSpec> MakeLargeWorkers(int count) {
  auto workers = MakeWorkers(count, {32'000, 64'000, 0}, 10, 7);
  const int with_accelerators = count * 650 / 1'100;
  for (int i = 0; i < with_accelerators; ++i) {
    workers[static_cast<size_t>(i)].capacity.accelerators = 4;
  }
  return workers;
}

}  // namespace dotterelcove::bench
