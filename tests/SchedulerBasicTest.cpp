/// Tests of the scheduler daemon without faults: placement, records,
/// idempotency keys, cancellation, status queries, planned stops and drains.
#include <criterion/criterion.h>

#include "base/Hash.h"
#include "standins/WorkerVerdict.h"
#include "tests/SchedulerHarness.h"

namespace dotterelcove::tests {
namespace {

Outcome OutcomeOf(const SubmittedJob& job) {
  return static_cast<Outcome>(job.outcome.outcome);
}

std::string BodyOf(const wire::OutcomeT& outcome) {
  return {outcome.body.begin(), outcome.body.end()};
}

}  // namespace

// Guards against losing a job of any kind between its Submit and its Outcome.
Test(SchedulerBasic, every_kind_of_job_ends, .timeout = 60) {
  SchedulerHarness cell;
  cr_assert(cell.WaitForOwner());
  const auto entry = cell.MakeEntry("entry-1");
  entry->Submit("held-open");
  entry->Submit("durable", {.durable = true});
  entry->Submit("not-idempotent", {.idempotent = false});
  entry->Submit("urgent", {.request_class = RequestClass::kUrgent});
  entry->Submit("many", {.durable = true, .tasks = 3});
  entry->Submit("gang", {.durable = true, .tasks = 4, .gang = true});
  cr_assert(cell.WaitForOutcomes(*entry));
  for (const auto& [id, job] : entry->jobs) {
    cr_expect(job.accepted);
    cr_expect_eq(OutcomeOf(job), Outcome::kDone, "%s", job.submit.key.c_str());
    cr_expect_eq(job.outcomes, 1);
  }
  const std::string many = MakeJobId("caller-1", "many");
  cr_expect_eq(BodyOf(entry->jobs[many].outcome),
               R"({"results":["ok","ok","ok"]})");
  cr_expect(cell.HasNoViolations(*entry));
}

// Guards against running the job of one key twice, and against answering a
// different body under the same key with the result of the first.
Test(SchedulerBasic, same_key_joins_and_other_body_conflicts, .timeout = 60) {
  SchedulerHarness cell;
  cr_assert(cell.WaitForOwner());
  const auto first = cell.MakeEntry("entry-1");
  const auto second = cell.MakeEntry("entry-2");
  const std::string id = first->Submit("key", {.durable = true});
  second->Submit("key", {.durable = true});
  cr_assert(cell.WaitForOutcomes(*first));
  cr_assert(cell.WaitForOutcomes(*second));
  cr_expect_eq(BodyOf(second->jobs[id].outcome),
               BodyOf(first->jobs[id].outcome));
  cr_expect_eq(standins::CountEntries(cell.workers->journal().entries(),
                                      standins::JournalEvent::kStarted, id),
               1);
  const auto third = cell.MakeEntry("entry-3");
  third->Submit("key", {.durable = true, .payload = R"({"run_ms": 1})"});
  cr_assert(cell.WaitForOutcomes(*third));
  cr_expect_eq(third->jobs[id].reply.status, wire::SubmitStatus::Conflict);
}

// Guards against losing a result that is too large for a row or a frame.
Test(SchedulerBasic, large_result_is_in_the_object_store, .timeout = 60) {
  SchedulerHarness cell;
  cr_assert(cell.WaitForOwner());
  const auto entry = cell.MakeEntry("entry-1");
  const std::string held = entry->Submit(
      "held", {.payload = R"({"run_ms": 1, "result_bytes": 400000})"});
  const std::string recorded = entry->Submit(
      "recorded",
      {.durable = true, .payload = R"({"run_ms": 1, "result_bytes": 20000})"});
  cr_assert(cell.WaitForOutcomes(*entry));
  cr_expect_eq(entry->jobs[held].outcome.object, "result/" + held);
  cr_expect_eq(entry->jobs[recorded].outcome.body.size(), 20000);
  HttpClient http(cell.loop);
  size_t stored = 0;
  for (const std::string& id : {held, recorded}) {
    GetObject({http, cell.platform->url()}, "result/" + id,
              [&stored](const ObjectResult& result) {
                if (result.found) stored += result.content.size();
              });
  }
  cr_expect(cell.RunUntil([&stored] { return stored == 420000; }));
}

// Guards against accepting, or refusing only late, a job that fits on no
// worker.
Test(SchedulerBasic, job_that_fits_nowhere_is_refused, .timeout = 60) {
  SchedulerHarness cell;
  cr_assert(cell.WaitForOwner());
  const auto entry = cell.MakeEntry("entry-1");
  cr_assert(cell.RunUntil([&] {
    const auto* workers = cell.Owner()->daemon->scheduler().term()->workers();
    return workers->ids().size() == 4;
  }));
  const std::string id =
      entry->Submit("huge", {.durable = true, .milli_cores = 64'000});
  cr_assert(cell.WaitForOutcomes(*entry));
  cr_expect_eq(entry->jobs[id].reply.status, wire::SubmitStatus::Refused);
  cr_expect(!entry->jobs[id].reply.message.empty());
}

// Guards against reporting "not run" for a cancelled job that had started, and
// against running a job after it was reported as "not run".
Test(SchedulerBasic, cancel_tells_whether_it_ran, .timeout = 60) {
  HarnessOptions options;
  options.workers = 1;
  options.worker_cores = 1;
  SchedulerHarness cell(options);
  cr_assert(cell.WaitForOwner());
  const auto entry = cell.MakeEntry("entry-1");
  const std::string running =
      entry->Submit("running", {.payload = R"({"run_ms": -1})"});
  cr_assert(cell.RunUntil([&] { return cell.workers->running("w-0") == 1; }));
  const std::string queued = entry->Submit("queued");
  cr_assert(cell.RunUntil([&] { return entry->jobs[queued].accepted; }));
  for (const char* key : {"queued", "running"}) {
    wire::CancelT cancel;
    cancel.call = 77;
    cancel.caller = "caller-1";
    cancel.key = key;
    entry->SendToOwner(MakeFrame(std::move(cancel)));
  }
  cr_assert(cell.WaitForOutcomes(*entry));
  cr_expect_eq(entry->cancels.size(), 2);
  cr_expect_eq(OutcomeOf(entry->jobs[queued]), Outcome::kNotRun);
  cr_expect_eq(OutcomeOf(entry->jobs[running]), Outcome::kDone);
  cr_expect_eq(cell.workers->running("w-0"), 0);
  cr_expect(cell.HasNoViolations(*entry));
}

// Guards against a handle that stops working when its job ends, or when a new
// owner does not have the job in memory.
Test(SchedulerBasic, status_is_answered_before_and_after_the_end,
     .timeout = 60) {
  SchedulerHarness cell;
  cr_assert(cell.WaitForOwner());
  const auto entry = cell.MakeEntry("entry-1");
  entry->Submit(
      "key", {.durable = true, .payload = R"({"run_ms": 200, "result": "r"})"});
  const auto ask = [&](const std::string& key, bool wait) {
    wire::StatusQueryT query;
    query.call = 5;
    query.caller = "caller-1";
    query.key = key;
    query.wait = wait;
    const size_t before = entry->statuses.size();
    entry->SendToOwner(MakeFrame(std::move(query)));
    cr_assert(cell.RunUntil([&] { return entry->statuses.size() > before; }));
    return entry->statuses.back();
  };
  cr_assert(cell.RunUntil(
      [&] { return entry->jobs[MakeJobId("caller-1", "key")].accepted; }));
  cr_expect_eq(static_cast<Outcome>(ask("key", false).outcome),
               Outcome::kAccepted);
  const wire::StatusReplyT ended = ask("key", true);
  cr_expect_eq(static_cast<Outcome>(ended.outcome), Outcome::kDone);
  cr_expect_eq(std::string(ended.body.begin(), ended.body.end()), "r");
  cr_expect(!ask("unknown", false).found);
  cell.Kill(*cell.Owner());
  cr_assert(cell.RunUntil(
      [&] { return cell.Owner() != nullptr && entry->has_owner(); }));
  const wire::StatusReplyT later = ask("key", false);
  cr_expect_eq(static_cast<Outcome>(later.outcome), Outcome::kDone);
  cr_expect_eq(std::string(later.body.begin(), later.body.end()), "r");
}

// Guards against a planned stop that loses or repeats jobs, or that leaves the
// other schedulers waiting for the lease to expire.
Test(SchedulerBasic, planned_stop_hands_over, .timeout = 60) {
  SchedulerHarness cell;
  cr_assert(cell.WaitForOwner());
  const auto entry = cell.MakeEntry("entry-1");
  const auto submit = [&](const std::string& prefix) {
    entry->Submit(prefix + "-long", {.payload = R"({"run_ms": 400})"});
    entry->Submit(prefix + "-durable", {.durable = true});
    entry->Submit(prefix + "-once", {.idempotent = false});
  };
  submit("before");
  SchedulerNode* const owner = cell.Owner();
  owner->daemon->Stop();
  submit("during");
  cr_assert(cell.WaitForOwner());
  cr_expect_neq(cell.Owner(), owner);
  submit("after");
  cr_assert(cell.WaitForOutcomes(*entry));
  for (const auto& [id, job] : entry->jobs) {
    if (!job.accepted) continue;
    cr_expect_eq(OutcomeOf(job), Outcome::kDone, "%s", job.submit.key.c_str());
  }
  cr_expect(cell.HasNoViolations(*entry));
}

// Guards against new tasks on a worker that an operator has drained.
Test(SchedulerBasic, drained_worker_gets_nothing, .timeout = 60) {
  HarnessOptions options;
  options.workers = 2;
  SchedulerHarness cell(options);
  cr_assert(cell.WaitForOwner());
  const auto entry = cell.MakeEntry("entry-1");
  Term& term = *cell.Owner()->daemon->scheduler().term();
  cr_assert(cell.RunUntil([&] {
    return term.workers()->StateOf("w-0") == core::WorkerState::kUsable &&
           term.workers()->StateOf("w-1") == core::WorkerState::kUsable;
  }));
  cr_assert(term.Drain("w-0"));
  cr_expect_not(term.Drain("unknown"));
  for (int i = 0; i < 8; ++i) entry->Submit("key-" + std::to_string(i));
  cr_assert(cell.WaitForOutcomes(*entry));
  for (const auto& line : cell.workers->journal().entries()) {
    if (line.event != standins::JournalEvent::kStarted) continue;
    cr_expect_eq(line.worker, "w-1");
  }
}

}  // namespace dotterelcove::tests
