// Entries of the worker list and answers that another program has written: of
// other types, out of range, deeply nested or unreadable. None may end the
// daemon or hide what stands beside it.
#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/Random.h"
#include "platform/StoreAdapter.h"
#include "platform/VmAdapter.h"
#include "platform/WorkerAdapter.h"
#include "telemetry/Log.h"

namespace dotterelcove::platform {
namespace {

using Json = nlohmann::json;
using workflow::WorkerInfo;

constexpr int kDepth = 100'000;

std::string Nested() {
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

/// Values as text, since some of them are no JSON.
std::vector<std::string> OddValues() {
  return {"null",
          "true",
          "-1",
          "0",
          "1e300",
          "-1e300",
          "1e400",
          "18446744073709551615",
          "9223372036854775807",
          "99999999999999999999999",
          "\"text\"",
          "\"\"",
          "\"\xff\xfe\"",
          "\"a\\u0000b\\r\\nX-Evil: 1\"",
          "\"10.0.0.1:0\"",
          "\"10.0.0.1:65536\"",
          "\"10.0.0.1:99999\"",
          "\"10.0.0.1:-1\"",
          "\"10.0.0.1\"",
          "\"10.0.0.1:80/x?\"",
          "\"host:80\"",
          "[]",
          "[1]",
          "{}",
          Nested()};
}

constexpr const char* kFields[] = {
    "service", "address", "zone",     "state",
    "labels",  "born",    "capacity", "drain_remaining_ms"};

/// The row of a worker with one field replaced by a text, or left out if that
/// is empty.
std::string MakeRow(const std::string& field, const std::string& value) {
  const std::pair<const char*, const char*> fields[] = {
      {"service", "\"s\""},
      {"address", "\"10.0.0.1:8161\""},
      {"zone", "\"z\""},
      {"state", "\"ready\""},
      {"labels", R"(["a", "r1"])"},
      {"born", "17"},
      {"capacity", R"({"cpu": 16000, "mem_mb": 32768, "gpu": 0})"},
      {"drain_remaining_ms", "5"}};
  std::string row;
  for (const auto& [name, usual] : fields) {
    const std::string& text = field == name ? value : usual;
    if (text.empty()) continue;
    row += (row.empty() ? "{\"" : ", \"") + std::string(name) + "\": " + text;
  }
  return row + "}";
}

std::string MakeCapacity(const std::string& cores) {
  return R"({"cpu": )" + cores + R"(, "mem_mb": 1, "gpu": 0})";
}

/// Whether the owner can calculate with the worker and call it.
bool IsSound(const WorkerInfo& worker) {
  constexpr int64_t kMax = 1'000'000'000;
  const Resources& all = worker.capacity;
  const bool in_range = all.milli_cores >= 0 && all.milli_cores <= kMax &&
                        all.memory_mb >= 0 && all.memory_mb <= kMax &&
                        all.accelerators >= 0 && all.accelerators <= kMax;
  return in_range && worker.address == "10.0.0.1:8161" &&
         worker.incarnation < UINT64_MAX / 2;
}

/// A worker list of two sound workers with one odd row between them.
struct OddList {
  explicit OddList(std::string odd) {
    // Enough for each test, so that no line is left out.
    SetLogLinesPerSecond(1'000'000);
    SetLogOutput([this](const std::string& line) {
      if (line.find("worker_row_skipped") != std::string::npos) ++this->skips;
    });
    const std::string good = MakeRow("", "");
    this->rows = {{kWorkerTable, "a", good, 1, false},
                  {kWorkerTable, "b", std::move(odd), 2, false},
                  {kWorkerTable, "c", good, 3, false}};
    RowStore store;
    store.read = [this](const std::string&, uint32_t, const std::string&,
                        uint32_t, const StoreCallback& done) {
      StoreAnswer answer;
      answer.status = StoreStatus::kOk;
      answer.rows = this->rows;
      done(answer);
    };
    this->list = MakeWorkerList(store);
  }
  ~OddList() { SetLogOutput({}); }

  std::vector<StoreRow> rows;
  workflow::WorkerListPort list;
  int skips = 0;
};

/// Reads the list several times and expects that both sound workers are there,
/// and that the odd row is sound or was named in the log once.
void ExpectListFollowed(const std::string& odd) {
  const std::string shown = odd.substr(0, 200);
  OddList fake(odd);
  for (int reading = 0; reading < 3; ++reading) {
    std::optional<std::vector<WorkerInfo>> workers;
    fake.list([&](std::optional<std::vector<WorkerInfo>> got) {
      workers = std::move(got);
    });
    cr_assert(workers.has_value(), "%s", shown.c_str());
    const auto has = [&](const char* id) {
      return std::any_of(workers->begin(), workers->end(),
                         [&](const WorkerInfo& each) { return each.id == id; });
    };
    cr_expect(has("a") && has("c"), "%s", shown.c_str());
    for (const WorkerInfo& each : *workers) {
      cr_expect(IsSound(each), "%s", shown.c_str());
    }
    cr_expect_eq(fake.skips, has("b") ? 0 : 1, "%s", shown.c_str());
  }
}

/// An HTTP service with one answer for everything.
struct OneAnswer {
  OneAnswer(int status, std::string body) : http(loop) {
    SetLogOutput([](const std::string&) {});
    auto started = HttpServer::Start(
        this->loop, {},
        [status, body = std::move(body)](const HttpRequest&, HttpReply reply) {
          HttpResponse response;
          response.status = status;
          response.body = body;
          reply.Send(response);
        });
    cr_assert(started);
    this->server = std::move(*started);
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->server->port());
  }
  /// Expects that the call is answered.
  void Expect(const std::function<void(std::function<void()> done)>& call) {
    bool done = false;
    call([&done] { done = true; });
    cr_expect(this->loop.RunUntil([&] { return done; }, 5'000));
  }

  EventLoop loop;
  HttpClient http;
  std::unique_ptr<HttpServer> server;
};

/// Makes each call of the clients to a service that answers so.
void ExpectCallsSurvive(int status, const std::string& body) {
  OneAnswer fake(status, body);
  const workflow::WorkerAddress worker{"i-1", fake.address(), ""};
  const workflow::WorkerPort port = MakeWorkerPort(fake.http);
  fake.Expect([&](auto done) {
    port.start(worker, {}, [done](const workflow::OrderAnswer&) { done(); });
  });
  fake.Expect([&](auto done) {
    port.sync(worker, {}, [done](const workflow::SyncAnswer&) { done(); });
  });
  fake.Expect([&](auto done) {
    MakePermitPort(fake.http, [&] { return fake.address(); })(
        {}, [done](const workflow::PermitAnswer&) { done(); });
  });
  RowStore store;
  store.read_one = [&](const std::string&, const std::string&,
                       const StoreCallback& done) {
    StoreAnswer answer;
    answer.status = StoreStatus::kOk;
    answer.rows = {{kStatusTable, "wave/1", body, 1, false}};
    done(answer);
  };
  store.transact = [](const RowTransaction&, const StoreCallback& done) {
    done({});
  };
  const workflow::VmPort vms = MakeVmPort(
      fake.http, store, [&] { return fake.address(); }, "front-1");
  fake.Expect([&](auto done) {
    vms.maintain({"vm-1", 1, 1}, [done](workflow::VmOrderStatus) { done(); });
  });
  fake.Expect([&](auto done) {
    vms.list([done](const std::optional<workflow::VmList>&) { done(); });
  });
  fake.Expect([&](auto done) {
    vms.report(1, workflow::WaveReport::kRunning, [done](bool) { done(); });
  });
}

}  // namespace

// Guards against the entries that operators of similar systems have told of,
// which ended each machine that read the list, or stopped it from following it.
Test(PlatformOddInput, entries_of_the_operators_report_cost_only_themselves) {
  ExpectListFollowed(Nested());
  ExpectListFollowed(MakeRow("labels", Nested()));
  ExpectListFollowed(MakeRow("born", "1e400"));
  ExpectListFollowed(MakeRow("capacity", MakeCapacity("1e300")));
  ExpectListFollowed(MakeRow("address", "\"10.0.0.1:99999\""));
}

// Guards against any other odd entry that does so.
Test(PlatformOddInput, odd_entries_cost_only_themselves) {
  for (const std::string& value : OddValues()) {
    for (const char* field : kFields) {
      ExpectListFollowed(MakeRow(field, value));
      ExpectListFollowed(MakeRow(field, ""));
    }
    ExpectListFollowed(MakeRow("capacity", MakeCapacity(value)));
    ExpectListFollowed(value);
  }
  Random random(1);
  const std::string good = MakeRow("", "");
  for (int i = 0; i < 2'000; ++i) {
    std::string row = good;
    const auto last = static_cast<int64_t>(row.size()) - 1;
    row[static_cast<size_t>(UniformInt(random, 0, last))] =
        static_cast<char>(UniformInt(random, 0, 255));
    const auto worker = DecodeWorker("i-1", row);
    if (worker) cr_expect_leq(worker->capacity.milli_cores, 1'000'000'000);
  }
}

// Guards against an answer of a worker, the permit authority or the VM service
// with a member of another type, which ended the daemon.
Test(PlatformOddInput, odd_answers_end_no_process, .timeout = 120) {
  for (const std::string& value : OddValues()) {
    const std::string body =
        R"({"clock_ms": )" + value + R"(, "reason": )" + value +
        R"(, "state": )" + value + R"(, "born": )" + value +
        R"(, "running": )" + value + R"(, "finished": )" + value +
        R"(, "validity_ms": )" + value + R"(, "allowed": )" + value +
        R"(, "machines": )" + value + "}";
    for (const int status : {200, 409, 503}) ExpectCallsSurvive(status, body);
  }
}

}  // namespace dotterelcove::platform
