#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <vector>

#include "base/Hash.h"
#include "entry/EntryDaemon.h"
#include "tests/EntryHarness.h"

namespace dotterelcove {
namespace {

/// An EntryDaemon with a fake owner that also gives it the configuration, since
/// no store answers at the platform's address.
struct DaemonHarness {
  explicit DaemonHarness(int64_t notice_ms = 0,
                         int64_t drain_limit_ms = 60'000) {
    this->owner.config.version = 1;
    this->owner.config.content = SerializeCellConfig(*MakeTestConfig());
    this->owner.config.digest = Hash128Hex(this->owner.config.content);
    Vm vm;
    vm.id = "e-1";
    vm.role = VmRole::kEndpoint;
    vm.address = "http://127.0.0.1:0";
    vm.slots = 8;
    vm.connections = 64;
    EntryDaemonOptions options;
    options.settings.process = "entry-1";
    options.settings.http.address = "127.0.0.1";
    options.settings.schedulers = {this->owner.address()};
    // A port that nothing listens on.
    options.settings.platform = {"http://127.0.0.1:1", "http://127.0.0.1:1",
                                 "http://127.0.0.1:1"};
    options.settings.timing.drain_limit_ms = drain_limit_ms;
    options.balancer_notice_ms = notice_ms;
    leaf::try_handle_all(
        [&]() -> Result<void> {
          BOOST_LEAF_ASSIGN(this->standin,
                            EndpointStandin::Start(this->loop, {vm}, ""));
          BOOST_LEAF_ASSIGN(
              this->daemon,
              EntryDaemon::Start(this->loop, options, [this](int status) {
                this->exit_status = status;
              }));
          return {};
        },
        [] { std::abort(); });
    this->owner.on_message = [this](wire::FrameT& frame) {
      const auto* request = frame.body.AsSlotRequest();
      if (request == nullptr) return;
      this->owner.Grant(*request, "e-1", this->standin->address("e-1"));
    };
    this->WaitUntil([this] { return this->daemon->entry().is_ready(); });
  }

  std::shared_ptr<SeenAnswer> Send(const std::string& method,
                                   const std::string& path,
                                   const std::string& body = {}) {
    auto seen = std::make_shared<SeenAnswer>();
    this->caller.Send({.method = method,
                       .url = "http://127.0.0.1:" +
                              std::to_string(this->daemon->port()) + path,
                       .headers = {},
                       .body = body},
                      [seen](HttpResult result) {
                        seen->received = true;
                        seen->http = std::move(result);
                      });
    return seen;
  }
  std::shared_ptr<SeenAnswer> Dispatch(const std::string& key, int run_ms) {
    return this->Send(
        "POST", "/v1/requests",
        nlohmann::json{{"service", "stepline"},
                       {"kind", "dispatch"},
                       {"key", key},
                       {"payload", {{"run_ms", run_ms}, {"result", key}}}}
            .dump());
  }
  bool WaitUntil(const std::function<bool()>& done) {
    return this->loop.RunUntil(done, 8'000);
  }
  bool WaitFor(const std::shared_ptr<SeenAnswer>& seen) {
    return this->WaitUntil([&] { return seen->received; });
  }

  EventLoop loop;
  FakeOwner owner{this->loop, 1};
  HttpClient caller{this->loop};
  std::optional<int> exit_status;
  std::unique_ptr<EndpointStandin> standin;
  std::unique_ptr<EntryDaemon> daemon;
};

}  // namespace

// Guards against a process that cannot start while the store is down.
Test(EntryDaemon, takes_its_configuration_from_a_peer) {
  DaemonHarness harness;
  cr_assert(harness.daemon->entry().is_ready());
  const auto ready = harness.Send("GET", "/readyz");
  cr_assert(harness.WaitFor(ready));
  cr_expect_eq(ready->http.status, 200);
}

// Guards against a planned stop that interrupts or refuses a request before the
// balancer has noticed, or one that accepts work it then drops.
Test(EntryDaemon, planned_stop_interrupts_nothing) {
  DaemonHarness harness(300);
  const auto running = harness.Dispatch("running", 800);
  cr_assert(harness.WaitUntil(
      [&] { return harness.standin->Count("started") == 1; }));
  harness.daemon->Stop();
  const auto ready = harness.Send("GET", "/readyz");
  const auto noticed = harness.Dispatch("noticed", 5);
  cr_assert(harness.WaitFor(ready) && harness.WaitFor(noticed));
  cr_expect_eq(ready->http.status, 503);
  cr_expect_eq(noticed->outcome(), "done");
  cr_assert(harness.WaitUntil(
      [&] { return harness.daemon->stage() == StopStage::kDraining; }));
  const auto late = harness.Dispatch("late", 5);
  cr_assert(harness.WaitFor(late));
  cr_expect_eq(late->http.status, 503);
  cr_expect_eq(late->outcome(), "not_run");
  cr_expect_eq(late->http.headers["connection"], "close");
  cr_assert(!harness.exit_status.has_value());
  cr_assert(harness.WaitUntil([&] { return harness.exit_status.has_value(); }));
  cr_expect_eq(*harness.exit_status, 0);
  cr_assert(running->received);
  cr_expect_eq(running->answer(), "running");
}

// Guards against a stop that never ends, and against a false "not run" then.
Test(EntryDaemon, second_stop_and_drain_limit_end_it) {
  for (const bool second_stop : {true, false}) {
    DaemonHarness harness(0, second_stop ? 60'000 : 100);
    const auto running = harness.Dispatch("running", 2'500);
    cr_assert(harness.WaitUntil(
        [&] { return harness.standin->Count("started") == 1; }));
    harness.owner.on_message = nullptr;
    const auto waiting = harness.Dispatch("waiting", 5);
    cr_assert(harness.WaitUntil(
        [&] { return harness.owner.CountOf(wire::Body::SlotRequest) == 2; }));
    harness.daemon->Stop();
    if (second_stop) harness.daemon->Stop();
    cr_assert(
        harness.WaitUntil([&] { return harness.exit_status.has_value(); }));
    cr_expect_eq(*harness.exit_status, 1);
    cr_assert(harness.WaitFor(running) && harness.WaitFor(waiting));
    cr_expect_eq(running->outcome(), "unknown");
    cr_expect_eq(waiting->outcome(), "not_run");
  }
}

// Guards against bodies of another form than docs/api.md describes, for errors
// that are found before the caller API sees the request.
Test(EntryDaemon, every_error_is_json_with_an_outcome) {
  DaemonHarness harness;
  struct Case {
    const char* method;
    const char* path;
    std::string body;
    int status;
  };
  const Case cases[] = {
      {"POST", "/v1/requests", std::string((1 << 20) + 1, 'x'), 413},
      {"POST", "/v1/requests", "{", 400},
      {"PUT", "/v1/requests", "{}", 405},
      {"GET", "/v1/nothing", "", 404},
  };
  for (const Case& test_case : cases) {
    const auto seen =
        harness.Send(test_case.method, test_case.path, test_case.body);
    cr_assert(harness.WaitFor(seen), "%s", test_case.path);
    cr_expect_eq(seen->http.status, test_case.status, "%s %s: %d",
                 test_case.method, test_case.path, seen->http.status);
    cr_expect_eq(seen->outcome(), "not_run", "%s %s: %s", test_case.method,
                 test_case.path, seen->http.body.c_str());
  }
}

}  // namespace dotterelcove
