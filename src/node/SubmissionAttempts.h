/// The attempts of one submission, for its log line.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/Runtime.h"
#include "node/JobStore.h"

namespace dotterelcove {

/// One attempt to store a job.
struct SubmissionAttempt {
  /// "store" for an insert by this process, "owner" for one by the owner.
  const char* path = "";
  bool answered = false;
  JobAnswer answer = JobAnswer::kUnknown;
  /// Status or failure of the call, see StoreAnswer::reason.
  std::string reason;
  TimeMs began_ms = 0;
  TimeMs took_ms = 0;
  /// Version of the stored row, 0 if not known.
  uint64_t row_version = 0;
};

/// Keeps the first and the last attempts, so that the length is bounded however
/// long the caller waits.
struct SubmissionAttempts {
  std::vector<SubmissionAttempt> first;
  std::deque<SubmissionAttempt> last;
  size_t total = 0;
  /// An attempt without a definite answer may have stored the job.
  bool in_doubt = false;
};

/// Adds an attempt that begins now. Only the newest attempt may be open.
void BeginAttempt(SubmissionAttempts& attempts, const char* path,
                  TimeMs now_ms);
/// Ends the newest attempt with its outcome.
void EndAttempt(SubmissionAttempts& attempts, const JobOutcome& outcome,
                TimeMs now_ms);

/// One entry for each attempt in order, as "path=answer/reason/took_ms", with
/// "/vN" for a known row version. An attempt that is still open has the answer
/// "open". Attempts left out in the middle are counted, as "+N".
std::string FormatAttempts(const SubmissionAttempts& attempts, TimeMs now_ms);

}  // namespace dotterelcove
