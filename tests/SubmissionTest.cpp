#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

#include "node/Submission.h"
#include "telemetry/Log.h"
#include "tests/CellModel.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kDeadlineMs = 2'850;

/// A store and an owner with scripted answers, on virtual time.
struct SubmissionHarness {
  model::VirtualTime time;
  /// The answer to each direct insert and its delay; the last one repeats.
  std::vector<std::pair<JobAnswer, TimeMs>> direct_answers;
  /// The store rejects each direct insert itself.
  bool is_final = false;
  JobAnswer owner_answer = JobAnswer::kStored;
  TimeMs owner_delay_ms = 20;
  TimeMs store_unresponsive_ms = 0;
  bool owner_reaches_store = true;
  size_t direct_tries = 0;
  size_t owner_tries = 0;
  int answers = 0;
  JobAnswer answer = JobAnswer::kNotFound;
  std::string through;
  SubmissionResult result;
  TimeMs answered_ms = 0;
};

void Submit(SubmissionHarness& harness) {
  SubmissionPorts ports;
  ports.runtime.now = [&harness] { return harness.time.now_ms; };
  ports.runtime.after = [&harness](TimeMs delay_ms,
                                   std::function<void()> callback) {
    harness.time.After(delay_ms, std::move(callback));
  };
  ports.insert_directly = [&harness](const JobOutcomeCallback& done) {
    const size_t index =
        std::min(harness.direct_tries++, harness.direct_answers.size() - 1);
    const auto [answer, delay_ms] = harness.direct_answers[index];
    harness.time.After(delay_ms, [&harness, done, answer] {
      JobOutcome outcome{answer, {}, "503"};
      outcome.is_final = harness.is_final;
      done(outcome);
    });
  };
  ports.insert_through_owner = [&harness](const JobOutcomeCallback& done) {
    harness.owner_tries++;
    harness.time.After(harness.owner_delay_ms, [&harness, done] {
      done({harness.owner_answer, {}, "reply"});
    });
  };
  ports.store_unresponsive_ms = [&harness] {
    return harness.store_unresponsive_ms;
  };
  ports.owner_reaches_store = [&harness] {
    return harness.owner_reaches_store;
  };
  const TimeMs began_ms = harness.time.now_ms;
  SubmitJob(std::move(ports), began_ms + kDeadlineMs,
            [&harness, began_ms](const SubmissionResult& result) {
              harness.answers++;
              harness.answer = result.answer;
              harness.through = result.through;
              harness.result = result;
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

// Guards against a caller that waits for its whole deadline, and against load
// on the store, for a job that the store rejects as such.
Test(Submission, job_that_the_store_rejects_is_not_tried_again) {
  SubmissionHarness harness;
  harness.direct_answers = {{JobAnswer::kUnknown, 5}};
  harness.is_final = true;
  Submit(harness);
  cr_expect(harness.answer == JobAnswer::kUnknown);
  cr_expect_eq(harness.direct_tries, 1U);
  cr_expect_eq(harness.owner_tries, 0U);
  cr_expect_eq(harness.answered_ms, 5);
}

// Guards against a refusal that logs cannot explain: its line told the last
// path only, so a refusal after an attempt in doubt looked like any other.
Test(Submission, refused_job_is_logged_with_its_attempts) {
  std::vector<std::string> lines;
  SetLogOutput([&](const std::string& line) { lines.push_back(line); });
  SubmissionHarness harness;
  harness.direct_answers = {{JobAnswer::kRefused, 5}};
  harness.owner_answer = JobAnswer::kRefused;
  Submit(harness);
  LogSubmission("71f6feee1b777b16", "q/", harness.result, harness.answered_ms,
                harness.answered_ms);
  SetLogOutput(nullptr);
  cr_assert_eq(lines.size(), 1U);
  cr_expect(lines[0].find(R"("event":"job_not_accepted")") !=
            std::string::npos);
  cr_expect(lines[0].find(R"("in_doubt":false)") != std::string::npos);
  cr_expect(lines[0].find("store=refused/503/5 store=refused/503/5 "
                          "owner=refused/reply/20") != std::string::npos,
            "%s", lines[0].c_str());
}

// Guards against an accepted job whose doubtful attempt no line tells, and
// against longer lines for all other accepted jobs.
Test(Submission, accepted_job_is_logged_with_its_attempts_after_a_doubt) {
  for (const bool in_doubt : {false, true}) {
    std::vector<std::string> lines;
    SetLogOutput([&](const std::string& line) { lines.push_back(line); });
    SubmissionHarness harness;
    harness.direct_answers = {
        {in_doubt ? JobAnswer::kUnknown : JobAnswer::kStored, 250},
        {JobAnswer::kStored, 5}};
    Submit(harness);
    LogSubmission("71f6feee1b777b16", "q/", harness.result, harness.answered_ms,
                  harness.answered_ms);
    SetLogOutput(nullptr);
    cr_assert_eq(lines.size(), 1U);
    cr_expect_eq(lines[0].find("attempts") != std::string::npos, in_doubt);
  }
}

// Guards against a line, or memory, that grows with the caller's deadline, and
// against a missing entry for the attempt that the deadline cut off.
Test(Submission, list_of_attempts_is_bounded) {
  SubmissionHarness harness;
  harness.direct_answers = {{JobAnswer::kUnknown, 1}};
  Submit(harness);
  const SubmissionAttempts& attempts = harness.result.attempts;
  cr_expect_gt(attempts.total, 30U);
  cr_expect(attempts.in_doubt);
  const std::string text = FormatAttempts(attempts, kDeadlineMs);
  cr_expect_leq(text.size(), 300U, "%s", text.c_str());
  cr_expect(text.find(" +") != std::string::npos);
  SubmissionHarness slow;
  slow.direct_answers = {{JobAnswer::kUnknown, 9'000}};
  Submit(slow);
  const TimeMs ended_ms = model::VirtualTime().now_ms + kDeadlineMs;
  cr_expect_str_eq(FormatAttempts(slow.result.attempts, ended_ms).c_str(),
                   "store=open/2850");
}

}  // namespace dotterelcove
