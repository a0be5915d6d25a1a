#include <criterion/criterion.h>

#include <string>

#include "tests/EntryHarness.h"

namespace dotterelcove {
namespace {

void SendOutcome(FakeOwner& owner, const std::string& job, Outcome outcome,
                 const std::string& body) {
  wire::OutcomeT message;
  message.job = job;
  message.outcome = static_cast<uint8_t>(outcome);
  message.body.assign(body.begin(), body.end());
  message.worker = "w-1";
  owner.Send(std::move(message));
}

/// Accepts every Submit and reports it done with the payload as answer.
void AcceptAll(FakeOwner& owner) {
  owner.on_message = [&owner](wire::FrameT& frame) {
    const auto* submit = frame.body.AsSubmit();
    if (submit == nullptr) return;
    wire::SubmitReplyT reply;
    reply.call = submit->call;
    reply.job = submit->job;
    owner.Send(std::move(reply));
    if (submit->durable) return;
    SendOutcome(owner, submit->job, Outcome::kDone,
                std::string(submit->payload.begin(), submit->payload.end()));
  };
}

}  // namespace

// Guards against a placed request that loses its answer or reports the wrong
// worker.
Test(Entry, placed_request_gets_its_answer) {
  EntryHarness harness;
  AcceptAll(harness.owner());
  const auto seen = harness.Submit("audit", "k1", {{"payload", "tread 7"}});
  cr_assert(harness.WaitFor(seen));
  cr_expect_eq(seen->http.status, 200);
  cr_expect_eq(seen->outcome(), "done");
  cr_expect_eq(seen->answer(), "tread 7");
  cr_expect_eq(seen->json().value("worker", ""), "w-1");
}

// Guards against an asynchronous request that is held open after it was
// recorded.
Test(Entry, async_request_is_accepted) {
  EntryHarness harness;
  AcceptAll(harness.owner());
  const auto seen = harness.Submit("audit", "k1", {{"mode", "async"}});
  cr_assert(harness.WaitFor(seen));
  cr_expect_eq(seen->http.status, 202);
  cr_expect_eq(seen->outcome(), "accepted");
  cr_expect_eq(harness.entry->in_progress(), 0u);
}

// Guards against a routed request that runs without a slot, runs twice or leaks
// its slot.
Test(Entry, routed_request_runs_once_and_returns_its_slot) {
  EntryHarness harness;
  harness.GrantAll();
  const auto seen =
      harness.Submit("dispatch", "k1", {{"payload", {{"result", "crew 4"}}}});
  cr_assert(harness.WaitFor(seen));
  cr_expect_eq(seen->http.status, 200);
  cr_expect_eq(seen->answer(), "crew 4");
  cr_expect_eq(seen->json().value("endpoint", ""), "e-1");
  cr_assert(
      harness.WaitUntil([&] { return harness.owner().releases.size() == 1; }));
  const wire::SlotReleaseT& release = harness.owner().releases[0];
  cr_expect(release.final);
  cr_expect(release.result == wire::SlotResult::Done);
  cr_expect_eq(std::string(release.body.begin(), release.body.end()), "crew 4");
  cr_expect_eq(harness.standin->Count("started"), 1u);
  cr_expect_eq(harness.standin->entries().back().busy_slots, 0);
}

}  // namespace dotterelcove
