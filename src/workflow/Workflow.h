/// Jobs of several steps as callers submit them, with the policy of the queue
/// they came through.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dotterelcove/Types.h"

namespace dotterelcove::workflow {

/// How an outside authority hands out permits for the steps of a queue.
struct PermitTerms {
  bool required = false;
  /// Time of one request, and more for each worker named in it.
  double decision_ms = 0;
  double per_worker_ms = 0;
  /// How long a ticket may be used after it was given.
  TimeMs validity_ms = 0;
};

/// What the configuration says of a queue.
struct QueuePolicy {
  /// 0 goes first and may preempt others.
  int priority = 0;
  /// Runs of one task that may fail before the job has failed.
  uint32_t attempts = 1;
  /// The objective is `stretch` times the longest chain plus `target_ms`.
  double stretch = 1;
  TimeMs target_ms = 0;
  PermitTerms permits;
};

/// One step: `count` equal tasks.
struct StepSpec {
  uint32_t count = 1;
  Resources size;
  /// Rough estimate of a task's run time, 0 for unknown.
  TimeMs estimate_ms = 0;
  /// Earlier steps whose tasks must all be done first.
  std::vector<uint32_t> after;
  bool checkpoints = false;
  /// The tasks run only together and end together.
  bool gang = false;
  /// Tasks on more than one rack take several times as long.
  bool same_rack = false;
  bool speculative = false;
  /// Runs until the job is cancelled.
  bool long_running = false;
  /// Uses what others leave: its processors are not counted.
  bool filler = false;
  std::string required_label;
  std::string data_rack;
  /// Tasks of this step on one worker, 0 for no limit.
  uint32_t max_per_worker = 0;
  std::string image;
  /// Objective for the tail latency of a serving task, 0 for none.
  TimeMs tail_target_ms = 0;
  /// Tasks of a long-running step that may be away at one time, 0 for none
  /// stated.
  uint32_t disruption_allowance = 0;
};

struct JobSpec {
  /// 16 hexadecimal digits chosen by the caller.
  std::string id;
  std::string queue;
  std::string service;
  /// Handed to each task as it is.
  std::string payload;
  std::vector<StepSpec> steps;
  /// 0 for a job that runs once, at once.
  uint32_t occurrences = 0;
  int64_t first_start_wall_ms = 0;
  int64_t interval_ms = 0;
  QueuePolicy policy;
  int64_t accepted_wall_ms = 0;
};

/// The estimated run time of the longest chain of steps, in milliseconds.
TimeMs CriticalPathMs(const JobSpec& spec);

/// Why a job cannot be accepted as written; empty for a sound one.
std::string FindSpecError(const JobSpec& spec);

}  // namespace dotterelcove::workflow
