#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "scheduler/Job.h"

namespace dotterelcove {

/// Time for which an ended job stays in memory, so that a repeated submission
/// of the same key gets the same answer.
inline constexpr TimeMs kEndedJobRetentionMs = 600'000;
/// Limit on the memory of ended jobs. Beyond it the oldest are evicted early,
/// so that a high rate of short requests cannot exceed the memory target of the
/// daemon.
inline constexpr size_t kMaxEndedJobBytes = 10 << 20;

struct EndedJob {
  std::string body_digest;
  JobResult result;
  TimeMs ended_ms = 0;
};

/// Cache of the jobs that ended recently, by id.
class EndedJobs {
 public:
  explicit EndedJobs(size_t max_bytes = kMaxEndedJobBytes)
      : max_bytes(max_bytes) {}

  /// Adds or replaces a job, then evicts the oldest ones while the cache is
  /// over its size limit.
  void Add(const std::string& id, EndedJob job);
  /// Returns null for an unknown id.
  const EndedJob* Find(const std::string& id) const;
  /// Evicts the jobs that ended kEndedJobRetentionMs or longer before `now`.
  void EvictExpired(TimeMs now);
  size_t size() const { return this->jobs.size(); }

 private:
  void EvictOldest();

  size_t max_bytes;
  size_t bytes = 0;
  std::unordered_map<std::string, EndedJob> jobs;
  /// End times and ids in the order of addition.
  std::deque<std::pair<TimeMs, std::string>> order;
};

}  // namespace dotterelcove
