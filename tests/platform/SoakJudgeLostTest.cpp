// The judge of the soak, rule LOST: for each rule a record that breaks it, and
// near misses that do not. Guards against a soak that passes because its judge
// is blind, and against findings that the users' rules allow.
#include <string>

#include "tests/platform/SoakJudgeRecord.h"

namespace dotterelcove::soak {

// LOST, what clients are told.

Test(SoakJudge, lost_finds_an_accepted_job_that_is_not_known) {
  Observations seen = MakeDoneRecord();
  seen.calls.push_back(Asked(4'001, 410, ""));
  ExpectOnly(seen, Rule::kLost);
}

// "Later than `visible_ms` after the confirmation."
Test(SoakJudge, lost_allows_a_job_not_to_be_visible_at_first) {
  Observations seen = MakeDoneRecord();
  seen.calls.push_back(Asked(3'900, 410, ""));
  ExpectNone(seen);
  // An early 410 does not hide a later one.
  seen.calls.push_back(Asked(8'000, 410, ""));
  ExpectOnly(seen, Rule::kLost);
}

// "By a machine in touch."
Test(SoakJudge, lost_allows_410_by_a_daemon_that_is_not_in_touch) {
  Observations seen = MakeDoneRecord();
  seen.calls.push_back(Asked(8'000, 410, ""));
  seen.disruptions = {Disrupted(5'100, 5'200, "d1")};
  ExpectNone(seen);
  seen.disruptions = {Disrupted(5'100, 5'200, "d2")};
  ExpectOnly(seen, Rule::kLost);
  seen.disruptions = {Disrupted(4'000, 4'900, "d1")};
  ExpectOnly(seen, Rule::kLost);
}

Test(SoakJudge, lost_allows_410_after_the_cancelling_was_sent_only) {
  Observations seen = MakeDoneRecord();
  seen.calls.push_back(Cancelled(8'000, 200));
  seen.calls.push_back(Asked(9'000, 410, ""));
  ExpectNone(seen);
  seen.calls.push_back(Asked(7'000, 410, ""));
  ExpectOnly(seen, Rule::kLost);
}

Test(SoakJudge, lost_finds_a_job_that_failed_without_cause) {
  Observations seen = MakeRecord();
  seen.runs = {Event(2'000, RunEventKind::kStart, 1),
               Event(2'100, RunEventKind::kFailed, 1),
               Event(3'000, RunEventKind::kStart, 2),
               Event(3'100, RunEventKind::kCrashed, 2)};
  seen.calls.push_back(Asked(kAskedMs, 200, "failed"));
  // "Only ends `failed` count as attempts."
  ExpectOnly(seen, Rule::kLost);
  seen.runs.back().kind = RunEventKind::kFailed;
  ExpectNone(seen);
}

// The cause must have come before the answer.
Test(SoakJudge, lost_finds_a_job_shown_as_failed_too_early) {
  Observations seen = MakeRecord();
  seen.runs = {Event(2'000, RunEventKind::kStart, 1),
               Event(2'100, RunEventKind::kFailed, 1),
               Event(3'000, RunEventKind::kStart, 2),
               Event(3'100, RunEventKind::kFailed, 2)};
  seen.calls.push_back(Asked(2'500, 200, "failed"));
  seen.calls.push_back(Asked(kAskedMs, 200, "failed"));
  ExpectOnly(seen, Rule::kLost);
}

// A gang fails as often as its members do together.
Test(SoakJudge, lost_allows_a_gang_to_fail_by_several_members) {
  Observations seen = MakeRecord();
  seen.jobs["j1"].steps = {{2, {}, true, false, 1'000}};
  const std::string second = "j1.0.0.1";
  seen.runs = {Event(2'000, RunEventKind::kStart, 1),
               Event(2'000, RunEventKind::kStart, 1, "w2", second),
               Event(2'100, RunEventKind::kFailed, 1),
               Event(2'100, RunEventKind::kBroken, 1, "w2", second),
               Event(3'000, RunEventKind::kStart, 2),
               Event(3'000, RunEventKind::kStart, 2, "w2", second),
               Event(3'100, RunEventKind::kBroken, 2),
               Event(3'100, RunEventKind::kFailed, 2, "w2", second)};
  seen.calls.push_back(Asked(kAskedMs, 200, "failed"));
  ExpectNone(seen);
  seen.jobs["j1"].steps[0].gang = false;
  ExpectOnly(seen, Rule::kLost);
}

Test(SoakJudge, lost_finds_a_job_that_was_cancelled_without_a_request) {
  Observations seen = MakeDoneRecord();
  seen.calls.push_back(Asked(9'000, 200, "cancelled"));
  ExpectOnly(seen, Rule::kLost);
  seen.calls.push_back(Cancelled(8'900, 0));
  ExpectNone(seen);
}

Test(SoakJudge, lost_finds_a_job_without_an_answer_at_the_end) {
  Observations seen = MakeDoneRecord();
  seen.calls.back() = Asked(kAskedMs - 100, 200, "completed");
  seen.calls.push_back(Asked(kAskedMs, 504, ""));
  ExpectOnly(seen, Rule::kLost);
  // A retry that is answered is an answer.
  seen.calls.push_back(Asked(kAskedMs + 500, 200, "completed"));
  ExpectNone(seen);
}

Test(SoakJudge, lost_asks_at_the_end_only_for_accepted_jobs) {
  Observations seen = MakeRecord();
  seen.calls = {Submitted(990, 504), Submitted(1'990, 503)};
  ExpectNone(seen);
}

// LOST, jobs that are stuck.

Test(SoakJudge, lost_finds_a_job_stuck_at_the_end) {
  for (const char* state : {"queued", "running"}) {
    Observations seen = MakeRecord();
    seen.calls.push_back(Asked(kAskedMs, 200, state));
    ExpectOnly(seen, Rule::kLost);
  }
}

Test(SoakJudge, lost_allows_a_job_that_runs_at_the_end) {
  Observations seen = MakeRecord();
  seen.runs = {Event(kAskedMs - 2'000, RunEventKind::kStart, 1)};
  seen.calls.push_back(Asked(kAskedMs, 200, "running"));
  ExpectNone(seen);
  seen.runs = {Event(kAskedMs - 6'000, RunEventKind::kStart, 1),
               Event(kAskedMs - 2'900, RunEventKind::kStopped, 1)};
  ExpectNone(seen);
  seen.runs.back().at_ms = kAskedMs - 3'000;
  ExpectOnly(seen, Rule::kLost);
}

// "There is capacity for it twice over, and under half of the service's
// capacity is in use."
Test(SoakJudge, lost_allows_a_job_to_wait_while_the_service_is_full) {
  Observations seen = MakeRecord();
  seen.calls.push_back(Asked(kAskedMs, 200, "queued"));
  JobSpec other = seen.jobs["j1"];
  other.id = "j2";
  other.steps[0].milli_cores = 16'000;
  seen.jobs[other.id] = other;
  seen.runs = {Event(10'000, RunEventKind::kStart, 1, "w1", "j2.0.0.0")};
  ExpectNone(seen);
  seen.jobs["j2"].steps[0].milli_cores = 15'000;
  ExpectOnly(seen, Rule::kLost);
}

// Capacity on workers that may not run the step is none for it (ROUTE).
Test(SoakJudge, lost_counts_capacity_where_the_step_may_run) {
  Observations seen = MakeRecord();
  seen.calls.push_back(Asked(kAskedMs, 200, "queued"));
  StepSpec& step = seen.jobs["j1"].steps[0];
  step.max_per_worker = 1;
  ExpectOnly(seen, Rule::kLost);
  step.required_label = "b";
  ExpectNone(seen);
  step.max_per_worker = 2;
  ExpectOnly(seen, Rule::kLost);
  step.required_label = "c";
  ExpectNone(seen);
}

// A step whose earlier steps are not done has not come to its turn; the step
// that has is reported.
Test(SoakJudge, lost_finds_a_chain_that_stopped_in_the_middle) {
  Observations seen = MakeDoneRecord();
  seen.calls.back() = Asked(kAskedMs, 200, "running");
  seen.jobs["j1"].steps.push_back({1, {0}, false, false, 1'000});
  ExpectOnly(seen, Rule::kLost);
}

// LOST, tasks that last.

Observations MakeLastingRecord() {
  Observations seen = MakeRecord();
  seen.jobs["j1"].steps[0].long_running = true;
  seen.runs = {Event(2'000, RunEventKind::kStart, 1)};
  seen.calls.push_back(Asked(kAskedMs, 200, "running"));
  return seen;
}

Test(SoakJudge, lost_finds_a_lasting_task_without_a_run) {
  ExpectNone(MakeLastingRecord());
  ExpectOnly(
      With(MakeLastingRecord(), Event(20'000, RunEventKind::kStopped, 1)),
      Rule::kLost);
  ExpectOnly(
      With(MakeLastingRecord(), Event(53'900, RunEventKind::kStopped, 1)),
      Rule::kLost);
}

Test(SoakJudge, lost_allows_six_seconds_to_restart_a_lasting_task) {
  ExpectNone(
      With(MakeLastingRecord(), Event(54'100, RunEventKind::kStopped, 1)));
  ExpectNone(With(MakeLastingRecord(), Event(20'000, RunEventKind::kStopped, 1),
                  Event(25'900, RunEventKind::kStart, 2)));
}

// "At any time of the day, [...] if the 3 s and the 4 s before them are calm."
Test(SoakJudge, lost_finds_a_gap_of_a_lasting_task_in_calm_only) {
  Observations seen =
      With(MakeLastingRecord(), Event(20'000, RunEventKind::kStopped, 1),
           Event(27'000, RunEventKind::kStart, 2));
  ExpectOnly(seen, Rule::kLost);
  seen.disruptions = {Disrupted(19'000, 20'100, "", DisruptionScope::kWorkers)};
  ExpectNone(seen);
  seen.disruptions = {Disrupted(18'000, 18'900, "", DisruptionScope::kWorkers)};
  ExpectOnly(seen, Rule::kLost);
}

Test(SoakJudge, lost_finds_a_lasting_task_that_never_started) {
  Observations seen = MakeLastingRecord();
  seen.runs.clear();
  ExpectOnly(seen, Rule::kLost);
  seen.calls.front() = Submitted(kAskedMs - 5'900, 200);
  ExpectNone(seen);
}

// "Tasks that last have no such limit": their ends are no cause to give up.
Test(SoakJudge, lost_finds_a_lasting_job_that_is_given_up) {
  Observations seen = MakeLastingRecord();
  seen.calls.back() = Asked(kAskedMs, 200, "failed");
  seen = With(seen, Event(3'000, RunEventKind::kFailed, 1),
              Event(3'100, RunEventKind::kStart, 2),
              Event(4'000, RunEventKind::kFailed, 2),
              Event(4'100, RunEventKind::kStart, 3));
  ExpectOnly(seen, Rule::kLost);
}

}  // namespace dotterelcove::soak
