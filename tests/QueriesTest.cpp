#include <criterion/criterion.h>

#include <string>

#include "tests/EntryHarness.h"

namespace dotterelcove {
namespace {

/// Answers every StatusQuery with this reply, and every Cancel as found.
void ReplyToQueries(FakeOwner& owner, const wire::StatusReplyT& status_reply) {
  owner.on_message = [&owner, status_reply](wire::FrameT& frame) {
    if (const auto* query = frame.body.AsStatusQuery()) {
      wire::StatusReplyT reply = status_reply;
      reply.call = query->call;
      owner.Send(std::move(reply));
    }
    if (const auto* cancel = frame.body.AsCancel()) {
      wire::CancelReplyT reply;
      reply.call = cancel->call;
      reply.found = status_reply.found;
      owner.Send(std::move(reply));
    }
  };
}

wire::StatusReplyT MakeStatusReply(bool found, Outcome outcome,
                                   const std::string& body = {}) {
  wire::StatusReplyT reply;
  reply.found = found;
  reply.outcome = static_cast<uint8_t>(outcome);
  reply.body.assign(body.begin(), body.end());
  return reply;
}

}  // namespace

// Guards against a question that is answered with another status or outcome
// than docs/api.md says.
Test(Queries, answers) {
  struct Case {
    const char* name;
    const char* method;
    const char* path;
    wire::StatusReplyT status_reply;
    int status;
    const char* outcome;
  };
  const Case cases[] = {
      {"done", "GET", "/k1", MakeStatusReply(true, Outcome::kDone, "a"), 200,
       "done"},
      {"in progress", "GET", "/k1", MakeStatusReply(true, Outcome::kAccepted),
       200, "accepted"},
      {"not found", "GET", "/k1", MakeStatusReply(false, Outcome::kDone), 404,
       "unknown"},
      {"raw in progress", "GET", "/k1/result",
       MakeStatusReply(true, Outcome::kAccepted), 202, "accepted"},
      {"raw not run", "GET", "/k1/result",
       MakeStatusReply(true, Outcome::kNotRun), 409, "not_run"},
      {"cancelled", "DELETE", "/k1", MakeStatusReply(true, Outcome::kNotRun),
       200, "not_run"},
      {"cancellation taken", "DELETE", "/k1",
       MakeStatusReply(true, Outcome::kAccepted), 202, "accepted"},
      {"cancel nothing", "DELETE", "/k1",
       MakeStatusReply(false, Outcome::kNotRun), 404, "unknown"},
      {"bad key", "GET", "/a%20b", MakeStatusReply(true, Outcome::kDone), 400,
       ""},
      {"bad wait", "GET", "/k1?wait_ms=-1",
       MakeStatusReply(true, Outcome::kDone), 400, ""},
      {"bad method", "POST", "/k1", MakeStatusReply(true, Outcome::kDone), 405,
       ""},
  };
  EntryHarness harness;
  for (const Case& test_case : cases) {
    ReplyToQueries(harness.owner(), test_case.status_reply);
    const auto seen = harness.Send(
        test_case.method, std::string("/v1/requests") + test_case.path);
    cr_assert(harness.WaitFor(seen), "%s", test_case.name);
    cr_expect_eq(seen->http.status, test_case.status, "%s: %d", test_case.name,
                 seen->http.status);
    cr_expect_eq(seen->outcome(), test_case.outcome, "%s: %s", test_case.name,
                 seen->http.body.c_str());
  }
}

// Guards against a raw answer that is cut or changed, small or from the store.
Test(Queries, raw_answer_is_whole) {
  EntryHarness harness;
  std::string bytes(300'000, '\0');
  for (size_t i = 0; i < bytes.size(); ++i) {
    bytes[i] = static_cast<char>(i * 7);
  }
  wire::StatusReplyT status_reply =
      MakeStatusReply(true, Outcome::kDone, bytes);
  for (const bool stored : {false, true}) {
    if (stored) {
      status_reply.body.clear();
      status_reply.object = "result/1";
      harness.objects["result/1"] = bytes;
    }
    ReplyToQueries(harness.owner(), status_reply);
    const auto seen = harness.Send("GET", "/v1/requests/k1/result");
    cr_assert(harness.WaitFor(seen));
    cr_expect(seen->http.body == bytes);
    cr_expect_eq(seen->http.headers["content-length"], "300000");
  }
}

// Guards against a waiting question that is forgotten when the owner changes,
// or answered with a final outcome when none is known.
Test(Queries, waiting_question_follows_the_owner) {
  EntryHarness harness(2);
  const auto waiting = harness.Send("GET", "/v1/requests/k1?wait_ms=6000");
  const auto short_wait = harness.Send("GET", "/v1/requests/k1?wait_ms=50");
  cr_assert(harness.WaitFor(short_wait));
  cr_expect_eq(short_wait->http.status, 503);
  cr_expect_eq(short_wait->outcome(), "");
  ReplyToQueries(harness.owner(1),
                 MakeStatusReply(true, Outcome::kDone, "late"));
  harness.owner(1).SetServing(7, true);
  cr_assert(harness.WaitFor(waiting));
  cr_expect_eq(waiting->answer(), "late");
}

// Guards against a cancelled routed request that runs all the same.
Test(Queries, routed_request_is_cancelled_before_it_is_sent_only) {
  EntryHarness harness;
  const auto waiting = harness.Submit("dispatch", "k1");
  cr_assert(harness.WaitUntil(
      [&] { return harness.owner().CountOf(wire::Body::SlotRequest) == 1; }));
  const auto cancelled = harness.Send("DELETE", "/v1/requests/k1");
  cr_assert(harness.WaitFor(cancelled) && harness.WaitFor(waiting));
  cr_expect_eq(cancelled->outcome(), "not_run");
  cr_expect_eq(waiting->outcome(), "not_run");
  harness.GrantAll();
  const auto running =
      harness.Submit("dispatch", "k2", {{"payload", {{"run_ms", 200}}}});
  cr_assert(harness.WaitUntil(
      [&] { return harness.standin->Count("started") == 1; }));
  const auto refused = harness.Send("DELETE", "/v1/requests/k2");
  cr_assert(harness.WaitFor(refused) && harness.WaitFor(running));
  cr_expect_eq(refused->http.status, 409);
  cr_expect_eq(running->outcome(), "done");
}

}  // namespace dotterelcove
