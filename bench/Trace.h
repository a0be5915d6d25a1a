/// Seeded synthetic arrival traces modelled on the deployments.
#pragma once

#include <string>
#include <vector>

#include "base/Random.h"
#include "core/Core.h"

namespace dotterelcove::bench {

struct TraceJob {
  core::JobSpec spec;
  TimeMs arrives_ms = 0;
  /// Actual run time of each task; services run until the end of the trace.
  TimeMs run_ms = 0;
  /// Actual usage as a multiple of the declared cores and memory.
  double usage_factor = 1;
};

struct Trace {
  std::vector<core::WorkerSpec> workers;
  std::vector<TraceJob> jobs;
  TimeMs horizon_ms = 0;
};

struct TraceOptions {
  uint64_t seed = 1;
  TimeMs horizon_ms = 2 * 3'600'000;
  /// Offered core load without services, as a share of the cores that services
  /// leave free.
  double load = 0.95;
  /// Share of the batch jobs that are gangs.
  double gang_share = 0.05;
};

/// Workers named w0…, racks and availability zones of equal size.
std::vector<core::WorkerSpec> MakeWorkers(int count, Resources capacity,
                                          int per_rack, int zones);

/// Ulaanbaatar: 50 workers of 16 cores; dispatches with a morning peak, tread
/// audits, standing watches.
Trace MakeUlaanbaatarTrace(const TraceOptions& options);
/// Volta basin: 50 workers of 32 cores; grain checks, seasoning reports, curing
/// watches.
Trace MakeVoltaTrace(const TraceOptions& options);
/// The design size: 1,100 workers, 650 of them with 4 accelerators, or a
/// smaller cell of the same mix.
std::vector<core::WorkerSpec> MakeLargeWorkers(int count);

}  // namespace dotterelcove::bench
