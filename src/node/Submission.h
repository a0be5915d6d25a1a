/// Stores one job for a caller, directly or through the owner, and retries
/// until the outcome is known or the caller's deadline passes. Handles a store
/// that is slow, that refuses only this process, or that is unavailable to all.
#pragma once

#include <functional>

#include "base/Runtime.h"
#include "node/JobStore.h"
#include "node/SubmissionAttempts.h"

namespace dotterelcove {

/// A store that has not answered for this long counts as unresponsive.
inline constexpr TimeMs kStoreUnresponsiveMs = 250;

/// The functions through which a submission reaches the store.
struct SubmissionPorts {
  Runtime runtime;
  /// One insert by this process, without retries.
  std::function<void(JobOutcomeCallback)> insert_directly;
  /// One request to the owner to insert the job.
  std::function<void(JobOutcomeCallback)> insert_through_owner;
  /// How long the store has not answered this process, 0 while it does.
  std::function<TimeMs()> store_unresponsive_ms;
  std::function<bool()> owner_reaches_store;
};

struct SubmissionResult {
  JobAnswer answer = JobAnswer::kUnknown;
  /// The path that gave the answer: "store", "owner", "store_away" or
  /// "deadline".
  const char* through = "";
  /// The stored row if known.
  StoreRow row;
  SubmissionAttempts attempts;
};
using SubmissionCallback = std::function<void(const SubmissionResult&)>;

/// Calls back once, at `deadline_ms` (monotonic) at the latest. The answer is
/// kRefused only if no attempt can have stored the job.
void SubmitJob(SubmissionPorts ports, TimeMs deadline_ms,
               SubmissionCallback done);

/// Writes one line about a submission that took `took_ms`. It lists the
/// attempts unless the job was accepted without one in doubt.
void LogSubmission(const std::string& job, const std::string& queue,
                   const SubmissionResult& result, TimeMs now_ms,
                   TimeMs took_ms);

}  // namespace dotterelcove
