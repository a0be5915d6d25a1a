// The clients of the store against one that answers with an error, after it has
// performed the call or without performing it.
#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "base/Clock.h"
#include "loop/LoopRuntime.h"
#include "node/JobStore.h"
#include "platform/Manifest.h"
#include "platform/StoreAdapter.h"
#include "store/OwnerCommitter.h"
#include "telemetry/Log.h"

namespace dotterelcove::platform {
namespace {

using Json = nlohmann::json;

/// A store over HTTP whose next answers are replaced by a status, after the
/// call has been performed.
struct FailingStore {
  FailingStore() : http(loop), loop_runtime(loop) {
    SetLogOutput([](const std::string&) {});
    auto started = HttpServer::Start(
        this->loop, {}, [this](const HttpRequest& request, HttpReply reply) {
          reply.Send(this->Answer(request));
        });
    cr_assert(started);
    this->server = std::move(*started);
    this->adapter = std::make_shared<StoreAdapter>(StoreAdapter{
        this->http,
        [this] { return "127.0.0.1:" + std::to_string(this->server->port()); },
        MonotonicMs,
        nullptr,
        {}});
    this->runtime = this->loop_runtime.MakeRuntime();
    this->store = MakeRowStore(this->adapter);
  }

  HttpResponse Answer(const HttpRequest& request) {
    this->calls[request.path]++;
    HttpResponse response = request.path == "/rows-tx"
                                ? this->Apply(Json::parse(request.body))
                                : this->Read(request);
    const bool fails = request.path == this->failing_path &&
                       (this->failures < 0 || this->failures-- > 0);
    if (!fails) return response;
    response.status = this->failing_status;
    response.body = this->failing_body;
    return response;
  }

  HttpResponse Apply(const Json& transaction) {
    HttpResponse response;
    Json current = Json::array();
    for (const Json& condition : transaction.at("expected_rev")) {
      const auto found = this->rows.find(condition.at("key"));
      const Json known = found == this->rows.end() ? Json() : found->second;
      const uint64_t version =
          known.is_null() ? 0 : known.at("row_version").get<uint64_t>();
      if (version != condition.at("row_version")) response.status = 412;
      if (!known.is_null()) current.push_back(known);
    }
    if (response.status == 412) {
      response.body = Json{{"rows", current}}.dump();
      return response;
    }
    this->version++;
    for (Json put : transaction.at("puts")) {
      put["row_version"] = this->version;
      this->rows[put.at("key")] = put;
    }
    response.body = Json{{"row_version", this->version}}.dump();
    return response;
  }

  HttpResponse Read(const HttpRequest& request) const {
    Json found = Json::array();
    for (const auto& [key, row] : this->rows) {
      if (row.at("table") != request.query.at("table")) continue;
      const auto from = request.query.find("from");
      if (from != request.query.end() && key < from->second) continue;
      found.push_back(row);
    }
    HttpResponse response;
    response.body =
        Json{{"rows", found}, {"row_version", this->version}}.dump();
    return response;
  }

  EventLoop loop;
  HttpClient http;
  LoopRuntime loop_runtime;
  Runtime runtime;
  std::unique_ptr<HttpServer> server;
  std::shared_ptr<StoreAdapter> adapter;
  RowStore store;
  std::map<std::string, Json> rows;
  uint64_t version = 10;
  std::map<std::string, int> calls;
  std::string failing_path;
  /// Number of answers that are replaced, negative for all.
  int failures = 0;
  int failing_status = 500;
  std::string failing_body = "{}";
};

constexpr const char* kJob = "71f6feee1b777b16";

JobOutcome InsertOnce(FailingStore& fake) {
  JobOutcome got;
  bool done = false;
  InsertJobOnce(fake.runtime, fake.store, kJob, "spec",
                [&](JobOutcome outcome) {
                  got = std::move(outcome);
                  done = true;
                });
  cr_assert(fake.loop.RunUntil([&] { return done; }, 3'000));
  return got;
}

}  // namespace

// Guards against a job that is answered with 503 and runs: the store had stored
// it and answered with another status than 200, which counted as a refusal.
Test(PlatformStore, performed_insert_with_an_error_is_not_refused) {
  for (const int status : {500, 502, 504, 507, 408, 400, 404, 202, 204, 410}) {
    FailingStore fake;
    fake.failing_path = "/rows-tx";
    fake.failures = 1;
    fake.failing_status = status;
    const JobOutcome outcome = InsertOnce(fake);
    cr_expect(outcome.answer == JobAnswer::kUnknown, "%d", status);
    cr_expect_str_eq(outcome.reason.c_str(), std::to_string(status).c_str());
    cr_expect(InsertOnce(fake).answer == JobAnswer::kStored, "%d", status);
  }
}

// Guards against a job that is accepted and stored nowhere: a conflict counted
// as proof of its row, whatever it showed.
Test(PlatformStore, conflict_without_the_row_accepts_nothing) {
  for (const char* body : {"{}", R"({"rows": []})", "no JSON"}) {
    FailingStore fake;
    fake.failing_path = "/rows-tx";
    fake.failures = 1;
    fake.failing_status = 412;
    fake.failing_body = body;
    cr_expect(InsertOnce(fake).answer == JobAnswer::kUnknown, "%s", body);
    const JobOutcome outcome = InsertOnce(fake);
    cr_expect(outcome.answer == JobAnswer::kStored);
    cr_expect_gt(outcome.row.version, 0U);
  }
}

// Guards against a cancellation that is tried for ever, as fast as the store
// answers, while each attempt meets a conflict.
Test(PlatformStore, cancellation_in_conflict_ends_at_its_deadline) {
  FailingStore fake;
  cr_assert(InsertOnce(fake).answer == JobAnswer::kStored);
  fake.failing_path = "/rows-tx";
  fake.failures = -1;
  fake.failing_status = 412;
  fake.calls.clear();
  JobOutcome got;
  bool done = false;
  InsertCancellation(
      fake.runtime, fake.store, kJob, MonotonicMs() + 400, [] { return true; },
      [&](JobOutcome outcome) {
        got = std::move(outcome);
        done = true;
      });
  cr_assert(fake.loop.RunUntil([&] { return done; }, 2'000));
  cr_expect(got.answer == JobAnswer::kRefused);
  cr_expect_leq(fake.calls["/rows-tx"], 10);
}

// Guards against a job in doubt whose every further attempt gets an error: it
// must end as unknown at the deadline, not as refused.
Test(PlatformStore, insert_in_doubt_ends_unknown) {
  FailingStore fake;
  fake.failing_path = "/rows-tx";
  fake.failures = -1;
  JobOutcome got;
  bool done = false;
  InsertJob(fake.runtime, fake.store, kJob, "spec", MonotonicMs() + 400,
            [&](JobOutcome outcome) {
              got = std::move(outcome);
              done = true;
            });
  cr_assert(fake.loop.RunUntil([&] { return done; }, 3'000));
  cr_expect(got.answer == JobAnswer::kUnknown);
  cr_expect_geq(got.calls, 2U);
}

// Guards against an insert that the store rejects as such, and that is sent
// again until the caller's deadline.
Test(PlatformStore, rejected_insert_is_not_repeated) {
  for (const int status : {400, 403, 404, 413}) {
    FailingStore fake;
    fake.failing_path = "/rows-tx";
    fake.failures = -1;
    fake.failing_status = status;
    JobOutcome got;
    bool done = false;
    InsertJob(fake.runtime, fake.store, kJob, "spec", MonotonicMs() + 2'000,
              [&](JobOutcome outcome) {
                got = std::move(outcome);
                done = true;
              });
    cr_assert(fake.loop.RunUntil([&] { return done; }, 3'000));
    cr_expect(got.answer == JobAnswer::kUnknown, "%d", status);
    cr_expect(got.is_final, "%d", status);
    cr_expect_eq(fake.calls["/rows-tx"], 1, "%d", status);
  }
}

// Guards against an owner that sends a commit twice, or at the rate of the
// store's answers, when each one is performed and answered with an error.
Test(PlatformStore, performed_commits_with_an_error_are_committed_once) {
  FailingStore fake;
  fake.failing_path = "/rows-tx";
  OwnerRow row;
  row.epoch = 1;
  row.process = "front-1";
  row.incarnation = 5;
  row.version = 0;
  bool deposed = false;
  const auto committer = std::make_shared<OwnerCommitter>(
      fake.runtime, fake.store, row, OwnerCommitterOptions{},
      [&] { deposed = true; });
  committer->Start(fake.runtime.now());
  cr_assert(
      fake.loop.RunUntil([&] { return committer->row().version > 0; }, 3'000));
  fake.failures = -1;
  fake.calls.clear();
  int committed = 0;
  committer->Commit({{"progress", kJob, "done"}}, {}, [&] { committed++; });
  cr_assert(fake.loop.RunUntil([&] { return committed > 0; }, 3'000));
  cr_expect_eq(committed, 1);
  cr_expect_eq(fake.calls["/rows-tx"], 1);
  cr_expect_eq(fake.calls["/rows-get"], 1);
  cr_expect_not(deposed);
  committer->Stop();
}

// Guards against a daemon that asks the store for the manifest as fast as it
// answers, when the feed fails at once and reads succeed.
Test(PlatformManifest, failing_feed_is_not_polled_without_a_pause) {
  struct Case {
    int status;
    const char* body;
  };
  for (const Case& each :
       {Case{200, "no JSON"}, Case{500, "{}"}, Case{404, "{}"}}) {
    FailingStore fake;
    fake.failing_path = "/rows-feed";
    fake.failures = -1;
    fake.failing_status = each.status;
    fake.failing_body = each.body;
    const auto follower = std::make_shared<ManifestFollower>();
    follower->runtime = fake.runtime;
    follower->store = fake.store;
    follower->changed = [](const Manifest&) {};
    follower->waves_changed = [](std::vector<workflow::MaintenanceWave>) {};
    StartManifestFollower(*follower);
    fake.loop.RunUntil([] { return false; }, 1'000);
    // One try in 100 ms.
    cr_expect_leq(fake.calls["/rows-feed"], 12, "%d", each.status);
    cr_expect_geq(fake.calls["/rows-feed"], 3, "%d", each.status);
  }
}

}  // namespace dotterelcove::platform
