#include <criterion/criterion.h>

#include <functional>
#include <string>
#include <vector>

#include "base/Hash.h"
#include "tests/EntryHarness.h"

namespace dotterelcove {
namespace {

/// Answers each kind of message as a test says; see FakeOwner::on_message.
void RefuseSlots(FakeOwner& owner, wire::SlotRefusalReason reason,
                 Outcome outcome = Outcome::kNotRun,
                 const std::string& body = {}) {
  owner.on_message = [&owner, reason, outcome, body](wire::FrameT& frame) {
    const auto* request = frame.body.AsSlotRequest();
    if (request == nullptr) return;
    wire::SlotRefusalT refusal;
    refusal.call = request->call;
    refusal.job = request->job;
    refusal.reason = reason;
    refusal.outcome = static_cast<uint8_t>(outcome);
    refusal.body.assign(body.begin(), body.end());
    owner.Send(std::move(refusal));
  };
}

void ReplyToSubmits(FakeOwner& owner, wire::SubmitStatus status,
                    int64_t retry_after_ms = 0) {
  owner.on_message = [&owner, status, retry_after_ms](wire::FrameT& frame) {
    const auto* submit = frame.body.AsSubmit();
    if (submit == nullptr) return;
    wire::SubmitReplyT reply;
    reply.call = submit->call;
    reply.job = submit->job;
    reply.status = status;
    reply.message = "told by the owner";
    reply.retry_after_ms = retry_after_ms;
    owner.Send(std::move(reply));
  };
}

std::string JobOf(const std::string& key) {
  return MakeJobId("anonymous", key);
}

}  // namespace

// Guards against a wrong outcome, a repeated run of non-idempotent work or a
// slot that is not returned, for each fault of an endpoint.
Test(EntryFault, endpoint_faults) {
  struct Case {
    const char* name;
    EndpointFaults faults;
    bool idempotent;
    const char* outcome;
    bool may_run_again;
    bool reported_leaving;
  };
  const Case cases[] = {
      {"leaving, idempotent", {.leaving = true}, true, "not_run", false, true},
      {"leaving, non-idempotent",
       {.leaving = true},
       false,
       "not_run",
       false,
       true},
      {"unreachable", {.unreachable = true}, false, "not_run", false, true},
      {"answer lost, non-idempotent",
       {.lose_answers = 100},
       false,
       "unknown",
       false,
       false},
      {"answer lost, idempotent",
       {.lose_answers = 1},
       true,
       "done",
       true,
       false},
      {"every answer lost, idempotent",
       {.lose_answers = 100},
       true,
       "unknown",
       true,
       false},
      {"fails, non-idempotent", {.fail = true}, false, "unknown", false, false},
      {"fails, idempotent", {.fail = true}, true, "unknown", true, false},
      {"answer late, non-idempotent",
       {.delay_ms = 5'000},
       false,
       "unknown",
       false,
       false},
      {"run beyond the deadline",
       {.slow = 1'000.0},
       false,
       "unknown",
       false,
       false},
  };
  for (const Case& test_case : cases) {
    EntryHarness harness;
    harness.GrantAll();
    harness.standin->SetFaults("e-1", test_case.faults);
    const auto seen = harness.Submit(
        "dispatch", "k1",
        {{"idempotent", test_case.idempotent}, {"deadline_ms", 600}});
    cr_assert(harness.WaitFor(seen), "%s", test_case.name);
    cr_expect_eq(seen->outcome(), test_case.outcome, "%s: %s", test_case.name,
                 seen->http.body.c_str());
    const size_t runs = harness.standin->Count("started");
    cr_expect(test_case.may_run_again ? runs >= 2 : runs <= 1, "%s: %zu runs",
              test_case.name, runs);
    if (seen->outcome() == "not_run") {
      cr_expect_eq(runs, 0u, "%s: told not_run and ran", test_case.name);
    }
    FakeOwner& owner = harness.owner();
    cr_assert(harness.WaitUntil([&] {
      return !owner.releases.empty() && owner.releases.back().final;
    }),
              "%s", test_case.name);
    // Every grant came back, and the last release carries the outcome reported.
    cr_expect_geq(owner.releases.size(), owner.grants, "%s", test_case.name);
    cr_expect_eq(
        std::string(NameOf(kOutcomeNames, static_cast<Outcome>(
                                              owner.releases.back().outcome))),
        test_case.outcome, "%s", test_case.name);
    cr_expect_eq(owner.releases.front().endpoint_leaving,
                 test_case.reported_leaving, "%s", test_case.name);
  }
}

// Guards against an answer that fits the refusal badly, in outcome or status.
Test(EntryFault, owner_refusals) {
  struct Case {
    const char* name;
    const char* kind;
    std::function<void(FakeOwner&)> behave;
    int status;
    const char* outcome;
    bool retry_after;
  };
  using Reason = wire::SlotRefusalReason;
  const auto slots = [](Reason reason, Outcome outcome = Outcome::kNotRun,
                        std::string body = "") {
    return [=](FakeOwner& owner) { RefuseSlots(owner, reason, outcome, body); };
  };
  const auto submits = [](wire::SubmitStatus status, int64_t retry_ms = 0) {
    return [=](FakeOwner& owner) { ReplyToSubmits(owner, status, retry_ms); };
  };
  const Case cases[] = {
      {"overload", "dispatch", slots(Reason::Overload), 503, "not_run", true},
      {"store down", "dispatch", slots(Reason::Unavailable), 503, "not_run",
       true},
      {"no endpoint", "dispatch", slots(Reason::NoEndpoint), 503, "not_run",
       true},
      {"other body", "dispatch", slots(Reason::Conflict), 409, "not_run",
       false},
      {"ended done", "dispatch", slots(Reason::Ended, Outcome::kDone, "crew 4"),
       200, "done", false},
      {"ended unknown", "dispatch", slots(Reason::Ended, Outcome::kUnknown),
       504, "unknown", false},
      {"duplicate without an end", "dispatch", slots(Reason::Duplicate), 504,
       "unknown", false},
      {"can never run", "audit", submits(wire::SubmitStatus::Refused), 422,
       "not_run", false},
      {"placed overload", "audit", submits(wire::SubmitStatus::Refused, 500),
       503, "not_run", true},
      {"placed store down", "audit",
       submits(wire::SubmitStatus::Unavailable, 500), 503, "not_run", true},
      {"placed other body", "audit", submits(wire::SubmitStatus::Conflict), 409,
       "not_run", false},
      {"no reply", "audit", [](FakeOwner&) {}, 504, "unknown", false},
      {"accepted without an end", "audit",
       submits(wire::SubmitStatus::Accepted), 504, "unknown", false},
      {"no grant", "dispatch", [](FakeOwner&) {}, 503, "not_run", true},
  };
  for (const Case& test_case : cases) {
    EntryHarness harness;
    test_case.behave(harness.owner());
    const auto seen =
        harness.Submit(test_case.kind, "k1", {{"deadline_ms", 300}});
    cr_assert(harness.WaitFor(seen), "%s", test_case.name);
    cr_expect_eq(seen->http.status, test_case.status, "%s: status %d",
                 test_case.name, seen->http.status);
    cr_expect_eq(seen->outcome(), test_case.outcome, "%s: %s", test_case.name,
                 seen->http.body.c_str());
    cr_expect_eq(seen->http.headers.contains("retry-after"),
                 test_case.retry_after, "%s", test_case.name);
    cr_expect_eq(seen->json().value("key", ""), "k1", "%s", test_case.name);
  }
}

// Guards against requests that are lost, or reported as not run, when the owner
// changes while they wait; and against a report that leaves out a held slot.
Test(EntryFault, owner_changes) {
  EntryHarness harness(2);
  harness.GrantAll(0);
  const auto running =
      harness.Submit("dispatch", "running",
                     {{"payload", {{"run_ms", 300}, {"result", "kept"}}}});
  cr_assert(harness.WaitUntil(
      [&] { return harness.standin->Count("started") == 1; }));
  harness.owner(0).on_message = nullptr;
  const auto waiting = harness.Submit("dispatch", "waiting");
  const auto placed = harness.Submit("audit", "placed");
  cr_assert(harness.WaitUntil([&] {
    return harness.owner(0).CountOf(wire::Body::SlotRequest) == 2 &&
           harness.owner(0).CountOf(wire::Body::Submit) == 1;
  }));
  harness.GrantAll(1);
  harness.owner(1).SetServing(7, true);
  cr_assert(harness.WaitFor(waiting));
  cr_expect_eq(waiting->outcome(), "done");
  FakeOwner& next = harness.owner(1);
  cr_assert(
      harness.WaitUntil([&] { return next.CountOf(wire::Body::Submit) == 1; }));
  cr_assert_eq(next.reports.size(), 1u);
  cr_expect(next.received_types[0] == wire::Body::SlotReport,
            "report not sent first");
  cr_expect_eq(next.reports[0].owner_epoch, 7u);
  cr_assert_eq(next.reports[0].held.size(), 1u);
  cr_expect_eq(next.reports[0].held[0]->job, JobOf("running"));
  cr_assert(harness.WaitFor(running));
  cr_expect_eq(running->answer(), "kept");
  // The new owner refuses a job that the old one may have started.
  wire::SubmitReplyT reply;
  reply.job = JobOf("placed");
  for (const auto& [call, request] : harness.entry->view().requests) {
    if (request->job == reply.job) reply.call = call;
  }
  reply.status = wire::SubmitStatus::Refused;
  next.Send(std::move(reply));
  cr_assert(harness.WaitFor(placed));
  cr_expect_eq(placed->outcome(), "unknown");
}

// Guards against a run under a grant that the present owner does not count.
Test(EntryFault, grant_of_a_succeeded_owner_is_not_used) {
  EntryHarness harness(2);
  wire::SlotRequestT asked;
  harness.owner(0).on_message = [&](wire::FrameT& frame) {
    if (const auto* request = frame.body.AsSlotRequest()) asked = *request;
  };
  const auto seen = harness.Submit("dispatch", "k1", {{"deadline_ms", 700}});
  cr_assert(harness.WaitUntil([&] { return asked.call != 0; }));
  harness.owner(1).SetServing(7, true);
  cr_assert(harness.WaitUntil(
      [&] { return harness.entry->view().owner.epoch == 7; }));
  harness.owner(0).Grant(asked, "e-1", harness.standin->address("e-1"));
  cr_assert(harness.WaitFor(seen));
  cr_expect_eq(seen->outcome(), "not_run");
  cr_expect_eq(harness.standin->Count("started"), 0u);
}

// Guards against answers that reach the wrong caller when they come late or in
// another order.
Test(EntryFault, answers_out_of_order) {
  EntryHarness harness;
  std::vector<std::string> jobs;
  FakeOwner& owner = harness.owner();
  owner.on_message = [&](wire::FrameT& frame) {
    const auto* submit = frame.body.AsSubmit();
    if (submit == nullptr) return;
    wire::SubmitReplyT reply;
    reply.call = submit->call;
    reply.job = submit->job;
    owner.Send(std::move(reply));
    jobs.push_back(submit->job);
  };
  constexpr int kRequests = 20;
  std::vector<std::shared_ptr<SeenAnswer>> seen;
  for (int i = 0; i < kRequests; ++i) {
    seen.push_back(harness.Submit("audit", "k" + std::to_string(i)));
  }
  cr_assert(harness.WaitUntil([&] { return jobs.size() == kRequests; }));
  const auto end = [&](const std::string& job) {
    wire::OutcomeT outcome;
    outcome.job = job;
    outcome.outcome = static_cast<uint8_t>(Outcome::kDone);
    outcome.body.assign(job.begin(), job.end());
    owner.Send(std::move(outcome));
  };
  end("no such job");
  for (int i = kRequests - 1; i >= 0; --i) {
    end(jobs[static_cast<size_t>(i)]);
    end(jobs[static_cast<size_t>(i)]);
  }
  for (int i = 0; i < kRequests; ++i) {
    cr_assert(harness.WaitFor(seen[static_cast<size_t>(i)]));
    cr_expect_eq(seen[static_cast<size_t>(i)]->answer(),
                 JobOf("k" + std::to_string(i)));
  }
}

// Guards against a second run when one key is sent twice to one process.
Test(EntryFault, same_key_is_shared_and_another_body_refused) {
  EntryHarness harness;
  harness.GrantAll();
  const nlohmann::json body = {
      {"payload", {{"run_ms", 200}, {"result", "one"}}}};
  const auto first = harness.Submit("dispatch", "k1", body);
  cr_assert(harness.WaitUntil(
      [&] { return harness.standin->Count("started") == 1; }));
  const auto second = harness.Submit("dispatch", "k1", body);
  const auto other = harness.Submit("dispatch", "k1", {{"payload", "x"}});
  cr_assert(harness.WaitFor(other));
  cr_expect_eq(other->http.status, 409);
  cr_expect_eq(other->json().value("field", ""), "key");
  cr_assert(harness.WaitFor(first) && harness.WaitFor(second));
  cr_expect_eq(first->answer(), "one");
  cr_expect_eq(second->answer(), "one");
  cr_expect_eq(harness.standin->Count("started"), 1u);
  cr_expect_eq(harness.entry->view().limits.in_progress, 0);
}

// Guards against a request that is sent after its caller has gone.
Test(EntryFault, request_of_a_caller_that_left_is_not_sent) {
  EntryHarness harness;
  wire::SlotRequestT asked;
  harness.owner().on_message = [&](wire::FrameT& frame) {
    if (const auto* request = frame.body.AsSlotRequest()) asked = *request;
  };
  {
    HttpClient leaving(harness.loop);
    HttpCall call;
    call.method = "POST";
    call.url = harness.url("/v1/requests");
    call.body = R"({"service":"stepline","kind":"dispatch","key":"k1",)"
                R"("deadline_ms":10000})";
    leaving.Send(std::move(call), [](const HttpResult&) {});
    cr_assert(harness.WaitUntil([&] { return asked.call != 0; }));
  }
  cr_assert(
      harness.WaitUntil([&] { return harness.entry->in_progress() == 0; }));
  harness.owner().Grant(asked, "e-1", harness.standin->address("e-1"));
  cr_assert(
      harness.WaitUntil([&] { return harness.owner().releases.size() == 1; }));
  cr_expect(harness.owner().releases[0].result == wire::SlotResult::NotSent);
  cr_expect(harness.owner().releases[0].final);
  cr_expect_eq(harness.standin->Count("started"), 0u);
}

// Guards against an outcome of the process that holds the same key that is lost
// or made "unknown" here.
Test(EntryFault, duplicate_gets_the_outcome_of_the_other_process) {
  for (const Outcome reported : {Outcome::kDone, Outcome::kNotRun}) {
    EntryHarness harness;
    FakeOwner& owner = harness.owner();
    owner.on_message = [&](wire::FrameT& frame) {
      const auto* request = frame.body.AsSlotRequest();
      if (request == nullptr) return;
      wire::SlotRefusalT refusal;
      refusal.call = request->call;
      refusal.job = request->job;
      refusal.reason = wire::SlotRefusalReason::Duplicate;
      owner.Send(std::move(refusal));
      wire::OutcomeT outcome;
      outcome.job = request->job;
      outcome.outcome = static_cast<uint8_t>(reported);
      owner.Send(std::move(outcome));
    };
    const auto seen = harness.Submit("dispatch", "k1");
    cr_assert(harness.WaitFor(seen));
    cr_expect_eq(seen->outcome(), NameOf(kOutcomeNames, reported));
  }
}

// Guards against a stored answer that is cut, or claimed when it cannot be
// read.
Test(EntryFault, answer_in_the_object_store) {
  for (const bool store_up : {true, false}) {
    EntryHarness harness;
    harness.store_up = store_up;
    FakeOwner& owner = harness.owner();
    owner.on_message = [&](wire::FrameT& frame) {
      const auto* submit = frame.body.AsSubmit();
      if (submit == nullptr) return;
      wire::OutcomeT outcome;
      outcome.job = submit->job;
      outcome.outcome = static_cast<uint8_t>(Outcome::kDone);
      outcome.object = "result/" + submit->job;
      harness.objects[outcome.object] = std::string(2 << 20, 'a');
      owner.Send(std::move(outcome));
    };
    const auto seen = harness.Submit("audit", "k1", {{"deadline_ms", 500}});
    cr_assert(harness.WaitUntil(
        [&] { return harness.object_reads >= 2 || seen->received; }));
    harness.store_up = true;
    cr_assert(harness.WaitFor(seen));
    cr_expect_eq(seen->outcome(), "done");
    cr_expect_eq(seen->answer().size(), size_t{2 << 20});
  }
}

}  // namespace dotterelcove
