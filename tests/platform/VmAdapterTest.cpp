#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "platform/VmAdapter.h"
#include "telemetry/Log.h"

namespace dotterelcove::platform {
namespace {

using Json = nlohmann::json;
using workflow::VmOrderStatus;
using workflow::VmState;
using workflow::WaveReport;

/// VM service and row store with configurable answers.
struct FakeVmService {
  FakeVmService() : http(loop) {
    SetLogOutput([](const std::string&) {});
    auto started = HttpServer::Start(
        this->loop, {}, [this](const HttpRequest& request, HttpReply reply) {
          this->last = request;
          HttpResponse response;
          response.status = this->status;
          const bool second = request.query.contains("page_token");
          response.body = second ? this->second_page : this->body;
          reply.Send(response);
        });
    cr_assert(started);
    this->server = std::move(*started);
    this->store.read_one = [this](const std::string& table,
                                  const std::string& key, StoreCallback done) {
      StoreAnswer answer;
      answer.status = StoreStatus::kOk;
      if (this->row.version > 0) answer.rows = {this->row};
      this->read_key = table + "/" + key;
      done(answer);
    };
    this->store.transact = [this](RowTransaction transaction,
                                  StoreCallback done) {
      this->written.push_back(std::move(transaction));
      StoreAnswer answer;
      answer.status = StoreStatus::kOk;
      done(answer);
    };
  }
  workflow::VmPort port() {
    return MakeVmPort(
        this->http, this->store,
        [this] { return "127.0.0.1:" + std::to_string(this->server->port()); },
        "front-1");
  }

  EventLoop loop;
  HttpClient http;
  std::unique_ptr<HttpServer> server;
  RowStore store;
  StoreRow row;
  std::string read_key;
  std::vector<RowTransaction> written;
  HttpRequest last;
  int status = 200;
  std::string body = "{}";
  std::string second_page = "{}";
};

VmOrderStatus MaintainOnce(FakeVmService& service) {
  VmOrderStatus got = VmOrderStatus::kUnknown;
  bool done = false;
  service.port().maintain({"m-1", 3, 12}, [&](VmOrderStatus status) {
    got = status;
    done = true;
  });
  cr_assert(service.loop.RunUntil([&] { return done; }, 3'000));
  return got;
}

bool ReportOnce(FakeVmService& service, WaveReport report) {
  bool stored = false;
  service.port().report(3, report, [&](bool answer) { stored = answer; });
  return stored;
}

}  // namespace

// Guards against misclassifying an answer of the VM service: only some prove
// that nothing was done.
Test(PlatformVms, each_answer_has_its_meaning) {
  FakeVmService service;
  const std::pair<int, VmOrderStatus> statuses[] = {
      {200, VmOrderStatus::kOk},
      {400, VmOrderStatus::kNotInWave},
      {429, VmOrderStatus::kRefused},
      {503, VmOrderStatus::kRefused},
      {500, VmOrderStatus::kUnknown}};
  for (const auto& [status, meaning] : statuses) {
    service.status = status;
    cr_expect(MaintainOnce(service) == meaning, "%d", status);
  }
  service.status = 409;
  const std::pair<const char*, VmOrderStatus> reasons[] = {
      {"fence", VmOrderStatus::kFenced},
      {"busy", VmOrderStatus::kBusy},
      {"wave", VmOrderStatus::kNotInWave}};
  for (const auto& [reason, meaning] : reasons) {
    service.body = Json{{"reason", reason}}.dump();
    cr_expect(MaintainOnce(service) == meaning, "%s", reason);
  }
}

// Guards against orders without the holder and its token, which the service
// refuses or, worse, executes for a deposed owner.
Test(PlatformVms, orders_carry_holder_and_token) {
  FakeVmService service;
  MaintainOnce(service);
  const Json body = Json::parse(service.last.body);
  cr_expect_eq(body.at("machine").get<std::string>(), std::string("m-1"));
  cr_expect_eq(body.at("wave").get<int>(), 3);
  cr_expect_eq(service.last.headers.at("x-fencing-token"), std::string("12"));
  cr_expect_eq(service.last.headers.at("x-duty-holder"),
               std::string("front-1"));
}

// Guards against reading only the first page of the list.
Test(PlatformVms, list_is_read_page_by_page) {
  FakeVmService service;
  service.body = R"({"machines":[{"machine":"m-1","state":"up","id":"i-1"}],)"
                 R"("next_token":"p2"})";
  service.second_page =
      R"({"machines":[{"machine":"m-2","state":"upkeep","id":null}],)"
      R"("next_token":null})";
  std::optional<workflow::VmList> got;
  bool done = false;
  service.port().list([&](std::optional<workflow::VmList> list) {
    got = std::move(list);
    done = true;
  });
  cr_assert(service.loop.RunUntil([&] { return done; }, 3'000));
  cr_assert(got.has_value());
  cr_assert_eq(got->size(), 2U);
  cr_expect_eq(got->at("m-1").worker, std::string("i-1"));
  cr_expect(got->at("m-2").state == VmState::kInMaintenance);
}

// Guards against a late report that resets a completed wave to running.
Test(PlatformVms, completed_wave_is_never_set_back) {
  FakeVmService service;
  cr_expect(ReportOnce(service, WaveReport::kRunning));
  cr_assert_eq(service.written.size(), 1U);
  cr_expect_eq(service.read_key, std::string("status/wave/3"));
  cr_expect_eq(service.written.front().conditions.front().version, 0U);
  service.row.version = 9;
  service.row.value = R"({"wave":3,"state":"completed"})";
  cr_expect(ReportOnce(service, WaveReport::kRunning));
  cr_expect_eq(service.written.size(), 1U);
  service.row.value = R"({"wave":3,"state":"running"})";
  cr_expect(ReportOnce(service, WaveReport::kCompleted));
  cr_assert_eq(service.written.size(), 2U);
  cr_expect_eq(service.written.back().conditions.front().version, 9U);
}

// Guards against decoding other rows of the operator as waves, and against
// malformed waves.
Test(PlatformVms, waves_are_decoded) {
  SetLogOutput([](const std::string&) {});
  const std::string text =
      R"({"wave":4,"machines":["m-1","m-2"],"duration_s":20.5,"cap":2})";
  const auto wave = DecodeWave("wave/4", text);
  cr_assert(wave.has_value());
  cr_expect_eq(wave->number, 4U);
  cr_expect_eq(wave->vms.size(), 2U);
  cr_expect_eq(wave->duration_ms, 20'500);
  cr_expect_eq(wave->cap, 2U);
  cr_expect_not(DecodeWave("config", text).has_value());
  cr_expect_not(DecodeWave("wave/5", R"({"wave":"x"})").has_value());
}

}  // namespace dotterelcove::platform
