/// Measurements on a deployment of real processes, shared by the system tests,
/// which compare them with the targets, and by the benchmark, which prints
/// them. Times come from callers and from the stand-ins' journals.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "standins/Deployment.h"
#include "standins/Traffic.h"

namespace dotterelcove {

/// Value at `fraction` (0 to 1) of sorted samples; 0 for no samples.
double Percentile(std::vector<double> samples, double fraction);

/// Milliseconds from sending to the first start on a worker, for each request
/// of a placed kind. A request that never started counts `missing_ms`.
std::vector<double> StartDelaysMs(const Deployment& deployment,
                                  const Traffic& traffic, double missing_ms);

/// Publishes a changed configuration and returns the milliseconds until every
/// daemon reports the new version, or -1 after `limit_ms`.
double MeasureConfigPropagationMs(Deployment& deployment, int round,
                                  TimeMs limit_ms);

/// Milliseconds from the VM list showing the endpoint as leaving to the last
/// start at that endpoint, under traffic of routed requests; 0 for no later
/// start.
double MeasureLastStartAfterLeavingMs(Deployment& deployment,
                                      const std::string& endpoint);

/// Effect of a planned stop on the requests around it.
struct StopResult {
  int exit_code = -1;
  int requests = 0;
  /// Requests in progress at the signal that did not end as done, and any
  /// request that ended as unknown.
  int interrupted = 0;
  /// Requests sent after the signal that were answered "not run".
  int refused = 0;
  double worst_start_ms = 0;
};

/// Sends SIGTERM to one process under traffic.
StopResult MeasurePlannedStop(Deployment& deployment,
                              const std::string& process);

/// Latency that the system adds to a routed request, from a run through it and
/// a run of direct calls to the same endpoints under the same arrivals.
struct AddedLatency {
  double direct_p50_ms = 0;
  double direct_p99_ms = 0;
  double added_p50_ms = 0;
  double added_p99_ms = 0;
  int failed = 0;
};

/// Offers `rate` requests a second of `run_ms` each for `duration_ms`.
AddedLatency MeasureAddedLatency(Deployment& deployment, int rate,
                                 int64_t run_ms, TimeMs duration_ms);

}  // namespace dotterelcove
