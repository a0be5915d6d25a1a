// Orders to a worker that has started again under its id, at the same address:
// none that is meant for the earlier incarnation may reach the next one.
#include <criterion/criterion.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/Clock.h"
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
    this->incarnation++;
    this->ResetConnections();
  }

  void ResetConnections() {
    HttpServerOptions options;
    options.port = this->server ? this->server->port() : 0;
    this->server.reset();
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
    this->held.push_back(reply);
    if (this->is_silent) return;
    HttpResponse response;
    response.body = Json{{"clock_ms", 5}, {"born", this->incarnation}}.dump();
    if (this->closes_connections) {
      response.headers.emplace_back("Connection", "close");
    }
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
  std::vector<HttpReply> held;
  /// Each answer closes its connection.
  bool closes_connections = false;
  /// Calls are received and not answered.
  bool is_silent = false;
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

// Guards against a new connection, and a sync, for each of many orders to one
// worker, and against orders of a burst that are not sent.
Test(PlatformWorkers, burst_of_starts_opens_few_connections) {
  RestartingWorker worker;
  cr_assert(worker.Sync(1).status == OrderStatus::kOk);
  constexpr int kOrders = 20;
  int started = 0;
  int answered = 0;
  for (int i = 0; i < kOrders; ++i) {
    worker.port.start(worker.AddressOf(1),
                      {"t" + std::to_string(i), 1, "", 9'000, 7, "", ""},
                      [&](const OrderAnswer& answer) {
                        ++answered;
                        if (answer.status == OrderStatus::kOk) ++started;
                      });
  }
  cr_assert(worker.loop.RunUntil([&] { return answered == kOrders; }, kWaitMs));
  cr_expect_eq(started, kOrders);
  cr_expect_eq(worker.CountCalls(1, "/run-start"), kOrders);
  cr_expect_leq(worker.server->open_connections(), 2U);
  cr_expect_leq(worker.CountCalls(1, "/hold"), 2);
}

// Guards against a connection and a sync for each order of a burst that a
// restart has overtaken, and against orders of it that count as possibly
// carried out.
Test(PlatformWorkers, burst_before_a_restart_asks_once) {
  RestartingWorker worker;
  cr_assert(worker.Sync(1).status == OrderStatus::kOk);
  worker.StartAgain();
  constexpr int kOrders = 20;
  int refused = 0;
  int answered = 0;
  for (int i = 0; i < kOrders; ++i) {
    worker.port.start(worker.AddressOf(1),
                      {"t" + std::to_string(i), 1, "", 9'000, 7, "", ""},
                      [&](const OrderAnswer& answer) {
                        ++answered;
                        const bool is_refused =
                            answer.status == OrderStatus::kOtherIncarnation;
                        if (is_refused) ++refused;
                      });
  }
  cr_assert(worker.loop.RunUntil([&] { return answered == kOrders; }, kWaitMs));
  cr_expect_eq(refused, kOrders);
  cr_expect_eq(worker.CountCalls(2, "/run-start"), 0);
  cr_expect_leq(worker.CountCalls(2, "/hold"), 2);
}

// Guards against a worker that does not tell its incarnation and gets no
// orders, and against one that keeps no connection open and is asked for ever.
Test(PlatformWorkers, unusual_workers_end_the_search_for_a_connection) {
  RestartingWorker nameless;
  nameless.incarnation = 0;
  cr_expect(nameless.Start(1) == OrderStatus::kOk);
  cr_expect_eq(nameless.CountCalls(0, "/run-start"), 1);
  RestartingWorker closing;
  closing.closes_connections = true;
  cr_expect(closing.Start(1) == OrderStatus::kNotSent);
  cr_expect_eq(closing.CountCalls(1, "/run-start"), 0);
  cr_expect_leq(closing.CountCalls(1, "/hold"), 3);
}

// Guards against a worker that counts as gone because its idle connections were
// closed: the order follows a sync on a new one.
Test(PlatformWorkers, order_after_a_closed_connection_is_sent) {
  RestartingWorker worker;
  cr_assert(worker.Sync(1).status == OrderStatus::kOk);
  worker.ResetConnections();
  cr_expect(worker.Start(1) == OrderStatus::kOk);
  cr_expect_eq(worker.CountCalls(1, "/run-start"), 1);
  cr_expect_eq(worker.CountCalls(1, "/hold"), 2);
}

// Guards against an order that waits for a connection beyond its time limit, or
// that counts as possibly carried out although it was not sent.
Test(PlatformWorkers, order_without_a_connection_in_time_is_not_sent) {
  RestartingWorker worker;
  cr_assert(worker.Sync(1).status == OrderStatus::kOk);
  worker.ResetConnections();
  worker.is_silent = true;
  constexpr TimeMs kOrderLimitMs = 400;
  const TimeMs begun_ms = MonotonicMs();
  cr_expect(worker.Start(1) == OrderStatus::kNotSent);
  cr_expect_lt(MonotonicMs() - begun_ms, kOrderLimitMs);
  cr_expect_eq(worker.CountCalls(1, "/run-start"), 0);
}

// Guards against an order that was sent and reset and counts as not sent.
Test(PlatformWorkers, order_that_was_sent_and_reset_is_unknown) {
  RestartingWorker worker;
  cr_assert(worker.Sync(1).status == OrderStatus::kOk);
  worker.is_silent = true;
  std::optional<OrderAnswer> got;
  worker.port.start(worker.AddressOf(1), {"t", 1, "", 9'000, 7, "", ""},
                    [&](const OrderAnswer& answer) { got = answer; });
  cr_assert(worker.loop.RunUntil(
      [&] { return worker.CountCalls(1, "/run-start") == 1; }, kWaitMs));
  worker.is_silent = false;
  worker.StartAgain();
  cr_assert(worker.loop.RunUntil([&] { return got.has_value(); }, kWaitMs));
  cr_expect(got->status == OrderStatus::kUnknown);
  cr_expect_eq(worker.CountCalls(2, "/run-start"), 0);
}

// Guards against an unknown incarnation that keeps orders from being sent.
Test(PlatformWorkers, order_for_any_incarnation_is_sent_at_once) {
  RestartingWorker worker;
  cr_expect(worker.Start(0) == OrderStatus::kOk);
  cr_expect_eq(worker.CountCalls(1, "/hold"), 0);
}

}  // namespace dotterelcove::platform
