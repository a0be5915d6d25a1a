#include <criterion/criterion.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "base/Base64.h"
#include "base/Clock.h"
#include "platform/StoreAdapter.h"
#include "platform/WorkerAdapter.h"
#include "telemetry/Log.h"

namespace dotterelcove::platform {
namespace {

using Json = nlohmann::json;

/// Server with a configurable answer that records the last request.
struct FakeServer {
  FakeServer() : http(loop) {
    SetLogOutput([](const std::string&) {});
    auto started = HttpServer::Start(
        this->loop, {}, [this](const HttpRequest& request, HttpReply reply) {
          this->last = request;
          HttpResponse response;
          response.status = this->status;
          response.body = this->body;
          if (!this->silent) reply.Send(response);
          this->held.push_back(reply);
        });
    cr_assert(started);
    this->server = std::move(*started);
    this->store = std::make_shared<StoreAdapter>(
        StoreAdapter{this->http,
                     [this] { return this->address(); },
                     MonotonicMs,
                     nullptr,
                     {}});
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->server->port());
  }

  EventLoop loop;
  HttpClient http;
  std::unique_ptr<HttpServer> server;
  std::shared_ptr<StoreAdapter> store;
  HttpRequest last;
  std::vector<HttpReply> held;
  int status = 200;
  std::string body = "{}";
  bool silent = false;
};

StoreAnswer TransactOnce(FakeServer& fake, RowTransaction transaction) {
  StoreAnswer got;
  bool done = false;
  MakeRowStore(fake.store)
      .transact(std::move(transaction), [&](StoreAnswer answer) {
        got = std::move(answer);
        done = true;
      });
  cr_assert(fake.loop.RunUntil([&] { return done; }, 3'000));
  return got;
}

workflow::OrderStatus StartOnce(FakeServer& fake) {
  workflow::OrderAnswer got;
  bool done = false;
  workflow::StartOrder order;
  order.task = "0123456789abcdef.0.0.1";
  order.run = 2;
  order.payload = "text";
  order.lease_end_clock_ms = 9'000;
  order.token = 7;
  order.ticket = "t";
  MakeWorkerPort(fake.http).start({"i-1", fake.address(), ""}, order,
                                  [&](workflow::OrderAnswer answer) {
                                    got = answer;
                                    done = true;
                                  });
  cr_assert(fake.loop.RunUntil([&] { return done; }, 3'000));
  return got.status;
}

}  // namespace

// Guards against misclassifying a status of the store: only some prove that
// nothing was done.
Test(PlatformStore, each_status_has_its_meaning) {
  const std::pair<int, StoreStatus> cases[] = {
      {200, StoreStatus::kOk},      {412, StoreStatus::kConflict},
      {429, StoreStatus::kRefused}, {503, StoreStatus::kRefused},
      {400, StoreStatus::kInvalid}, {403, StoreStatus::kInvalid},
      {404, StoreStatus::kInvalid}, {413, StoreStatus::kInvalid},
      {410, StoreStatus::kUnknown}, {408, StoreStatus::kUnknown},
      {500, StoreStatus::kUnknown}, {502, StoreStatus::kUnknown},
      {504, StoreStatus::kUnknown}, {507, StoreStatus::kUnknown},
      {202, StoreStatus::kUnknown}, {204, StoreStatus::kUnknown},
      {302, StoreStatus::kUnknown}, {418, StoreStatus::kUnknown}};
  FakeServer fake;
  for (const auto& [status, meaning] : cases) {
    fake.status = status;
    cr_expect(TransactOnce(fake, {}).status == meaning, "%d", status);
  }
  fake.status = 200;
  fake.body = "no JSON";
  cr_expect(TransactOnce(fake, {}).status == StoreStatus::kUnknown);
}

// Guards against a read or a feed whose failure counts as an answer, and
// against a daemon that takes a store which answers them with errors for one in
// service.
Test(PlatformStore, each_status_of_a_feed_has_its_meaning) {
  const std::pair<int, StoreStatus> cases[] = {
      {200, StoreStatus::kOk},      {410, StoreStatus::kHistoryLost},
      {429, StoreStatus::kRefused}, {503, StoreStatus::kRefused},
      {412, StoreStatus::kUnknown}, {404, StoreStatus::kUnknown},
      {500, StoreStatus::kUnknown}, {204, StoreStatus::kUnknown}};
  FakeServer fake;
  for (const auto& [status, meaning] : cases) {
    fake.status = status;
    bool done = false;
    MakeRowStore(fake.store).changes("op", 7, 100, [&](StoreAnswer answer) {
      cr_expect(answer.status == meaning, "%d", status);
      done = true;
    });
    cr_assert(fake.loop.RunUntil([&] { return done; }, 3'000));
    const bool is_sound = status == 200 || status == 410;
    cr_expect_eq(fake.store->health.failing_since_ms < 0, is_sound, "%d",
                 status);
  }
}

// Guards against treating an unanswered write as refused.
Test(PlatformStore, timeout_leaves_the_outcome_unknown) {
  FakeServer fake;
  fake.silent = true;
  cr_expect(TransactOnce(fake, {}).status == StoreStatus::kUnknown);
  cr_expect_geq(fake.store->health.failing_since_ms, 0);
}

// Guards against a lost answer that stalls the owner for long, and against
// treating a slow store as unavailable.
Test(PlatformStore, timeout_follows_the_answers) {
  CallTiming timing;
  const TimeMs usual_ms = StoreTimeoutMs(timing);
  cr_expect_leq(usual_ms, 300);
  timing.unanswered = 1;
  cr_expect_geq(StoreTimeoutMs(timing), 2 * usual_ms);
  timing.unanswered = 0;
  timing.latency_ms = 250;
  cr_expect_geq(StoreTimeoutMs(timing), 900);
}

// Guards against transactions that time out for as long as the store is slow.
// Answered reads once reset the transaction timeout each time, which left 57
// jobs unanswered (trouble-2 of vppca-yard).
Test(PlatformStore, transactions_of_a_slow_store_stop_timing_out) {
  constexpr TimeMs kReadMs = 240;
  constexpr TimeMs kTransactionMs = 480;
  StoreHealth health;
  int timeouts = 0;
  for (int i = 0; i < 20; ++i) {
    UpdateCallTiming(health.reads, StoreStatus::kOk, kReadMs);
    const TimeMs limit_ms = StoreTimeoutMs(health.transactions);
    const bool answered = kTransactionMs < limit_ms;
    if (!answered) ++timeouts;
    UpdateCallTiming(health.transactions,
                     answered ? StoreStatus::kOk : StoreStatus::kUnknown,
                     std::min(kTransactionMs, limit_ms));
  }
  cr_expect_leq(timeouts, 3);
}

// Guards against a transaction body that deviates from the platform's format.
Test(PlatformStore, transaction_matches_the_platform_format) {
  FakeServer fake;
  fake.body = R"({"row_version": 412})";
  RowTransaction transaction;
  transaction.conditions.push_back({"owner", "cell", 5});
  transaction.puts.push_back({"owner", "cell", "value"});
  cr_expect_eq(TransactOnce(fake, transaction).version, 412U);
  const Json sent = Json::parse(fake.last.body);
  cr_expect_str_eq(fake.last.path.c_str(), "/rows-tx");
  cr_expect_eq(sent.at("expected_rev").at(0).at("row_version"), 5);
  cr_expect_eq(sent.at("puts").at(0).at("value"), EncodeBase64("value"));
  cr_expect_not(sent.contains("cross_shard"));
  transaction.puts.push_back({"job", "0123456789abcdef", "x"});
  TransactOnce(fake, transaction);
  cr_expect(Json::parse(fake.last.body).at("cross_shard").get<bool>());
}

// Guards against misclassifying a worker's refusal.
Test(PlatformWorkers, each_refusal_has_its_meaning) {
  struct Case {
    int status;
    const char* body;
    workflow::OrderStatus meaning;
  };
  const Case cases[] = {
      {200, R"({"clock_ms": 5})", workflow::OrderStatus::kOk},
      {409, R"({"reason": "fence"})", workflow::OrderStatus::kFenced},
      {409, R"({"reason": "old"})", workflow::OrderStatus::kOldRun},
      {409, R"({"reason": "late"})", workflow::OrderStatus::kLate},
      {409, R"({"reason": "room"})", workflow::OrderStatus::kNoRoom},
      {409, R"({"reason": "ticket"})", workflow::OrderStatus::kNoTicket},
      {409, R"({"reason": "new"})", workflow::OrderStatus::kMalformed},
      {421, "", workflow::OrderStatus::kOtherIncarnation},
      {429, "", workflow::OrderStatus::kUnhealthy},
      {503, "", workflow::OrderStatus::kUnhealthy},
      {400, "", workflow::OrderStatus::kMalformed},
      // Whoever answers so may have carried the order out.
      {500, "", workflow::OrderStatus::kUnknown},
      {502, "", workflow::OrderStatus::kUnknown},
      {504, "", workflow::OrderStatus::kUnknown}};
  FakeServer fake;
  for (const Case& each : cases) {
    fake.status = each.status;
    fake.body = each.body;
    cr_expect(StartOnce(fake) == each.meaning, "%d %s", each.status, each.body);
  }
  cr_expect_str_eq(fake.last.headers.at("x-expect-instance").c_str(), "i-1");
  const Json sent = Json::parse(fake.last.body);
  cr_expect_eq(sent.at("deadline_ms"), 9'000);
  cr_expect_eq(sent.at("fencing_token"), 7);
  cr_expect_eq(sent.at("ticket"), "t");
  cr_expect_not(sent.contains("checkpoint"));
}

// Guards against treating an unanswered start as not executed.
Test(PlatformWorkers, timeout_leaves_a_start_unknown) {
  FakeServer fake;
  fake.silent = true;
  cr_expect(StartOnce(fake) == workflow::OrderStatus::kUnknown);
}

// Guards against decoding a worker's running and finished lists wrongly.
Test(PlatformWorkers, lists_of_runs_are_decoded) {
  FakeServer fake;
  fake.body = R"({"clock_ms": 482113, "born": 99,
    "running": [["a.0.0.1", 2, "save", 41], ["a.0.0.2", 1, "", 7.5, 12.5]],
    "finished": [[58, "a.0.0.3", 1, "done", ""],
                 [59, "a.0.0.4", 3, "alone", "s"], [60, "b", 1, "odd", ""]]})";
  workflow::SyncAnswer got;
  bool done = false;
  MakeWorkerPort(fake.http).sync({"i-1", fake.address(), ""}, {7, 57, 0, 0},
                                 [&](workflow::SyncAnswer answer) {
                                   got = std::move(answer);
                                   done = true;
                                 });
  cr_assert(fake.loop.RunUntil([&] { return done; }, 3'000));
  cr_assert(got.status == workflow::OrderStatus::kOk);
  cr_expect_eq(got.incarnation, 99U);
  cr_assert_eq(got.running.size(), 2U);
  cr_expect_eq(got.running[0].percent, 41);
  cr_expect_float_eq(got.running[1].usage, 12.5, 0.01);
  cr_assert_eq(got.ended.size(), 3U);
  cr_expect(got.ended[0].end == workflow::RunEnd::kDone);
  cr_expect(got.ended[1].end == workflow::RunEnd::kAlone);
  // An unknown kind of end is never a success.
  cr_expect(got.ended[2].end == workflow::RunEnd::kStopped);
  const Json sent = Json::parse(fake.last.body);
  cr_expect_eq(sent.at("ack_cursor"), 57);
  cr_expect_not(sent.contains("deadline_ms"));
}

// Guards against decoding permits wrongly, and against treating a busy
// authority as a refusal of all workers.
Test(PlatformPermits, answers_are_decoded) {
  FakeServer fake;
  workflow::PermitAnswer got;
  const auto ask = [&] {
    bool done = false;
    MakePermitPort(fake.http, [&] { return fake.address(); })(
        {"a.0.1", {"i-1", "i-2"}}, [&](workflow::PermitAnswer answer) {
          got = std::move(answer);
          done = true;
        });
    cr_assert(fake.loop.RunUntil([&] { return done; }, 3'000));
  };
  fake.body = R"({"allowed": [["i-1", "ticket"]], "validity_ms": 3000})";
  ask();
  cr_assert(got.status == workflow::PermitStatus::kOk);
  cr_expect_str_eq(got.grants.at(0).ticket.c_str(), "ticket");
  cr_expect_eq(got.validity_ms, 3'000);
  fake.status = 429;
  ask();
  cr_expect(got.status == workflow::PermitStatus::kBusy);
  fake.status = 200;
  fake.body = "{}";
  ask();
  cr_expect(got.status == workflow::PermitStatus::kFailed);
}

}  // namespace dotterelcove::platform
