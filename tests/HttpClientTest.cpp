#include <criterion/criterion.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/Clock.h"
#include "border/endpoint/EndpointClient.h"
#include "http/HttpClient.h"
#include "tests/ScriptedServer.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kWaitMs = 8'000;

HttpResult CallOnce(EventLoop& loop, HttpClient& client, HttpCall call) {
  std::optional<HttpResult> result;
  client.Send(std::move(call),
              [&](HttpResult answer) { result = std::move(answer); });
  cr_assert(loop.RunUntil([&] { return result.has_value(); }, kWaitMs));
  return *result;
}

}  // namespace

// Guards against misclassified failures: reporting that a request was not sent
// when the server may have run it, or the reverse.
Test(HttpClient, failures) {
  struct Case {
    const char* name;
    std::string answer;
    bool close_each;
    bool listening;
    HttpFailure failure;
    RunStatus status;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  const Case cases[] = {
      {"answered", ok, false, true, HttpFailure::kNone, RunStatus::kDone},
      {"refused connection", "", false, false, HttpFailure::kNotSent,
       RunStatus::kNotSent},
      {"closed without an answer", "", true, true, HttpFailure::kBroken,
       RunStatus::kUnknown},
      {"no answer in time", "", false, true, HttpFailure::kTimedOut,
       RunStatus::kUnknown},
      {"answer cut short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
       true, true, HttpFailure::kBroken, RunStatus::kUnknown},
      {"answer that is not HTTP", "garbage\r\n\r\n", true, true,
       HttpFailure::kBroken, RunStatus::kUnknown},
      {"answer too large",
       "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" +
           std::string(2'000, 'x'),
       true, true, HttpFailure::kTooLarge, RunStatus::kUnknown},
      {"refused run", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false,
       true, HttpFailure::kNone, RunStatus::kRefused},
      {"failed run", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false,
       true, HttpFailure::kNone, RunStatus::kFailed},
  };
  for (const Case& test_case : cases) {
    EventLoop loop;
    HttpClient client(loop);
    auto server = std::make_unique<ScriptedServer>(loop);
    server->answer = test_case.answer;
    server->close_each = test_case.close_each;
    const std::string url = server->url();
    if (!test_case.listening) server.reset();
    const HttpResult result = CallOnce(loop, client,
                                       {.method = "POST",
                                        .url = url,
                                        .headers = {},
                                        .body = "x",
                                        .timeout_ms = 300,
                                        .max_response_bytes = 1'000});
    cr_expect_eq(NameOf(kHttpFailureNames, result.failure),
                 NameOf(kHttpFailureNames, test_case.failure), "%s",
                 test_case.name);
    std::optional<EndpointResult> run;
    RunOnEndpoint({.http = client, .max_answer_bytes = 1'000},
                  {.address = url,
                   .request_id = "r",
                   .payload = "x",
                   .deadline_ms = MonotonicMs() + 300,
                   .idempotent = false},
                  [&](EndpointResult ended) { run = std::move(ended); });
    cr_assert(loop.RunUntil([&] { return run.has_value(); }, kWaitMs));
    cr_expect_eq(NameOf(kRunStatusNames, run->status),
                 NameOf(kRunStatusNames, test_case.status), "%s",
                 test_case.name);
  }
}

// Guards against a request being performed twice, or its second answer being
// taken for the outcome of the first: libcurl resends a request by itself when
// a reused connection turns out to be dead.
Test(HttpClient, only_reads_are_resent) {
  struct Case {
    const char* method;
    bool is_read;
    bool fresh;
    int requests;
  };
  const Case cases[] = {{"POST", false, false, 2}, {"POST", false, true, 2},
                        {"PUT", false, false, 2},  {"DELETE", false, false, 2},
                        {"POST", true, false, 3},  {"GET", false, false, 3},
                        {"POST", true, true, 2},   {"GET", false, true, 2}};
  for (const Case& each : cases) {
    EventLoop loop;
    HttpClient client(loop);
    ScriptedServer server(loop);
    server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    server.close_after = 1;
    HttpCall call;
    call.method = each.method;
    call.url = server.url();
    call.body = "x";
    call.fresh_connection = each.fresh;
    call.is_read = each.is_read;
    cr_assert(CallOnce(loop, client, call).failure == HttpFailure::kNone);
    cr_assert(CallOnce(loop, client, call).failure == HttpFailure::kBroken);
    cr_expect_eq(server.requests, each.requests, "%s", each.method);
  }
}

// Guards against a request that the server has read and that counts as not
// sent, because libcurl tries again on a new connection by itself and nothing
// is sent there: the connection is refused, or the second attempt is rejected.
Test(HttpClient, request_that_was_read_is_never_not_sent) {
  constexpr size_t kSmall = 1;
  constexpr size_t kLarge = 4 << 20;
  struct Case {
    const char* method;
    size_t body_bytes;
    bool is_reused;
    bool resets;
    bool stops_listening;
  };
  std::vector<Case> cases;
  for (const char* method : {"POST", "GET", "PUT"}) {
    for (const size_t bytes : {kSmall, kLarge}) {
      for (const int bits : {0, 1, 2, 3, 4, 5, 6, 7}) {
        cases.push_back(
            {method, bytes, (bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0});
      }
    }
  }
  for (const Case& each : cases) {
    EventLoop loop;
    HttpClient client(loop);
    ScriptedServer server(loop);
    server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    HttpCall call;
    call.method = each.method;
    call.url = server.url();
    call.body = "x";
    if (each.is_reused) {
      cr_assert(CallOnce(loop, client, call).failure == HttpFailure::kNone);
      server.close_after = 1;
    } else {
      server.answer.clear();
      server.close_each = true;
    }
    server.resets = each.resets;
    server.stops_listening_at_close = each.stops_listening;
    call.body = std::string(each.body_bytes, 'x');
    call.timeout_ms = 2'000;
    const HttpFailure failure = CallOnce(loop, client, call).failure;
    cr_expect(failure == HttpFailure::kBroken, "%s %zu %d %d %d: %s",
              each.method, each.body_bytes, each.is_reused, each.resets,
              each.stops_listening,
              std::string(NameOf(kHttpFailureNames, failure)).c_str());
  }
}

// Guards against a request sent after its deadline because the process was
// paused between queueing and sending it.
Test(EndpointClient, nothing_is_sent_after_the_deadline) {
  EventLoop loop;
  HttpClient client(loop);
  ScriptedServer server(loop);
  std::optional<EndpointResult> run;
  RunOnEndpoint({.http = client},
                {.address = server.url(),
                 .request_id = "r",
                 .payload = "x",
                 .deadline_ms = MonotonicMs()},
                [&](EndpointResult ended) { run = std::move(ended); });
  cr_assert(run.has_value());
  cr_expect(run->status == RunStatus::kNotSent);
  run.reset();
  // The pause falls between the call and the first iteration of the loop.
  RunOnEndpoint({.http = client},
                {.address = server.url(),
                 .request_id = "r",
                 .payload = "x",
                 .deadline_ms = MonotonicMs() + 30},
                [&](EndpointResult ended) { run = std::move(ended); });
  usleep(60'000);
  cr_assert(loop.RunUntil([&] { return run.has_value(); }, kWaitMs));
  cr_expect(run->status == RunStatus::kNotSent);
  cr_expect(!run->unreachable);
  cr_expect_eq(server.requests, 0);
}

// Guards against a callback that is lost or called twice when a call is
// cancelled.
Test(HttpClient, cancelled_call_ends_once) {
  EventLoop loop;
  HttpClient client(loop);
  ScriptedServer server(loop);
  int ended = 0;
  HttpFailure failure = HttpFailure::kNone;
  const uint64_t id =
      client.Send({.url = server.url(), .headers = {}, .body = ""},
                  [&](const HttpResult& result) {
                    ended++;
                    failure = result.failure;
                  });
  cr_assert(loop.RunUntil([&] { return server.requests == 1; }, kWaitMs));
  client.Cancel(id);
  client.Cancel(id);
  cr_expect_eq(ended, 1);
  cr_expect(failure == HttpFailure::kCancelled);
  cr_expect_eq(client.in_progress(), 0u);
}

}  // namespace dotterelcove
