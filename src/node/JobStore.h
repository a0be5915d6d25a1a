/// What callers ask of jobs, answered from the store alone: accept, cancel and
/// look up. An answer of "accepted" or "cancelled" means that it is stored.
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
  /// Stored, now or earlier.
  kStored,
  kNotFound,
  /// Nothing was done, for certain; the caller may try again.
  kRefused,
  /// The store has not answered: the change may have been made or may yet be.
  kUnknown,
};
inline constexpr auto kJobAnswerNames =
    MakeNameTable<JobAnswer>({{JobAnswer::kStored, "stored"},
                              {JobAnswer::kNotFound, "not_found"},
                              {JobAnswer::kRefused, "refused"},
                              {JobAnswer::kUnknown, "unknown"}});

using JobAnswerCallback = std::function<void(JobAnswer, StoreRow stored)>;

/// Stores a job unless its id is stored already, in one try.
void InsertJobOnce(const Runtime& runtime, const RowStore& store,
                   const std::string& key, const std::string& value,
                   JobAnswerCallback done);

/// The same until the outcome is known: after an unanswered try the insert is
/// tried again, so that the truth is known before an answer; kUnknown comes
/// only when `deadline_ms` (monotonic) passes first.
void InsertJob(const Runtime& runtime, const RowStore& store,
               const std::string& key, const std::string& value,
               TimeMs deadline_ms, JobAnswerCallback done);

/// Stores the wish to cancel a job; an ended job needs no row.
void InsertCancellation(const Runtime& runtime, const RowStore& store,
                        const std::string& id, TimeMs deadline_ms,
                        JobAnswerCallback done);

struct JobLookup {
  StoreStatus status = StoreStatus::kUnknown;
  bool found = false;
  workflow::JobPhase phase = workflow::JobPhase::kQueued;
};
/// What the store tells of a job.
void LookUpJob(const RowStore& store, const std::string& id,
               std::function<void(JobLookup)> done);

}  // namespace dotterelcove
