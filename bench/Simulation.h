/// Discrete-event simulation of a scheduler on a trace, with a virtual clock.
/// Tasks are modelled as start and end events; the network and the worker
/// processes are not modelled.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bench/Trace.h"

namespace dotterelcove::bench {

/// The scheduling functions under test: the core or a baseline.
struct Scheduler {
  std::function<core::SubmitDecision(const core::JobSpec&, TimeMs)> submit;
  std::function<void(const core::TaskRef&, core::TaskEnd, TimeMs)> ended;
  std::function<void(const core::TaskRef&, const Resources&, TimeMs)> usage;
  std::function<void(const std::string&, core::WorkerState, TimeMs)> set_worker;
  std::function<void(TimeMs, std::vector<core::Command>&)> tick;
};

using Quotas = std::map<std::string, Resources>;
/// Creates a scheduler backed by the core, with all workers usable.
Scheduler MakeCoreScheduler(const core::CoreOptions& options,
                            const std::vector<core::WorkerSpec>& workers,
                            const Quotas& quotas = {});

struct WorkerEvent {
  TimeMs at_ms = 0;
  std::string worker;
  core::WorkerState state = core::WorkerState::kLost;
};

struct SimulationOptions {
  TimeMs tick_ms = 10;
  /// Every task on these workers fails 20 ms after its start.
  std::set<std::string> failing_workers;
  /// Tasks of this workload that start before failing_until_ms fail after 20
  /// ms.
  std::string failing_workload;
  TimeMs failing_until_ms = 0;
  std::vector<WorkerEvent> worker_events;
  /// Delay of a task's usage report after its start; 0 disables the reports.
  TimeMs usage_delay_ms = 0;
};

struct SimulationResult {
  /// Waiting time in ms from arrival to first start, by class; a job that had
  /// not started at the horizon counts with its wait up to then.
  std::vector<double> waits[3];
  /// The same by team.
  std::map<std::string, std::vector<double>> team_waits;
  /// Jobs that succeeded within the horizon, by class.
  uint64_t completed[3] = {};
  /// Core milliseconds of tasks up to the horizon, without failed, preempted or
  /// lost attempts.
  double core_ms = 0;
  uint64_t starts = 0;
  uint64_t failed_attempts = 0;
  /// Worker milliseconds during which the actual usage exceeded the capacity.
  double overloaded_ms = 0;
  /// Largest number of members of one service workload lost to the worker
  /// events of one point in time.
  uint64_t max_lost_members = 0;
};

SimulationResult Simulate(const Trace& trace, const Scheduler& scheduler,
                          const SimulationOptions& options = {});

double Mean(const std::vector<double>& values);
/// Value below which the given share of the values lies.
double Quantile(std::vector<double> values, double share);

}  // namespace dotterelcove::bench
