/// Specification of jobs of one or more steps as submitted by callers, with the
/// policy of the queue they were submitted to.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dotterelcove/Types.h"

namespace dotterelcove::workflow {

/// How an external authority grants permits for the steps of a queue.
struct PermitTerms {
  bool required = false;
  /// Duration of one request, and the extra time for each worker in it.
  double decision_ms = 0;
  double per_worker_ms = 0;
  /// How long a ticket is valid after it was issued.
  TimeMs validity_ms = 0;
};

/// The configuration of a queue.
struct QueuePolicy {
  /// The service whose workers run its tasks.
  std::string service;
  /// 0 is the highest and may preempt others.
  int priority = 0;
  /// Number of failed runs of one task at which the job fails.
  uint32_t attempts = 1;
  /// The objective is `stretch` times the critical path plus `target_ms`.
  double stretch = 1;
  TimeMs target_ms = 0;
  PermitTerms permits;
};

/// One step: `count` identical tasks.
struct StepSpec {
  uint32_t count = 1;
  Resources size;
  /// Rough estimate of a task's run time, 0 if unknown.
  TimeMs estimate_ms = 0;
  /// Earlier steps whose tasks must all be done first.
  std::vector<uint32_t> after;
  bool checkpoints = false;
  /// All tasks run together and end together.
  bool gang = false;
  /// Requires all tasks of a gang on one rack; across racks they take several
  /// times as long.
  bool same_rack = false;
  bool speculative = false;
  /// Runs until the job is cancelled.
  bool long_running = false;
  /// Uses capacity that other tasks leave idle: its processors are not counted.
  bool filler = false;
  std::string required_label;
  std::string data_rack;
  /// Maximum number of tasks of this step on one worker, 0 for no limit.
  uint32_t max_per_worker = 0;
  std::string image;
  /// Tail latency objective of a serving task, 0 for none.
  TimeMs tail_target_ms = 0;
  /// Number of tasks of a long-running step that may be unavailable at the same
  /// time, 0 if no allowance is stated.
  uint32_t disruption_allowance = 0;
};

struct JobSpec {
  /// 16 hexadecimal digits chosen by the caller.
  std::string id;
  std::string queue;
  /// The client account that submitted it, empty for none.
  std::string account;
  /// The quota of that account at the time, for an owner that does not know the
  /// account since the configuration has dropped it.
  Resources account_quota;
  /// Passed unchanged to each task.
  std::string payload;
  std::vector<StepSpec> steps;
  /// 0 for a job that runs once and immediately.
  uint32_t occurrences = 0;
  int64_t first_start_wall_ms = 0;
  int64_t interval_ms = 0;
  QueuePolicy policy;
  /// Version of the configuration that `policy` is from, 0 for unknown.
  uint64_t policy_version = 0;
  int64_t accepted_wall_ms = 0;
};

/// The most tasks that all steps of a job may have. The store keeps a mark for
/// each of them in one row.
inline constexpr uint32_t kMaxTasksOfAJob = 10'000;

/// Number of tasks of all steps; kMaxTasksOfAJob + 1 for any more.
uint32_t CountTasks(const JobSpec& spec);

/// The estimated run time of the critical path through the steps, in
/// milliseconds, including typical permit requests.
TimeMs CriticalPathMs(const JobSpec& spec);

/// Why the specification is invalid; empty for a valid one.
std::string FindSpecError(const JobSpec& spec);

}  // namespace dotterelcove::workflow
