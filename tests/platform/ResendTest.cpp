// The clients of the platform against a server that performs a request, then
// resets its connection, and refuses the next one on a new connection.
#include <criterion/criterion.h>

#include <functional>
#include <string>

#include "base/Clock.h"
#include "platform/StoreAdapter.h"
#include "platform/VmAdapter.h"
#include "platform/WorkerAdapter.h"
#include "telemetry/Log.h"
#include "tests/ScriptedServer.h"

namespace dotterelcove::platform {
namespace {

using workflow::OrderAnswer;
using workflow::OrderStatus;
using workflow::WorkerAddress;

std::string MakeAnswer(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

struct ResettingServer {
  ResettingServer() : http(loop), server(loop) {
    SetLogOutput([](const std::string&) {});
    this->server.answer = MakeAnswer(
        "200 OK", R"({"clock_ms": 1, "allowed": [], "validity_ms": 1})");
    this->server.later_answer = MakeAnswer("503 Service Unavailable", "{}");
    this->server.close_after = 1;
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->server.port);
  }

  EventLoop loop;
  HttpClient http;
  ScriptedServer server;
};

/// Makes a call and tells whether its outcome is unknown.
using UnknownCallback = std::function<void(bool is_unknown)>;
using Call = std::function<void(ResettingServer&, UnknownCallback)>;

/// Makes the call twice; expects the second one, which is performed and then
/// reset, to have an unknown outcome and to be sent once.
void ExpectUnknownAndSentOnce(const char* name, const Call& call) {
  ResettingServer fake;
  for (const bool is_reset : {false, true}) {
    bool done = false;
    bool is_unknown = false;
    call(fake, [&](bool unknown) {
      done = true;
      is_unknown = unknown;
    });
    cr_assert(fake.loop.RunUntil([&] { return done; }, 5'000), "%s", name);
    cr_expect_eq(is_unknown, is_reset, "%s", name);
  }
  cr_expect_eq(fake.server.requests, 2, "%s", name);
}

workflow::OrderCallback ToUnknown(UnknownCallback done) {
  return [done = std::move(done)](const OrderAnswer& answer) {
    done(answer.status == OrderStatus::kUnknown);
  };
}

}  // namespace

// Guards against a transaction that the store has performed and that counts as
// refused, because libcurl sent it again: its job was answered with 503, and
// then it ran.
Test(PlatformStore, performed_transaction_that_was_reset_is_unknown) {
  ExpectUnknownAndSentOnce("transact", [](ResettingServer& fake,
                                          const UnknownCallback& done) {
    const auto adapter = std::make_shared<StoreAdapter>(StoreAdapter{
        fake.http, [&] { return fake.address(); }, MonotonicMs, nullptr, {}});
    MakeRowStore(adapter).transact({}, [done](const StoreAnswer& answer) {
      done(answer.status == StoreStatus::kUnknown);
    });
  });
}

// Guards against a maintenance that has begun and counts as refused.
Test(PlatformVms, performed_order_that_was_reset_is_unknown) {
  ExpectUnknownAndSentOnce(
      "maintain", [](ResettingServer& fake, const UnknownCallback& done) {
        MakeVmPort(
            fake.http, {}, [&] { return fake.address(); }, "front-1")
            .maintain({"vm-1", 1, 1}, [done](workflow::VmOrderStatus status) {
              done(status == workflow::VmOrderStatus::kUnknown);
            });
      });
}

// Guards against an order that a worker has carried out and that counts as
// refused, and against a second call to the permit authority, which handles one
// at a time.
Test(PlatformWorkers, performed_order_that_was_reset_is_unknown) {
  const auto port = [](ResettingServer& fake) {
    return MakeWorkerPort(fake.http);
  };
  const auto worker = [](const ResettingServer& fake) {
    return WorkerAddress{"i-1", fake.address(), ""};
  };
  ExpectUnknownAndSentOnce(
      "start", [&](ResettingServer& fake, const UnknownCallback& done) {
        port(fake).start(worker(fake), {}, ToUnknown(done));
      });
  ExpectUnknownAndSentOnce(
      "stop", [&](ResettingServer& fake, const UnknownCallback& done) {
        port(fake).stop(worker(fake), {}, ToUnknown(done));
      });
  ExpectUnknownAndSentOnce(
      "pace", [&](ResettingServer& fake, const UnknownCallback& done) {
        port(fake).pace(worker(fake), {}, ToUnknown(done));
      });
  ExpectUnknownAndSentOnce(
      "sync", [&](ResettingServer& fake, const UnknownCallback& done) {
        port(fake).sync(worker(fake), {},
                        [done](const workflow::SyncAnswer& answer) {
                          done(answer.status == OrderStatus::kUnknown);
                        });
      });
  ExpectUnknownAndSentOnce(
      "permit", [](ResettingServer& fake, const UnknownCallback& done) {
        MakePermitPort(fake.http, [&] { return fake.address(); })(
            {}, [done](const workflow::PermitAnswer& answer) {
              done(answer.status == workflow::PermitStatus::kFailed);
            });
      });
}

}  // namespace dotterelcove::platform
