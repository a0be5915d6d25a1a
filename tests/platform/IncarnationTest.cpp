// Orders to a worker that has started again under its id, at the same address:
// none that is meant for the earlier incarnation may reach the next one.
#include <criterion/criterion.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/WorkerAdapter.h"
#include "telemetry/Log.h"

namespace dotterelcove::platform {
namespace {

using Json = nlohmann::json;
using workflow::OrderAnswer;
using workflow::OrderStatus;

constexpr TimeMs kWaitMs = 3'000;

/// A worker that records its calls. A restart resets its connections.
struct RestartingWorker {
  struct Call {
    uint64_t incarnation = 0;
    std::string path;
    Json body;
  };

  RestartingWorker() : http(loop, 4), port(MakeWorkerPort(http)) {
    SetLogOutput([](const std::string&) {});
    this->StartAgain();
  }

  void StartAgain() {
    HttpServerOptions options;
    options.port = this->server ? this->server->port() : 0;
    this->server.reset();
    this->incarnation++;
    auto started =
        HttpServer::Start(this->loop, options,
                          [this](const HttpRequest& request, HttpReply reply) {
                            this->OnRequest(request, std::move(reply));
                          });
    cr_assert(started);
    this->server = std::move(*started);
  }

  void OnRequest(const HttpRequest& request, HttpReply reply) {
    this->calls.push_back(
        {this->incarnation, request.path, Json::parse(request.body)});
    HttpResponse response;
    response.body = Json{{"clock_ms", 5}, {"born", this->incarnation}}.dump();
    reply.Send(response);
  }

  workflow::WorkerAddress AddressOf(uint64_t meant) const {
    workflow::WorkerAddress worker;
    worker.id = "i-1";
    worker.address = "127.0.0.1:" + std::to_string(this->server->port());
    worker.incarnation = meant;
    return worker;
  }

  workflow::SyncAnswer Sync(uint64_t meant) {
    std::optional<workflow::SyncAnswer> got;
    this->port.sync(this->AddressOf(meant), {7, 0, 0, 0},
                    [&](const workflow::SyncAnswer& answer) { got = answer; });
    cr_assert(this->loop.RunUntil([&] { return got.has_value(); }, kWaitMs));
    return *got;
  }

  OrderStatus Start(uint64_t meant) {
    return this->Wait([&](const workflow::OrderCallback& done) {
      this->port.start(this->AddressOf(meant), {"t", 1, "", 9'000, 7, "", ""},
                       done);
    });
  }
  OrderStatus Stop(uint64_t meant) {
    return this->Wait([&](const workflow::OrderCallback& done) {
      this->port.stop(this->AddressOf(meant), {"t", 1, 7}, done);
    });
  }
  OrderStatus Pace(uint64_t meant) {
    return this->Wait([&](const workflow::OrderCallback& done) {
      this->port.pace(this->AddressOf(meant), {"t", 1, 50, 7}, done);
    });
  }

  template <class Send>
  OrderStatus Wait(const Send& send) {
    std::optional<OrderAnswer> got;
    send([&](const OrderAnswer& answer) { got = answer; });
    cr_assert(this->loop.RunUntil([&] { return got.has_value(); }, kWaitMs));
    return got->status;
  }

  /// Number of calls that this incarnation received on the path.
  int CountCalls(uint64_t of, const std::string& path) const {
    int count = 0;
    for (const Call& call : this->calls) {
      if (call.incarnation == of && call.path == path) ++count;
    }
    return count;
  }

  EventLoop loop;
  HttpClient http;
  workflow::WorkerPort port;
  std::unique_ptr<HttpServer> server;
  uint64_t incarnation = 0;
  std::vector<Call> calls;
};

}  // namespace

// Guards against a start that is meant for one incarnation of a worker and is
// carried out by the next, which may be of another kind, or run the task a
// second time. The wire names the worker by its id only.
Test(PlatformWorkers, start_for_an_earlier_incarnation_is_not_sent) {
  RestartingWorker worker;
  cr_assert(worker.Sync(1).status == OrderStatus::kOk);
  cr_expect(worker.Start(1) == OrderStatus::kOk);
  worker.StartAgain();
  cr_expect(worker.Start(1) == OrderStatus::kOtherIncarnation);
  cr_expect_eq(worker.CountCalls(2, "/run-start"), 0);
  cr_expect(worker.Start(2) == OrderStatus::kOk);
  cr_expect_eq(worker.CountCalls(2, "/run-start"), 1);
}

// Guards against a stop or a pace for an earlier incarnation that reaches the
// next one, which may have been given a run of the same number.
Test(PlatformWorkers, stop_for_an_earlier_incarnation_is_not_sent) {
  RestartingWorker worker;
  cr_assert(worker.Sync(1).status == OrderStatus::kOk);
  cr_expect(worker.Stop(1) == OrderStatus::kOk);
  cr_expect(worker.Pace(1) == OrderStatus::kOk);
  worker.StartAgain();
  cr_expect(worker.Stop(1) == OrderStatus::kOtherIncarnation);
  cr_expect(worker.Pace(1) == OrderStatus::kOtherIncarnation);
  cr_expect_eq(worker.CountCalls(2, "/run-stop"), 0);
  cr_expect_eq(worker.CountCalls(2, "/pace"), 0);
}

}  // namespace dotterelcove::platform
