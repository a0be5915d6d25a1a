#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "scheduler/Job.h"

namespace dotterelcove {

/// An ended job stays in memory for this time, so that the same key gets the
/// same answer.
inline constexpr TimeMs kEndedJobRetentionMs = 600'000;
/// Bytes that ended jobs may take; beyond it the oldest go early, so that a
/// high rate of short requests cannot exceed the memory target of the daemon.
inline constexpr size_t kMaxEndedJobBytes = 10 << 20;

struct EndedJob {
  std::string body_digest;
  JobResult result;
  TimeMs ended_ms = 0;
};

/// The jobs that ended recently, by id.
class EndedJobs {
 public:
  explicit EndedJobs(size_t max_bytes = kMaxEndedJobBytes)
      : max_bytes(max_bytes) {}

  void Add(const std::string& id, EndedJob job);
  /// Nothing for an unknown id.
  const EndedJob* Find(const std::string& id) const;
  /// Drops what is older than kEndedJobRetentionMs or beyond the size limit.
  void EvictExpired(TimeMs now);
  size_t size() const { return this->jobs.size(); }

 private:
  void EvictOldest();

  size_t max_bytes;
  size_t bytes = 0;
  std::unordered_map<std::string, EndedJob> jobs;
  std::deque<std::pair<TimeMs, std::string>> order;
};

}  // namespace dotterelcove
