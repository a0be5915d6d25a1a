#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "http/HttpClient.h"
#include "standins/EndpointStandin.h"

namespace dotterelcove {
namespace {

struct Harness {
  Harness() {
    Vm vm;
    vm.id = "e-1";
    vm.role = VmRole::kEndpoint;
    vm.address = "http://127.0.0.1:0";
    vm.slots = 2;
    vm.connections = 3;
    this->standin = leaf::try_handle_all(
        [&] { return EndpointStandin::Start(this->loop, {vm}, ""); },
        [] { return std::unique_ptr<EndpointStandin>(); });
  }
  void Run(const std::string& body) {
    this->client.Send(
        {.method = "POST",
         .url = this->standin->address("e-1") + "/run",
         .headers = {{"X-Request-Id", "r"}, {"X-Deadline-Ms", "400"}},
         .body = body},
        [this](HttpResult result) {
          this->results.push_back(std::move(result));
        });
  }
  bool WaitForResults(size_t count) {
    return this->loop.RunUntil([&] { return this->results.size() == count; },
                               8'000);
  }

  EventLoop loop;
  HttpClient client{this->loop};
  std::unique_ptr<EndpointStandin> standin;
  std::vector<HttpResult> results;
};

}  // namespace

// Guards against a stand-in that refuses or queues work above a limit without
// journaling it, so that tests miss the violation.
Test(EndpointStandin, journals_violated_limits) {
  Harness harness;
  for (int i = 0; i < 4; ++i) harness.Run(R"({"run_ms":200})");
  cr_assert(harness.WaitForResults(4));
  cr_expect_eq(harness.standin->Count("started"), 2u);
  cr_expect_eq(harness.standin->Count("over_slots"), 2u);
  cr_expect_geq(harness.standin->Count("over_connections"), 1u);
  cr_expect_eq(harness.standin->Count("ended"), 2u);
}

// Guards against a stand-in that holds a slot beyond the deadline, which would
// look like a violation by the system.
Test(EndpointStandin, stops_at_the_deadline) {
  Harness harness;
  harness.Run(R"({"run_ms":60000})");
  cr_assert(harness.WaitForResults(1));
  cr_expect_eq(harness.results[0].status, 504);
  cr_expect_eq(harness.standin->entries().back().busy_slots, 0);
}

}  // namespace dotterelcove
