#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "border/objects/ObjectClient.h"
#include "entry/Entry.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "standins/EndpointStandin.h"
#include "tests/FakeOwner.h"

namespace dotterelcove {

/// A configuration with a routed kind "dispatch" and a placed kind "audit".
inline std::shared_ptr<CellConfig> MakeTestConfig() {
  auto config = std::make_shared<CellConfig>();
  config->version = 1;
  config->teams["stairs"] = {};
  ServiceConfig& service = config->services["stepline"];
  service.team = "stairs";
  service.kinds["dispatch"] = {.delivery = Delivery::kRoute,
                               .request_class = RequestClass::kUrgent,
                               .size = {},
                               .deadline_ms = 3'000};
  service.kinds["audit"] = {.delivery = Delivery::kPlace,
                            .request_class = RequestClass::kBatch,
                            .size = {1'000, 512, 0}};
  config->callers["default"] = {};
  return config;
}

/// One answer seen by a caller.
struct SeenAnswer {
  bool received = false;
  HttpResult http;

  nlohmann::json json() const {
    return nlohmann::json::parse(this->http.body, nullptr, false);
  }
  std::string outcome() const {
    const auto parsed = this->json();
    return parsed.is_object() ? parsed.value("outcome", "") : "";
  }
  std::string answer() const { return this->json().value("answer", ""); }
};

/// An Entry behind a real HTTP server, connected to fake owners over TCP and to
/// one stand-in endpoint "e-1" of 8 slots.
struct EntryHarness {
  explicit EntryHarness(size_t owner_count = 1) {
    for (size_t i = 0; i < owner_count; ++i) {
      this->owners.push_back(
          std::make_unique<FakeOwner>(this->loop, 1, i == 0));
    }
    Vm vm;
    vm.id = "e-1";
    vm.role = VmRole::kEndpoint;
    vm.address = "http://127.0.0.1:0";
    vm.slots = 8;
    vm.connections = 64;
    leaf::try_handle_all(
        [&]() -> Result<void> {
          BOOST_LEAF_ASSIGN(this->standin,
                            EndpointStandin::Start(this->loop, {vm}, ""));
          this->entry = std::make_unique<Entry>(
              EntryDependencies{.loop = this->loop,
                                .metrics = this->metrics,
                                .events = this->events,
                                .endpoint_http = this->endpoint_http,
                                .read_object =
                                    [this](const std::string& name, auto done) {
                                      this->ReadObject(name, std::move(done));
                                    }},
              EntryOptions{});
          this->entry->SetConfig(this->config);
          BOOST_LEAF_ASSIGN(this->peers, this->StartPeers());
          this->entry->SetPeers(this->peers.get());
          BOOST_LEAF_ASSIGN(
              this->server,
              HttpServer::Start(
                  this->loop, {},
                  [this](const HttpRequest& request, const HttpReply& reply) {
                    this->entry->Handle(request, reply);
                  }));
          return {};
        },
        [] { std::abort(); });
    this->WaitUntil([this] { return this->entry->is_ready(); });
  }

  Result<std::unique_ptr<PeerNode>> StartPeers() {
    PeerOptions options;
    options.process = "entry-1";
    for (const auto& owner : this->owners) {
      options.dial.push_back(owner->address());
    }
    PeerCallbacks callbacks;
    callbacks.connected = [](const PeerInfo&) {};
    callbacks.disconnected = [this](const PeerInfo& peer, LinkEnd) {
      this->entry->OnDisconnected(peer);
    };
    callbacks.received = [this](const PeerInfo& peer, wire::FrameT& frame) {
      this->entry->OnMessage(peer, frame);
    };
    callbacks.make_heartbeat = [] { return wire::HeartbeatT(); };
    return PeerNode::Start(this->loop, options, callbacks, this->clock);
  }

  void ReadObject(const std::string& name,
                  std::function<void(ObjectResult)> done) {
    this->object_reads++;
    ObjectResult result;
    const auto found = this->objects.find(name);
    result.status =
        this->store_up ? TableStatus::kOk : TableStatus::kUnavailable;
    result.found = this->store_up && found != this->objects.end();
    if (result.found) result.content = found->second;
    done(std::move(result));
  }

  FakeOwner& owner(size_t index = 0) { return *this->owners[index]; }

  /// Grants every SlotRequest at the stand-in endpoint.
  void GrantAll(size_t index = 0) {
    FakeOwner& granting = this->owner(index);
    granting.on_message = [this, &granting](wire::FrameT& frame) {
      const auto* request = frame.body.AsSlotRequest();
      if (request == nullptr) return;
      granting.Grant(*request, "e-1", this->standin->address("e-1"));
    };
  }

  std::string url(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(this->server->port()) + path;
  }

  /// Sends one HTTP call; the answer arrives while the loop runs.
  std::shared_ptr<SeenAnswer> Send(const std::string& method,
                                   const std::string& path,
                                   const std::string& body = {},
                                   const std::string& caller = {}) {
    auto seen = std::make_shared<SeenAnswer>();
    HttpCall call;
    call.method = method;
    call.url = this->url(path);
    call.body = body;
    call.timeout_ms = 10'000;
    if (!caller.empty()) call.headers.emplace_back("X-Caller", caller);
    this->caller_http.Send(std::move(call), [seen](HttpResult result) {
      seen->received = true;
      seen->http = std::move(result);
    });
    return seen;
  }

  /// Submits a request; `more` is merged into the body.
  std::shared_ptr<SeenAnswer> Submit(const std::string& kind,
                                     const std::string& key,
                                     const nlohmann::json& more = {}) {
    nlohmann::json body = {
        {"service", "stepline"}, {"kind", kind}, {"key", key}};
    if (more.is_object()) body.update(more);
    return this->Send("POST", "/v1/requests", body.dump());
  }

  bool WaitUntil(const std::function<bool()>& done) {
    return this->loop.RunUntil(done, 8'000);
  }
  bool WaitFor(const std::shared_ptr<SeenAnswer>& seen) {
    return this->WaitUntil([&] { return seen->received; });
  }

  EventLoop loop;
  HybridClock clock;
  Metrics metrics;
  EventRing events{this->clock, 1'000};
  HttpClient endpoint_http{this->loop};
  HttpClient caller_http{this->loop};
  std::shared_ptr<CellConfig> config = MakeTestConfig();
  std::map<std::string, std::string> objects;
  bool store_up = true;
  int object_reads = 0;
  std::vector<std::unique_ptr<FakeOwner>> owners;
  std::unique_ptr<EndpointStandin> standin;
  std::unique_ptr<Entry> entry;
  std::unique_ptr<PeerNode> peers;
  std::unique_ptr<HttpServer> server;
};

}  // namespace dotterelcove
