#include "node/Submission.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace dotterelcove {
namespace {

constexpr TimeMs kRetryMs = 60;
/// Number of refusals after which this process asks the owner to insert.
constexpr int kMaxRefusals = 2;

struct Submission {
  SubmissionPorts ports;
  TimeMs deadline_ms = 0;
  SubmissionCallback done;
  /// An attempt without an answer may have stored the job.
  bool in_doubt = false;
  bool owner_tried = false;
  int refusals = 0;
};
using SubmissionPtr = std::shared_ptr<Submission>;

void Continue(const SubmissionPtr& submission);

void Finish(const SubmissionPtr& submission, JobAnswer answer,
            const char* through, const StoreRow& row = {}) {
  if (!submission->done) return;
  std::exchange(submission->done, nullptr)(answer, through, row);
}

void ContinueLater(const SubmissionPtr& submission) {
  submission->ports.runtime.after(kRetryMs,
                                  [submission] { Continue(submission); });
}

void TryDirectInsert(const SubmissionPtr& submission) {
  submission->ports.insert_directly(
      [submission](JobAnswer answer, const StoreRow& row) {
        if (answer == JobAnswer::kStored) {
          Finish(submission, answer, "store", row);
          return;
        }
        if (answer == JobAnswer::kUnknown) submission->in_doubt = true;
        if (answer == JobAnswer::kRefused) submission->refusals++;
        ContinueLater(submission);
      });
}

void TryOwnerInsert(const SubmissionPtr& submission) {
  submission->owner_tried = true;
  submission->ports.insert_through_owner([submission](JobAnswer answer) {
    if (answer == JobAnswer::kStored) {
      Finish(submission, answer, "owner");
      return;
    }
    if (answer == JobAnswer::kUnknown) submission->in_doubt = true;
    if (answer == JobAnswer::kRefused) submission->refusals++;
    ContinueLater(submission);
  });
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
  if (!submission->in_doubt) {
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

}  // namespace dotterelcove
