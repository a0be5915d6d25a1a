// The judge of the soak, rules on runs: for each rule a record that breaks it,
// and near misses that do not. Guards against a soak that passes because its
// judge is blind, and against findings that the users' rules allow.
#include <string>

#include "tests/platform/SoakJudgeRecord.h"

namespace dotterelcove::soak {

Test(SoakJudge, a_job_that_is_done_breaks_no_rule) {
  ExpectNone(MakeDoneRecord());
}

// TWICE, two at once.

Test(SoakJudge, twice_finds_two_runs_at_once) {
  const Observations seen =
      With(MakeDoneRecord(), Event(2'500, RunEventKind::kStart, 2, "w2"),
           Event(2'600, RunEventKind::kStopped, 2, "w2"));
  ExpectOnly(seen, Rule::kTwice);
}

Test(SoakJudge, twice_finds_two_runs_at_once_on_one_worker) {
  const Observations seen =
      With(MakeDoneRecord(), Event(2'500, RunEventKind::kStart, 2),
           Event(2'600, RunEventKind::kStopped, 2));
  ExpectOnly(seen, Rule::kTwice);
}

// "Those with a time bound not for orders that a runner carried out late": two
// at once has none.
Test(SoakJudge, twice_finds_a_late_order_beside_another_run) {
  const Observations seen =
      With(MakeDoneRecord(), Late(Event(2'500, RunEventKind::kStart, 2, "w2")),
           Event(2'600, RunEventKind::kStopped, 2, "w2"));
  ExpectOnly(seen, Rule::kTwice);
}

Test(SoakJudge, twice_allows_a_run_beside_one_of_a_crashed_worker) {
  Observations seen = MakeRecord();
  seen.runs = {Event(2'000, RunEventKind::kStart, 1),
               Event(2'400, RunEventKind::kCrashed, 1),
               Event(2'500, RunEventKind::kStart, 2, "w2"),
               Event(3'000, RunEventKind::kDone, 2, "w2"),
               Event(3'100, RunEventKind::kDoneAcknowledged, 2, "w2")};
  seen.calls.push_back(Asked(kAskedMs, 200, "completed"));
  ExpectNone(seen);
}

// The clock of a worker may be set back between two lives: the later one says
// that it began before the earlier one.
Test(SoakJudge, twice_tells_lives_apart_whose_clock_was_set_back) {
  Observations seen = MakeRecord();
  const auto later_life = [](RunEvent event) {
    event.incarnation = 0;
    return event;
  };
  seen.runs = {Event(2'000, RunEventKind::kStart, 1),
               Event(2'400, RunEventKind::kCrashed, 1),
               later_life(Event(2'500, RunEventKind::kStart, 2)),
               later_life(Event(3'000, RunEventKind::kDone, 2)),
               later_life(Event(3'100, RunEventKind::kDoneAcknowledged, 2))};
  seen.calls.push_back(Asked(kAskedMs, 200, "completed"));
  ExpectNone(seen);
  // The earlier life goes on, so its run does too.
  seen.runs.erase(seen.runs.begin() + 1);
  ExpectOnly(seen, Rule::kTwice);
}

// TWICE, after an end that was taken note of.

Test(SoakJudge, twice_finds_a_start_after_an_acknowledged_end) {
  ExpectOnly(With(MakeDoneRecord(), Event(3'500, RunEventKind::kStart, 2, "w2"),
                  Event(3'600, RunEventKind::kStopped, 2, "w2")),
             Rule::kTwice);
}

// "If that end is taken note of then or later."
Test(SoakJudge, twice_finds_a_start_before_the_end_is_acknowledged) {
  ExpectOnly(With(MakeDoneRecord(), Event(3'050, RunEventKind::kStart, 2, "w2"),
                  Event(3'600, RunEventKind::kStopped, 2, "w2")),
             Rule::kTwice);
}

Test(SoakJudge, twice_allows_a_start_after_an_end_whose_lease_lapsed) {
  Observations seen = MakeRecord();
  // The worker acknowledges nothing once its lease has lapsed.
  seen.runs = {Event(2'000, RunEventKind::kStart, 1),
               Event(3'000, RunEventKind::kDone, 1),
               Event(9'500, RunEventKind::kStart, 2, "w2"),
               Event(10'000, RunEventKind::kDone, 2, "w2"),
               Event(10'100, RunEventKind::kDoneAcknowledged, 2, "w2")};
  seen.calls.push_back(Asked(kAskedMs, 200, "completed"));
  ExpectNone(seen);
}

// "With no impairment near, an end counts as taken note of 100 ms after a
// runner has listed it."
Test(SoakJudge, twice_finds_a_start_after_a_listed_end_in_calm_only) {
  Observations seen = MakeRecord();
  seen.runs = {Event(2'000, RunEventKind::kStart, 1),
               Event(3'000, RunEventKind::kDone, 1),
               Event(3'010, RunEventKind::kListed, 1),
               Event(9'500, RunEventKind::kStart, 2, "w2"),
               Event(10'000, RunEventKind::kStopped, 2, "w2")};
  seen.calls.push_back(Asked(kAskedMs, 200, "completed"));
  ExpectOnly(seen, Rule::kTwice);
  seen.disruptions = {Disrupted(3'050, 9'000, "", DisruptionScope::kWorkers)};
  ExpectNone(seen);
}

// "One such end represents all of them" (PROTOCOL.md on gangs).
Test(SoakJudge, twice_takes_the_end_of_a_gang_member_for_all) {
  Observations seen = MakeRecord();
  seen.jobs["j1"].steps = {{2, {}, true, false, 1'000}};
  const std::string second = "j1.0.0.1";
  seen.runs = {Event(2'000, RunEventKind::kStart, 1),
               Event(2'000, RunEventKind::kStart, 1, "w2", second),
               Event(2'900, RunEventKind::kCrashed, 1, "w2", second),
               Event(3'000, RunEventKind::kDone, 1)};
  seen.calls.push_back(Asked(kAskedMs, 200, "completed"));
  ExpectNone(With(seen, Event(3'100, RunEventKind::kDoneAcknowledged, 1)));
  ExpectOnly(With(seen, Event(3'100, RunEventKind::kDoneAcknowledged, 1),
                  Event(3'500, RunEventKind::kStart, 2, "w2", second),
                  Event(3'600, RunEventKind::kStopped, 2, "w2", second)),
             Rule::kTwice);
}

// "Over a second after [...] the job was shown as `completed`", by a machine in
// touch, and not for late orders.
Test(SoakJudge, twice_finds_a_start_after_the_job_was_completed) {
  Observations seen = MakeRecord();
  seen.runs = {Event(2'000, RunEventKind::kStart, 1),
               Event(3'000, RunEventKind::kDone, 1)};
  seen.calls.push_back(Asked(3'200, 200, "completed"));
  seen.calls.push_back(Asked(kAskedMs, 200, "completed"));
  const RunEvent end = Event(9'600, RunEventKind::kStopped, 2, "w2");
  const RunEvent start = Event(9'500, RunEventKind::kStart, 2, "w2");
  ExpectOnly(With(seen, start, end), Rule::kTwice);
  ExpectNone(With(seen, Late(start), end));
  ExpectNone(With(seen, Event(4'000, RunEventKind::kStart, 2, "w2"),
                  Event(4'100, RunEventKind::kStopped, 2, "w2")));
  seen.disruptions = {Disrupted(6'600, 6'700, "d2")};
  ExpectNone(With(seen, start, end));
}

// REFUSED.

Test(SoakJudge, refused_finds_a_run_of_a_job_that_all_attempts_rejected) {
  for (const int status : {503, 429, 404, 400}) {
    Observations seen = MakeRecord();
    seen.calls = {Submitted(900, 503), Submitted(1'900, status)};
    seen.runs = {Event(5'000, RunEventKind::kStart, 1),
                 Event(5'100, RunEventKind::kDone, 1)};
    ExpectOnly(seen, Rule::kRefused);
  }
}

Test(SoakJudge, refused_allows_a_run_if_one_attempt_was_in_doubt) {
  for (const int status : {0, 500, 502, 504}) {
    Observations seen = MakeRecord();
    seen.calls = {Submitted(900, status), Submitted(1'900, 503)};
    seen.runs = {Event(5'000, RunEventKind::kStart, 1),
                 Event(5'100, RunEventKind::kDone, 1)};
    ExpectNone(seen);
  }
}

// BUDGET.

Observations MakeFailedRecord() {
  Observations seen = MakeRecord();
  seen.runs = {Event(2'000, RunEventKind::kStart, 1),
               Event(2'100, RunEventKind::kFailed, 1),
               Event(2'200, RunEventKind::kFailedAcknowledged, 1),
               Event(3'000, RunEventKind::kStart, 2),
               Event(3'100, RunEventKind::kFailed, 2)};
  seen.calls.push_back(Asked(kAskedMs, 200, "failed"));
  return seen;
}

Test(SoakJudge, budget_finds_a_start_after_all_attempts_have_failed) {
  ExpectNone(MakeFailedRecord());
  ExpectOnly(With(MakeFailedRecord(),
                  Event(3'200, RunEventKind::kFailedAcknowledged, 2),
                  Event(4'000, RunEventKind::kStart, 3),
                  Event(4'100, RunEventKind::kStopped, 3)),
             Rule::kBudget);
}

// "If these ends are taken note of then or later."
Test(SoakJudge, budget_counts_ends_that_are_acknowledged_after_the_start) {
  ExpectOnly(With(MakeFailedRecord(), Event(4'000, RunEventKind::kStart, 3),
                  Event(4'100, RunEventKind::kStopped, 3),
                  Event(4'200, RunEventKind::kFailedAcknowledged, 2)),
             Rule::kBudget);
}

Test(SoakJudge, budget_allows_a_start_after_an_end_that_nobody_noted) {
  ExpectNone(With(MakeFailedRecord(), Event(9'500, RunEventKind::kStart, 3),
                  Event(9'600, RunEventKind::kStopped, 3)));
}

Test(SoakJudge, budget_allows_any_number_of_crashes) {
  Observations seen = MakeDoneRecord();
  seen.runs.clear();
  for (uint32_t run = 1; run < 6; ++run) {
    seen = With(seen, Event(1'000 * run + 500, RunEventKind::kStart, run),
                Event(1'000 * run + 600, RunEventKind::kCrashed, run));
  }
  ExpectNone(With(seen, Event(10'000, RunEventKind::kStart, 6),
                  Event(10'100, RunEventKind::kDone, 6)));
}

// "Tasks that last have no such limit."
Test(SoakJudge, budget_does_not_hold_for_tasks_that_last) {
  Observations seen = With(MakeFailedRecord(),
                           Event(3'200, RunEventKind::kFailedAcknowledged, 2),
                           Event(4'000, RunEventKind::kStart, 3));
  seen.jobs["j1"].steps[0].long_running = true;
  seen.calls.back() = Asked(kAskedMs, 200, "running");
  ExpectNone(seen);
}

// ORDER.

Test(SoakJudge, order_finds_a_start_before_an_earlier_step_is_done) {
  Observations seen = MakeDoneRecord();
  seen.jobs["j1"].steps = {{2, {}, false, false, 1'000},
                           {1, {0}, false, false, 1'000}};
  const std::string second = "j1.0.0.1";
  const std::string third = "j1.0.1.0";
  seen = With(seen, Event(2'000, RunEventKind::kStart, 1, "w2", second),
              Event(3'500, RunEventKind::kDone, 1, "w2", second));
  ExpectNone(With(seen, Event(3'600, RunEventKind::kStart, 1, "w1", third),
                  Event(3'700, RunEventKind::kDone, 1, "w1", third)));
  ExpectOnly(With(seen, Event(3'400, RunEventKind::kStart, 1, "w1", third),
                  Event(3'700, RunEventKind::kDone, 1, "w1", third)),
             Rule::kOrder);
}

// "All tasks [...] have ended `done`": an end whose lease lapsed counts too.
Test(SoakJudge, order_allows_a_start_after_an_end_that_nobody_noted) {
  Observations seen = MakeDoneRecord();
  seen.runs.pop_back();
  seen.jobs["j1"].steps.push_back({1, {0}, false, false, 1'000});
  const std::string second = "j1.0.1.0";
  ExpectNone(With(seen, Event(3'600, RunEventKind::kStart, 1, "w1", second),
                  Event(3'700, RunEventKind::kDone, 1, "w1", second)));
}

// UNASKED.

Test(SoakJudge, unasked_finds_a_task_that_nobody_handed_in) {
  for (const char* task : {"j9.0.0.0", "j1.0.7.0", "j1.0.0.9", "j1.3.0.0"}) {
    ExpectOnly(With(MakeDoneRecord(),
                    Event(5'000, RunEventKind::kStart, 1, "w1", task),
                    Event(5'100, RunEventKind::kStopped, 1, "w1", task)),
               Rule::kUnasked);
  }
}

Test(SoakJudge, unasked_finds_a_start_with_another_spec) {
  Observations seen = MakeDoneRecord();
  seen.jobs["j1"].spec = "ms=100";
  seen.runs[0].spec = "ms=100";
  ExpectNone(seen);
  seen.runs[0].spec = "ms=101";
  ExpectOnly(seen, Rule::kUnasked);
}

/// A job whose cancelling was acknowledged at 10,010 ms.
Observations MakeCancelledRecord() {
  Observations seen = MakeRecord();
  seen.calls.push_back(Cancelled(10'000, 200));
  return seen;
}

Test(SoakJudge, unasked_finds_a_start_after_the_job_was_cancelled) {
  const RunEvent start = Event(13'011, RunEventKind::kStart, 1);
  const RunEvent end = Event(13'100, RunEventKind::kStopped, 1);
  Observations seen = MakeCancelledRecord();
  ExpectOnly(With(seen, start, end), Rule::kUnasked);
  // "Later than `cancel_ms`."
  ExpectNone(With(seen, Event(13'010, RunEventKind::kStart, 1), end));
  ExpectNone(With(seen, Late(start), end));
  // "A machine in touch starts a task."
  seen.disruptions = {Disrupted(12'000, 13'000, "d2")};
  ExpectNone(With(seen, start, end));
}

Test(SoakJudge, unasked_finds_a_run_that_goes_on_after_the_cancelling) {
  const RunEvent start = Event(5'000, RunEventKind::kStart, 1);
  Observations seen = MakeCancelledRecord();
  ExpectOnly(With(seen, start), Rule::kUnasked);
  ExpectOnly(With(seen, start, Event(13'911, RunEventKind::kStopped, 1)),
             Rule::kUnasked);
  // "`stop_timeout_ms` after that."
  ExpectNone(With(seen, start, Event(13'910, RunEventKind::kStopped, 1)));
  // "With no impairment near that time."
  seen.disruptions = {Disrupted(12'000, 13'000, "", DisruptionScope::kWorkers)};
  ExpectNone(With(seen, start, Event(15'000, RunEventKind::kStopped, 1)));
}

// Without an answer, the cancelling is not acknowledged.
Test(SoakJudge, unasked_allows_runs_after_a_cancelling_in_doubt) {
  Observations seen = MakeRecord();
  seen.calls.push_back(Cancelled(10'000, 504));
  ExpectNone(With(seen, Event(15'000, RunEventKind::kStart, 1)));
}

// ACKNOWLEDGED. Guards against an owner that acknowledges to one life of a
// worker what another one had listed.

Test(SoakJudge, acknowledged_finds_an_end_that_no_answer_had_listed) {
  ExpectOnly(With(MakeDoneRecord(),
                  Event(3'100, RunEventKind::kAcknowledgedUnseen, 1)),
             Rule::kAcknowledged);
}

Test(SoakJudge, acknowledged_allows_an_end_that_was_listed) {
  ExpectNone(With(MakeDoneRecord(), Event(3'050, RunEventKind::kListed, 1)));
}

// MIXED.

Test(SoakJudge, mixed_finds_a_job_completed_before_its_tasks) {
  Observations seen = MakeDoneRecord();
  seen.calls.push_back(Asked(2'500, 200, "completed"));
  ExpectOnly(seen, Rule::kMixed);
  seen.calls.back() = Asked(3'000, 200, "completed");
  ExpectNone(seen);
}

}  // namespace dotterelcove::soak
