#include <criterion/criterion.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "tests/RawSocket.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kWaitMs = 8'000;

struct Harness {
  explicit Harness(HttpServerOptions options = {}) {
    this->server = leaf::try_handle_all(
        [&] {
          return HttpServer::Start(
              this->loop, options,
              [this](const HttpRequest& request, HttpReply reply) {
                this->seen.push_back(request);
                if (request.path == "/throw") {
                  throw std::runtime_error("text that is not UTF-8: \xe3");
                }
                if (request.path == "/hold") {
                  this->held.push_back(std::move(reply));
                  return;
                }
                if (request.path == "/release") {
                  this->held[0].Send({.body = "released", .headers = {}});
                }
                HttpResponse response;
                response.body = request.body;
                reply.Send(std::move(response));
              });
        },
        [] { return std::unique_ptr<HttpServer>(); });
  }
  bool WaitUntil(const std::function<bool()>& done) {
    return this->loop.RunUntil(done, kWaitMs);
  }

  EventLoop loop;
  std::vector<HttpRequest> seen;
  std::vector<HttpReply> held;
  std::unique_ptr<HttpServer> server;
};

}  // namespace

// Guards against a request whose handler throws: it ended the process with all
// other requests, and was itself answered with 200.
Test(HttpServer, handler_that_throws_costs_one_request) {
  Harness harness;
  const uint16_t port = harness.server->port();
  const auto send = [&](const RawSocket& socket, const std::string& path) {
    cr_assert(socket.Send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"));
  };
  RawSocket held(port);
  send(held, "/hold");
  cr_assert(harness.WaitUntil([&] { return harness.held.size() == 1; }));
  RawSocket thrown(port);
  send(thrown, "/throw");
  cr_assert(harness.WaitUntil([&] { return !thrown.Read().empty(); }));
  cr_expect(thrown.received.starts_with("HTTP/1.1 500"));
  send(thrown, "/release");
  cr_expect(harness.WaitUntil([&] { return !held.Read().empty(); }));
  cr_expect(held.received.starts_with("HTTP/1.1 200"));
}

// Guards against malformed, truncated or stalled requests that get a wrong
// response, reach the handler, or hold their connection open indefinitely.
Test(HttpServer, malformed_or_stalled_requests) {
  struct Case {
    const char* name;
    std::string bytes;
    /// Prefix of the response; empty when the connection closes without one.
    const char* answer;
    /// Shuts down the sending side after the bytes.
    bool half_close;
  };
  const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
  const Case cases[] = {
      {"not HTTP", "\x16\x03\x01garbage\r\n\r\n", "", true},
      {"oversize by its length", post + "Content-Length: 5000\r\n\r\n",
       "HTTP/1.1 413", false},
      {"oversize in chunks",
       post + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" +
           std::string(2'000, 'x') + "\r\n0\r\n\r\n",
       "HTTP/1.1 413", true},
      {"length that is no number", post + "Content-Length: ten\r\n\r\n",
       "HTTP/1.1 400", true},
      {"negative length", post + "Content-Length: -1\r\n\r\n", "HTTP/1.1 400",
       true},
      {"truncated body", post + "Content-Length: 100\r\n\r\nhalf", "", true},
      {"truncated headers", post, "", true},
      {"stalled body", post + "Content-Length: 100\r\n\r\nhalf", "", false},
      {"stalled headers", post, "", false},
      {"silent", "", "", false},
  };
  for (const Case& test_case : cases) {
    HttpServerOptions options;
    options.max_body_bytes = 1'000;
    options.receive_timeout_ms = 300;
    Harness harness(options);
    RawSocket raw(harness.server->port());
    raw.Send(test_case.bytes);
    if (test_case.half_close) shutdown(raw.fd, SHUT_WR);
    cr_expect(harness.WaitUntil([&] {
      raw.Read();
      return raw.closed;
    }),
              "%s: connection stays open", test_case.name);
    cr_expect(raw.received.starts_with(test_case.answer), "%s: %s",
              test_case.name, raw.received.c_str());
    cr_expect(harness.seen.empty(), "%s: handled", test_case.name);
    cr_expect(harness.WaitUntil(
                  [&] { return harness.server->open_connections() == 0; }),
              "%s", test_case.name);
  }
}

// Guards against a client that holds a connection open by sending a byte at a
// time, each of which restarts the idle timeout of libmicrohttpd.
Test(HttpServer, trickling_sender_is_closed) {
  HttpServerOptions options;
  options.receive_timeout_ms = 300;
  for (const char* part : {"POST / HTTP/1.1\r\nX-Long: ",
                           "POST / HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: 9999\r\n\r\n"}) {
    Harness harness(options);
    RawSocket raw(harness.server->port());
    raw.Send(part);
    Timer trickle(harness.loop, [&] { raw.Send("x"); });
    trickle.StartEvery(20);
    cr_expect(harness.WaitUntil([&] {
      raw.Read();
      return raw.closed;
    }));
  }
}

// Guards against closing a connection whose request was received completely and
// whose response only takes longer than the receive timeout.
Test(HttpServer, held_request_outlives_the_receive_limit) {
  HttpServerOptions options;
  options.receive_timeout_ms = 100;
  Harness harness(options);
  HttpClient client(harness.loop);
  std::optional<HttpResult> result;
  client.Send({.url = "http://127.0.0.1:" +
                      std::to_string(harness.server->port()) + "/hold",
               .headers = {},
               .body = ""},
              [&](HttpResult answer) { result = std::move(answer); });
  cr_assert(harness.WaitUntil([&] { return harness.held.size() == 1; }));
  Timer answer(harness.loop, [&] {
    harness.held[0].Send({.body = "late", .headers = {}});
    harness.held[0].Send({.body = "second", .headers = {}});
  });
  answer.StartAfter(500);
  cr_assert(harness.WaitUntil([&] { return result.has_value(); }));
  cr_expect_eq(result->body, "late");
  cr_expect(!harness.held[0].is_open());
}

// Guards against work on behalf of a client that has disconnected, and against
// a crash when a response is sent to it.
Test(HttpServer, hang_up_of_a_held_request_is_noticed) {
  Harness harness;
  {
    RawSocket raw(harness.server->port());
    raw.Send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(harness.WaitUntil([&] { return harness.held.size() == 1; }));
    cr_expect(harness.held[0].is_open());
  }
  cr_assert(harness.WaitUntil([&] { return !harness.held[0].is_open(); }));
  harness.held[0].Send({});
  cr_expect(harness.WaitUntil(
      [&] { return harness.server->open_connections() == 0; }));
  cr_expect_eq(harness.server->open_requests(), 0u);
}

// Guards against a shutdown that takes a server for idle while it receives the
// body of a request: the caller gets no answer.
Test(HttpServer, request_that_is_being_received_is_open) {
  Harness harness;
  RawSocket raw(harness.server->port());
  raw.Send("POST /hold HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
  cr_expect(
      harness.WaitUntil([&] { return harness.server->open_requests() == 1; }));
  raw.Send("cd");
  cr_assert(harness.WaitUntil([&] { return harness.held.size() == 1; }));
  harness.held[0].Send({});
  cr_expect(
      harness.WaitUntil([&] { return harness.server->open_requests() == 0; }));
}

// Guards against a destroyed server that responds to requests whose outcome it
// does not know, or that leaves their connections open.
Test(HttpServer, destroyed_server_closes_open_requests) {
  Harness harness;
  RawSocket raw(harness.server->port());
  raw.Send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(harness.WaitUntil([&] { return harness.held.size() == 1; }));
  harness.server.reset();
  cr_assert(harness.WaitUntil([&] {
    raw.Read();
    return raw.closed;
  }));
  cr_expect_eq(raw.received, "");
  harness.held[0].Send({});
}

// Guards against pipelined requests that are lost or answered out of order.
Test(HttpServer, pipelined_requests) {
  Harness harness;
  RawSocket raw(harness.server->port());
  const std::string second =
      "POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ntwo";
  raw.Send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n" + second);
  cr_assert(harness.WaitUntil([&] { return harness.held.size() == 1; }));
  harness.held[0].Send({.body = "one", .headers = {}});
  cr_assert(harness.WaitUntil([&] {
    const std::string& text = raw.Read();
    return text.find("two") != std::string::npos;
  }));
  cr_expect_lt(raw.received.find("one"), raw.received.find("two"));
}

// Guards against a response that is not sent because it was given inside the
// handler of another request.
Test(HttpServer, handler_answers_another_request) {
  Harness harness;
  RawSocket held(harness.server->port());
  held.Send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(harness.WaitUntil([&] { return harness.held.size() == 1; }));
  RawSocket other(harness.server->port());
  other.Send("GET /release HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_expect(harness.WaitUntil(
      [&] { return !held.Read().empty() && !other.Read().empty(); }));
}

// Guards against a graceful shutdown that loses requests accepted before it.
Test(HttpServer, stop_listening_keeps_open_connections) {
  Harness harness;
  RawSocket raw(harness.server->port());
  raw.Send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(harness.WaitUntil([&] { return harness.held.size() == 1; }));
  const uint16_t port = harness.server->port();
  harness.server->StopListening();
  harness.server->CloseAfterAnswers();
  harness.held[0].Send({.body = "kept", .headers = {}});
  cr_assert(harness.WaitUntil([&] {
    raw.Read();
    return raw.closed;
  }));
  cr_expect_neq(raw.received.find("kept"), std::string::npos);
  RawSocket late(port);
  late.Send("GET / HTTP/1.1\r\n\r\n");
  cr_expect(late.Read().empty());
}

}  // namespace dotterelcove
