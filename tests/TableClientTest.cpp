#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <utility>

#include "border/tables/JsonBytes.h"
#include "tests/PlatformHarness.h"
#include "tests/ScriptedServer.h"

namespace dotterelcove {
namespace {

int Int(TableStatus status) { return static_cast<int>(status); }

}  // namespace

// Guards against bytes altered by the JSON encoding.
Test(TableClient, keeps_every_byte_of_a_value) {
  PlatformHarness platform;
  std::string all;
  for (int i = 0; i < 256; ++i) all.push_back(static_cast<char>(i));
  const std::string values[] = {
      "",         "plain",        std::string("\0", 1),
      all,        all + "x",      all + "xy",
      "\xc0\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80",
      "өдөр"};
  for (const std::string& value : values) {
    platform.TransactAndWait({{}, {{"row", value, false}}});
    const ReadResult read = platform.ReadAndWait({"row"});
    cr_assert_eq(Int(read.status), Int(TableStatus::kOk));
    cr_expect(read.rows[0].value == value, "%zu bytes", value.size());
  }
}

// Guards against writes that ignore their condition.
Test(TableClient, commits_a_transaction_whole_or_not_at_all) {
  PlatformHarness platform;
  const auto first =
      platform.TransactAndWait({{{"a", 0}}, {{"a", "1", false}}});
  cr_assert_eq(Int(first.status), Int(TableStatus::kOk));
  struct Case {
    const char* name;
    std::vector<TableCheck> checks;
    TableStatus expected;
  };
  const Case cases[] = {
      {"absent row is there", {{"a", 0}}, TableStatus::kConflict},
      {"other version", {{"a", first.version + 1}}, TableStatus::kConflict},
      {"second check fails",
       {{"a", first.version}, {"b", 5}},
       TableStatus::kConflict},
      {"all hold", {{"a", first.version}, {"b", 0}}, TableStatus::kOk},
  };
  for (const Case& test_case : cases) {
    const auto result = platform.TransactAndWait(
        {test_case.checks, {{"c", "x", false}, {"a", "", true}}});
    cr_expect_eq(Int(result.status), Int(test_case.expected), "%s",
                 test_case.name);
    const bool written = platform.ValueOf("c") == "x";
    cr_expect_eq(written, test_case.expected == TableStatus::kOk, "%s",
                 test_case.name);
  }
  // A row that is removed and rewritten must not reuse its old version.
  const auto again =
      platform.TransactAndWait({{{"a", 0}}, {{"a", "2", false}}});
  cr_expect_gt(again.version, first.version);
}

// Guards against a status that misstates what took effect: "unavailable" must
// prove that nothing did, and no request may be sent twice.
Test(TableClient, tells_certain_failures_from_lost_answers) {
  struct Case {
    const char* name;
    PlatformFaults faults;
    TableStatus expected;
    int commits;
  };
  const Case cases[] = {
      {"none", {}, TableStatus::kOk, 1},
      {"outage", {.outage = true}, TableStatus::kUnavailable, 0},
      {"silent outage", {.silent_outage = true}, TableStatus::kUnknown, 0},
      {"answer late", {.delay_ms = 600}, TableStatus::kUnknown, 1},
      {"effect late", {.delay_applied_ms = 600}, TableStatus::kUnknown, 1},
      {"answer lost", {.lose_answers = 1}, TableStatus::kUnknown, 1},
      {"request lost", {.lose_requests = 1}, TableStatus::kUnknown, 0},
  };
  for (const Case& test_case : cases) {
    PlatformHarness platform;
    // Leaves connections that a client might reuse.
    platform.TransactAndWait({{}, {{"warm", "", false}}});
    platform.ReadAndWait({"warm"});
    platform.standin->faults() = test_case.faults;
    const auto result = platform.TransactAndWait({{}, {{"row", "x", false}}});
    cr_expect_eq(Int(result.status), Int(test_case.expected), "%s",
                 test_case.name);
    platform.Wait(
        [&] { return platform.CommitsOf("row") >= test_case.commits; });
    cr_expect_eq(platform.CommitsOf("row"), test_case.commits, "%s",
                 test_case.name);
    cr_expect_eq(platform.standin->stats().writes, 2u, "%s: copies sent",
                 test_case.name);
  }
}

// Guards against accepting answers that do not come from the table service.
Test(TableClient, treats_malformed_answers_as_failures) {
  struct Case {
    const char* name;
    int status;
    const char* body;
    TableStatus expected;
  };
  const Case cases[] = {
      {"no JSON", 200, "<html>", TableStatus::kUnknown},
      {"other JSON", 200, "[1]", TableStatus::kUnknown},
      {"negative version", 200, R"({"version": -1})", TableStatus::kUnknown},
      {"conflict without a row", 409, "{}", TableStatus::kUnavailable},
      {"bad request", 400, "{}", TableStatus::kUnavailable},
      {"internal error", 500, "{}", TableStatus::kUnknown},
      {"service down", 503, "", TableStatus::kUnavailable},
  };
  EventLoop loop;
  HttpResponse answer;
  auto server = leaf::try_handle_all(
      [&] {
        return HttpServer::Start(
            loop, {}, [&](const HttpRequest&, const HttpReply& reply) {
              reply.Send(answer);
            });
      },
      [] { return std::unique_ptr<HttpServer>(); });
  HttpClient http(loop);
  const TableClient client{
      http, "http://127.0.0.1:" + std::to_string(server->port())};
  for (const Case& test_case : cases) {
    answer.status = test_case.status;
    answer.body = test_case.body;
    TransactResult transacted;
    ReadResult read;
    int done = 0;
    Transact(client, {}, [&](TransactResult got) {
      transacted = std::move(got);
      done++;
    });
    ReadRows(client, {"a"}, [&](ReadResult got) {
      read = std::move(got);
      done++;
    });
    cr_assert(loop.RunUntil([&] { return done == 2; }, 5'000));
    cr_expect_eq(Int(transacted.status), Int(test_case.expected), "%s",
                 test_case.name);
    cr_expect_neq(Int(read.status), Int(TableStatus::kOk), "%s",
                  test_case.name);
    cr_expect(read.rows.empty(), "%s", test_case.name);
  }
}

// Guards against records that recovery misses at a page boundary, and against a
// partial list that looks complete.
Test(TableClient, scans_a_prefix_to_its_end_or_fails) {
  PlatformHarness platform;
  TableTransaction transaction;
  for (int i = 0; i < 1'201; ++i) {
    transaction.puts.push_back({"job/0/" + std::to_string(i), "v", false});
  }
  transaction.puts.push_back({"job/00", "other prefix", false});
  transaction.puts.push_back({"job/0", "other prefix", false});
  platform.TransactAndWait(transaction, 5'000);
  for (const bool fails : {false, true}) {
    ReadResult result;
    bool done = false;
    platform.standin->faults() = {};
    ScanAllRows(platform.tables(5'000), "job/0/", [&](ReadResult got) {
      result = std::move(got);
      done = true;
    });
    if (fails) {
      const uint64_t before = platform.standin->stats().reads;
      platform.Wait(
          [&] { return platform.standin->stats().reads == before + 1; });
      platform.standin->faults().outage = true;
    }
    cr_assert(platform.Wait([&] { return done; }));
    cr_expect_eq(result.status == TableStatus::kOk, !fails);
    cr_expect_eq(result.rows.size(), fails ? 0u : 1'201u);
  }
}

// Guards against a write that was carried out, and answered with an odd status,
// and counts as not executed: the owner sent it again, met its own conflict and
// gave up.
Test(TableClient, only_some_statuses_prove_that_nothing_was_done) {
  const std::pair<int, TableStatus> cases[] = {
      {400, TableStatus::kUnavailable}, {503, TableStatus::kUnavailable},
      {201, TableStatus::kUnknown},     {302, TableStatus::kUnknown},
      {404, TableStatus::kUnknown},     {408, TableStatus::kUnknown},
      {429, TableStatus::kUnknown},     {500, TableStatus::kUnknown},
      {504, TableStatus::kUnknown}};
  for (const auto& [status, meaning] : cases) {
    EventLoop loop;
    HttpClient http(loop);
    ScriptedServer server(loop);
    server.answer = "HTTP/1.1 " + std::to_string(status) +
                    " Odd\r\nContent-Length: 2\r\n\r\n{}";
    std::optional<TableStatus> transacted;
    std::optional<TableStatus> put;
    Transact({http, server.url(), 1'000}, {{}, {{"row", "x", false}}},
             [&](const TransactResult& result) { transacted = result.status; });
    cr_assert(loop.RunUntil([&] { return transacted.has_value(); }, 3'000));
    PutObject({http, server.url(), 1'000}, "a", "x",
              [&](const ObjectResult& result) { put = result.status; });
    cr_assert(loop.RunUntil([&] { return put.has_value(); }, 3'000));
    cr_expect_eq(Int(*transacted), Int(meaning), "%d", status);
    cr_expect_eq(Int(*put), Int(meaning), "%d", status);
  }
}

// Guards against a lost or truncated object.
Test(ObjectClient, stores_whole_objects_and_tells_absent_ones) {
  PlatformHarness platform;
  const std::string content = std::string(3 << 20, 'x') + '\0' + "end";
  ObjectResult put;
  ObjectResult got;
  ObjectResult absent;
  int done = 0;
  PutObject(platform.objects(5'000), "result/a", content, [&](ObjectResult r) {
    put = std::move(r);
    GetObject(platform.objects(5'000), "result/a", [&](ObjectResult whole) {
      got = std::move(whole);
      done++;
    });
    GetObject(platform.objects(), "result/b", [&](ObjectResult none) {
      absent = std::move(none);
      done++;
    });
  });
  cr_assert(platform.Wait([&] { return done == 2; }));
  cr_expect_eq(Int(put.status), Int(TableStatus::kOk));
  cr_expect(got.found && got.content == content);
  cr_expect(absent.status == TableStatus::kOk && !absent.found);
  platform.standin->faults().outage = true;
  done = 0;
  GetObject(platform.objects(), "result/a", [&](ObjectResult r) {
    got = std::move(r);
    done++;
  });
  cr_assert(platform.Wait([&] { return done == 1; }));
  cr_expect(got.status == TableStatus::kUnavailable && !got.found);
}

// Guards against a VM that is lost or decoded wrongly, and covers a frozen, a
// lagging and a malformed list.
Test(VmList, reads_the_list_with_its_lag) {
  PlatformHarness platform;
  const Vm worker{"w-1",
                  VmRole::kWorker,
                  VmState::kLive,
                  "z1",
                  "r1",
                  "http://127.0.0.1:1/w/w-1",
                  {16'000, 32'768, 2},
                  "",
                  0,
                  0};
  const Vm endpoint{"e-1",
                    VmRole::kEndpoint,
                    VmState::kLeaving,
                    "z2",
                    "r2",
                    "http://127.0.0.1:2",
                    {},
                    "stepline",
                    8,
                    64};
  const VmListClient client{platform.http, platform.standin->url()};
  const auto fetch = [&] {
    VmListResult result;
    bool done = false;
    FetchVms(client, [&](VmListResult got) {
      result = std::move(got);
      done = true;
    });
    platform.Wait([&] { return done; });
    return result;
  };
  platform.standin->SetVms({worker, endpoint});
  const VmListResult both = fetch();
  cr_assert(both.ok && both.vms.size() == 2);
  cr_expect(both.vms[0].capacity == worker.capacity);
  cr_expect(both.vms[1].state == VmState::kLeaving && both.vms[1].slots == 8);
  cr_expect_str_eq(both.vms[1].service.c_str(), "stepline");
  platform.standin->FreezeVms(true);
  platform.standin->SetVms({worker});
  cr_expect_eq(fetch().vms.size(), 2u, "a frozen list does not change");
  platform.standin->FreezeVms(false);
  cr_expect_eq(fetch().vms.size(), 1u);
  platform.standin->faults().vm_list_lag_ms = 60'000;
  cr_expect_eq(fetch().vms.size(), 0u, "the list of a minute ago is empty");
  std::vector<Vm> vms;
  for (
      const char* text :
      {"", "{}", "[]", R"({"vms":[{"id":"a"}]})",
       R"({"vms":[{"id":"a","role":"king","state":"live","zone":"","rack":"","address":""}]})",
       R"({"vms":[{"id":"a","role":"worker","state":"live","zone":"","rack":"","address":"","milli_cores":-1,"memory_mb":1,"accelerators":0}]})"}) {
    cr_expect_not(VmsFromJson(text, vms), "%s", text);
  }
}

}  // namespace dotterelcove
