#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

#include "node/Submission.h"
#include "tests/CellModel.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kDeadlineMs = 2'850;

/// A store and an owner with scripted answers, on virtual time.
struct SubmissionHarness {
  model::VirtualTime time;
  /// The answer to each direct insert and its delay; the last one repeats.
  std::vector<std::pair<JobAnswer, TimeMs>> direct_answers;
  JobAnswer owner_answer = JobAnswer::kStored;
  TimeMs owner_delay_ms = 20;
  TimeMs store_unresponsive_ms = 0;
  bool owner_reaches_store = true;
  size_t direct_tries = 0;
  size_t owner_tries = 0;
  int answers = 0;
  JobAnswer answer = JobAnswer::kNotFound;
  std::string through;
  TimeMs answered_ms = 0;
};

void Submit(SubmissionHarness& harness) {
  SubmissionPorts ports;
  ports.runtime.now = [&harness] { return harness.time.now_ms; };
  ports.runtime.after = [&harness](TimeMs delay_ms,
                                   std::function<void()> callback) {
    harness.time.After(delay_ms, std::move(callback));
  };
  ports.insert_directly = [&harness](const JobAnswerCallback& done) {
    const size_t index =
        std::min(harness.direct_tries++, harness.direct_answers.size() - 1);
    const auto [answer, delay_ms] = harness.direct_answers[index];
    harness.time.After(delay_ms, [done, answer] { done(answer, {}); });
  };
  ports.insert_through_owner =
      [&harness](const std::function<void(JobAnswer)>& done) {
        harness.owner_tries++;
        harness.time.After(harness.owner_delay_ms,
                           [&harness, done] { done(harness.owner_answer); });
      };
  ports.store_unresponsive_ms = [&harness] {
    return harness.store_unresponsive_ms;
  };
  ports.owner_reaches_store = [&harness] {
    return harness.owner_reaches_store;
  };
  const TimeMs began_ms = harness.time.now_ms;
  SubmitJob(std::move(ports), began_ms + kDeadlineMs,
            [&harness, began_ms](JobAnswer answer, const char* through,
                                 const StoreRow&) {
              harness.answers++;
              harness.answer = answer;
              harness.through = through;
              harness.answered_ms = harness.time.now_ms - began_ms;
            });
  harness.time.RunUntil(began_ms + 20'000);
  cr_expect_eq(harness.answers, 1);
}

}  // namespace

// Guards against callers that get no answer before their deadline. It happened
// because the submission waited for an insert in flight beyond the deadline
// (trouble-2 of vppca-yard, 33 jobs).
Test(Submission, answers_by_the_deadline) {
  SubmissionHarness harness;
  harness.direct_answers = {{JobAnswer::kUnknown, 1'500}};
  Submit(harness);
  cr_expect(harness.answer == JobAnswer::kUnknown);
  cr_expect_leq(harness.answered_ms, kDeadlineMs);
}

// Guards against doubled load on a slow store. The owner was asked after every
// insert without an answer, though the store still answered other requests.
Test(Submission, only_one_process_writes_to_a_slow_store) {
  SubmissionHarness harness;
  harness.direct_answers = {{JobAnswer::kUnknown, 250},
                            {JobAnswer::kStored, 450}};
  Submit(harness);
  cr_expect(harness.answer == JobAnswer::kStored);
  cr_expect_eq(harness.owner_tries, 0U);
}

// Guards against jobs that wait for a store which no process can reach.
Test(Submission, job_is_refused_at_once_while_the_store_is_unresponsive) {
  SubmissionHarness harness;
  harness.direct_answers = {{JobAnswer::kUnknown, 1'500}};
  harness.store_unresponsive_ms = 400;
  harness.owner_reaches_store = false;
  Submit(harness);
  cr_expect(harness.answer == JobAnswer::kRefused);
  cr_expect_eq(harness.answered_ms, 0);
  cr_expect_eq(harness.direct_tries, 0U);
}

// Guards against a process that does not ask the owner though the store refuses
// its inserts.
Test(Submission, owner_inserts_for_a_process_that_the_store_refuses) {
  SubmissionHarness harness;
  harness.direct_answers = {{JobAnswer::kRefused, 5}};
  Submit(harness);
  cr_expect(harness.answer == JobAnswer::kStored);
  cr_expect_str_eq(harness.through.c_str(), "owner");
}

// Guards against the answer "refused" for a job that an insert without an
// answer may have stored.
Test(Submission, job_in_doubt_is_never_refused) {
  SubmissionHarness harness;
  harness.direct_answers = {{JobAnswer::kUnknown, 250},
                            {JobAnswer::kRefused, 5}};
  harness.owner_answer = JobAnswer::kRefused;
  Submit(harness);
  cr_expect(harness.answer == JobAnswer::kUnknown);
}

}  // namespace dotterelcove
