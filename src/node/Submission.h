/// Stores one job for a caller, directly or through the owner, until its
/// outcome is known or the caller's time is up. Answers a store that is slow,
/// turns only this process away, or is away for all.
#pragma once

#include <functional>

#include "base/Runtime.h"
#include "node/JobStore.h"

namespace dotterelcove {

/// A store that has not answered for this long is away.
inline constexpr TimeMs kStoreUnresponsiveMs = 250;

/// How a submission reaches the store.
struct SubmissionPorts {
  Runtime runtime;
  /// One try of this process.
  std::function<void(JobAnswerCallback)> insert_directly;
  std::function<void(std::function<void(JobAnswer)>)> insert_through_owner;
  /// For how long the store has not answered this process, 0 while it does.
  std::function<TimeMs()> store_unresponsive_ms;
  std::function<bool()> owner_reaches_store;
};

/// `through` tells which way gave the answer. `row` is the stored row where it
/// is known.
using SubmissionCallback = std::function<void(
    JobAnswer answer, const char* through, const StoreRow& row)>;

/// Calls back once, at `deadline_ms` at the latest. The job is refused only
/// when no try can have stored it.
void SubmitJob(SubmissionPorts ports, TimeMs deadline_ms,
               SubmissionCallback done);

}  // namespace dotterelcove
