#include "node/Submission.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kRetryMs = 60;
/// Number of refusals after which this process asks the owner to insert.
constexpr int kMaxRefusals = 2;

struct Submission {
  SubmissionPorts ports;
  TimeMs deadline_ms = 0;
  SubmissionCallback done;
  SubmissionAttempts attempts;
  bool owner_tried = false;
  int refusals = 0;
};
using SubmissionPtr = std::shared_ptr<Submission>;

void Continue(const SubmissionPtr& submission);

void Finish(const SubmissionPtr& submission, JobAnswer answer,
            const char* through, const StoreRow& row = {}) {
  if (!submission->done) return;
  std::exchange(submission->done,
                nullptr)({answer, through, row, submission->attempts});
}

void ContinueLater(const SubmissionPtr& submission) {
  submission->ports.runtime.after(kRetryMs,
                                  [submission] { Continue(submission); });
}

/// Makes one attempt and continues after it unless the job is stored.
void Try(const SubmissionPtr& submission, const char* path,
         const std::function<void(JobOutcomeCallback)>& insert) {
  BeginAttempt(submission->attempts, path, submission->ports.runtime.now());
  insert([submission, path](const JobOutcome& outcome) {
    EndAttempt(submission->attempts, outcome, submission->ports.runtime.now());
    if (outcome.answer == JobAnswer::kStored) {
      Finish(submission, outcome.answer, path, outcome.row);
      return;
    }
    if (outcome.is_final) {
      Finish(submission, outcome.answer, path);
      return;
    }
    if (outcome.answer == JobAnswer::kRefused) submission->refusals++;
    ContinueLater(submission);
  });
}

void TryDirectInsert(const SubmissionPtr& submission) {
  Try(submission, "store", submission->ports.insert_directly);
}

void TryOwnerInsert(const SubmissionPtr& submission) {
  submission->owner_tried = true;
  Try(submission, "owner", submission->ports.insert_through_owner);
}

void Continue(const SubmissionPtr& submission) {
  if (!submission->done) return;
  const SubmissionPorts& ports = submission->ports;
  const bool cannot_insert_directly =
      ports.store_unresponsive_ms() >= kStoreUnresponsiveMs ||
      submission->refusals >= kMaxRefusals;
  if (!cannot_insert_directly) {
    TryDirectInsert(submission);
    return;
  }
  if (!submission->owner_tried && ports.owner_reaches_store()) {
    TryOwnerInsert(submission);
    return;
  }
  // A job that is certainly not stored does not wait for an unresponsive store:
  // after an attempt without an answer it could no longer be refused.
  if (!submission->attempts.in_doubt) {
    Finish(submission, JobAnswer::kRefused, "store_away");
    return;
  }
  TryDirectInsert(submission);
}

}  // namespace

void SubmitJob(SubmissionPorts ports, TimeMs deadline_ms,
               SubmissionCallback done) {
  const auto submission = std::make_shared<Submission>();
  submission->ports = std::move(ports);
  submission->deadline_ms = deadline_ms;
  submission->done = std::move(done);
  const TimeMs left_ms = deadline_ms - submission->ports.runtime.now();
  // An attempt in flight at the deadline may still store the job.
  submission->ports.runtime.after(std::max<TimeMs>(left_ms, 0), [submission] {
    Finish(submission, JobAnswer::kUnknown, "deadline");
  });
  Continue(submission);
}

void LogSubmission(const std::string& job, const std::string& queue,
                   const SubmissionResult& result, TimeMs now_ms,
                   TimeMs took_ms) {
  const bool stored = result.answer == JobAnswer::kStored;
  const LogLevel level = stored ? LogLevel::kInfo : LogLevel::kWarning;
  const char* event = stored ? "job_accepted" : "job_not_accepted";
  const std::string_view answer = NameOf(kJobAnswerNames, result.answer);
  if (stored && !result.attempts.in_doubt) {
    Log(level, event,
        {F("job", job), F("queue", queue), F("answer", answer),
         F("through", result.through), F("took_ms", took_ms)});
    return;
  }
  Log(level, event,
      {F("job", job), F("queue", queue), F("answer", answer),
       F("through", result.through), F("took_ms", took_ms),
       F("in_doubt", result.attempts.in_doubt),
       F("attempts", FormatAttempts(result.attempts, now_ms))});
}

}  // namespace dotterelcove
