#include <criterion/criterion.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "border/operator/OperatorApi.h"
#include "http/HttpClient.h"

namespace dotterelcove {
namespace {

using Json = nlohmann::json;

/// A process that serves only the operator routes, and a client on the same
/// event loop.
struct Fixture {
  EventLoop loop;
  HttpClient client{loop};
  Metrics metrics;
  HybridClock clock;
  EventRing events{clock, 10};
  OperatorContext context;
  std::string not_ready;
  std::string drained = "none";
  LogLevel level = LogLevel::kInfo;
  std::unique_ptr<HttpServer> server;

  Fixture() {
    context.process = "entry-1";
    context.zone = "kpong";
    context.metrics = &metrics;
    context.events = &events;
    context.not_ready_reason = [this] { return this->not_ready; };
    context.state_json = [] {
      return std::string(
          R"({"role":"entry","config_version":7,"store_age_ms":2500})");
    };
    context.drain = [this](const std::string& vm, const HttpReply& reply) {
      this->drained = vm.empty() ? "self" : vm;
      reply.Send({});
    };
    context.set_log_level = [this](LogLevel set) { this->level = set; };
    server = leaf::try_handle_all(
        [&] {
          return HttpServer::Start(
              loop, {}, [this](const HttpRequest& request, HttpReply reply) {
                if (HandleOperatorRequest(this->context, request, reply)) {
                  return;
                }
                reply.Send(MakeErrorResponse(404, "of another interface"));
              });
        },
        [] { return std::unique_ptr<HttpServer>(); });
    cr_assert_not_null(server.get());
  }

  HttpResult Call(const std::string& method, const std::string& path,
                  const std::string& body) {
    HttpCall call;
    call.method = method;
    call.url = "http://127.0.0.1:" + std::to_string(server->port()) + path;
    call.body = body;
    bool finished = false;
    HttpResult result;
    client.Send(call, [&](HttpResult received) {
      result = std::move(received);
      finished = true;
    });
    cr_assert(loop.RunUntil([&] { return finished; }, 5'000));
    return result;
  }
};

}  // namespace

// Guards against routes that accept an invalid request, and against a malformed
// drain body that would drain the daemon itself instead of a VM.
Test(OperatorApi, answers_every_route_and_refuses_bad_requests) {
  Fixture fixture;
  fixture.events.Add("placed", {"j1", "", "w-1", 3});
  fixture.events.Add("placed", {"j2", "", "w-1", 4});
  struct Case {
    const char* method;
    const char* path;
    const char* body;
    int status;
    const char* part;
    const char* drained;
  };
  const Case cases[] = {
      {"GET", "/metrics", "", 200, "dotterelcove_process_resident", "none"},
      {"GET", "/metrics", "", 200, "dotterelcove_ready 1\n", "none"},
      {"GET", "/metrics", "", 200, "dotterelcove_config_version 7\n", "none"},
      {"GET", "/metrics", "", 200, "store_age_seconds 2.5\n", "none"},
      {"GET", "/healthz", "", 200, "\"ok\"", "none"},
      {"GET", "/readyz", "", 200, "true", "none"},
      {"GET", "/v1/events?job=j1", "", 200, "j1", "none"},
      {"GET", "/v1/events?epoch=4", "", 200, "j2", "none"},
      {"GET", "/v1/events?epoch=4x", "", 400, "whole number", "none"},
      {"GET", "/v1/events?jbo=j1", "", 400, "unknown filter", "none"},
      {"GET", "/v1/state", "", 200, "\"role\":\"entry\"", "none"},
      {"POST", "/healthz", "", 405, "takes GET", "none"},
      {"GET", "/v1/drain", "", 405, "takes POST", "none"},
      {"POST", "/v1/drain", "{\"vm\":7}", 400, "body", "none"},
      {"POST", "/v1/drain", "{\"vm\":\"\"}", 400, "body", "none"},
      {"POST", "/v1/drain", "{\"Vm\":\"w-1\"}", 400, "body", "none"},
      {"POST", "/v1/drain", "{}", 400, "body", "none"},
      {"POST", "/v1/drain", "w-1", 400, "body", "none"},
      {"POST", "/v1/drain", "{\"vm\":\"w-1\"}", 200, "", "w-1"},
      {"POST", "/v1/drain", "", 200, "", "self"},
      {"POST", "/v1/log-level", "{\"level\":\"loud\"}", 400, "debug", "self"},
      {"POST", "/v1/log-level", "{\"level\":\"error\"}", 200, "error", "self"},
      {"GET", "/v1/requests/k", "", 404, "another interface", "self"},
  };
  for (const Case& test_case : cases) {
    const HttpResult result =
        fixture.Call(test_case.method, test_case.path, test_case.body);
    cr_expect_eq(result.status, test_case.status, "%s %s: %d", test_case.method,
                 test_case.path, result.status);
    cr_expect_neq(result.body.find(test_case.part), std::string::npos,
                  "%s %s: %s", test_case.method, test_case.path,
                  result.body.c_str());
    cr_expect_str_eq(fixture.drained.c_str(), test_case.drained, "%s %s",
                     test_case.method, test_case.path);
  }
  cr_expect(fixture.level == LogLevel::kError);
}

// Guards against a /readyz that lets a load balancer send requests to a process
// that cannot serve them.
Test(OperatorApi, gives_the_reason_when_it_is_not_ready) {
  Fixture fixture;
  fixture.not_ready = "no owner connected";
  const HttpResult result = fixture.Call("GET", "/readyz", "");
  cr_expect_eq(result.status, 503);
  cr_expect_neq(result.body.find("no owner connected"), std::string::npos);
  const Json state = Json::parse(fixture.Call("GET", "/v1/state", "").body);
  cr_expect(state["ready"] == false);
  cr_expect(state["not_ready_reason"] == "no owner connected");
  cr_expect_eq(fixture.Call("GET", "/healthz", "").status, 200,
               "a process that is not ready is alive");
}

}  // namespace dotterelcove
