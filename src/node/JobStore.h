/// Operations on jobs that need only the store, not the owner: insert, cancel
/// and look up. A job is reported as accepted or cancelled only once this is
/// stored.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/NameTable.h"
#include "base/Runtime.h"
#include "store/RowStore.h"
#include "workflow/JobRows.h"

namespace dotterelcove {

enum class JobAnswer : uint8_t {
  /// Stored, by this request or an earlier one.
  kStored,
  kNotFound,
  /// Certainly nothing was done; the caller may retry.
  kRefused,
  /// The store has not answered: the change may have been made or may still be.
  kUnknown,
};
inline constexpr auto kJobAnswerNames =
    MakeNameTable<JobAnswer>({{JobAnswer::kStored, "stored"},
                              {JobAnswer::kNotFound, "not_found"},
                              {JobAnswer::kRefused, "refused"},
                              {JobAnswer::kUnknown, "unknown"}});

/// How a change to the job table ended.
struct JobOutcome {
  JobAnswer answer = JobAnswer::kUnknown;
  /// The stored row if known.
  StoreRow row;
  /// How the last call of the store ended, see StoreAnswer::reason.
  std::string reason;
  /// Calls of the store that were made.
  uint32_t calls = 0;
  /// The store rejects the request itself: another attempt is useless.
  bool is_final = false;
};
using JobOutcomeCallback = std::function<void(JobOutcome)>;

/// Stores a job unless its id is already stored, without retries.
void InsertJobOnce(const Runtime& runtime, const RowStore& store,
                   const std::string& key, const std::string& value,
                   JobOutcomeCallback done);

/// The same with retries until the outcome is known: an insert without an
/// answer is repeated, which is idempotent and resolves it. Gives kUnknown only
/// if `deadline_ms` (monotonic) passes first, or if the store rejects the
/// request itself.
void InsertJob(const Runtime& runtime, const RowStore& store,
               const std::string& key, const std::string& value,
               TimeMs deadline_ms, JobOutcomeCallback done);

/// Stores a cancellation request for a job, with retries as in InsertJob. For a
/// job that has ended it gives kStored without writing a row. One that is not
/// stored may still be on its way: it is stored as cancelled, and the answer is
/// kNotFound with that row. `may_store_unknown` limits such rows: if it returns
/// false, the answer is kRefused.
void InsertCancellation(const Runtime& runtime, const RowStore& store,
                        const std::string& id, TimeMs deadline_ms,
                        std::function<bool()> may_store_unknown,
                        JobOutcomeCallback done);

struct JobLookup {
  /// Status of the read; `found` and `phase` are valid for kOk.
  StoreStatus status = StoreStatus::kUnknown;
  bool found = false;
  workflow::JobPhase phase = workflow::JobPhase::kQueued;
};
/// Reads the phase of a job from the store.
void LookUpJob(const RowStore& store, const std::string& id,
               std::function<void(JobLookup)> done);

}  // namespace dotterelcove
