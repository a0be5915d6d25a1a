// The configuration that daemons of a cell hand on to one another.
#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <utility>

#include "loop/LoopRuntime.h"
#include "node/Node.h"
#include "telemetry/Log.h"
#include "tests/SchedulerHarness.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kWaitMs = 8'000;

/// A daemon that the store never answers, and one peer connected to it.
struct HandoverHarness {
  HandoverHarness() : runtimes(loop) {
    SetLogOutput([](const std::string&) {});
    NodeOptions options;
    options.process = "behind";
    options.peer_address = "127.0.0.1";
    options.peer_port = tests::FreePort();
    NodePorts ports;
    ports.store.transact = [](const RowTransaction&, const StoreCallback&) {};
    ports.store.read = [](const std::string&, uint32_t, const std::string&,
                          uint32_t, const StoreCallback&) {};
    ports.store.read_one = [](const std::string&, const std::string&,
                              const StoreCallback&) {};
    ports.store.changes = [](const std::string&, uint64_t, TimeMs,
                             const StoreCallback&) {};
    this->node = std::make_unique<Node>(
        this->loop, this->runtimes.MakeRuntime(), options, ports, metrics);
    cr_assert(leaf::try_handle_all(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(this->node->Start());
          return true;
        },
        [] { return false; }));
    PeerOptions peer_options;
    peer_options.process = "peer";
    peer_options.incarnation = 5;
    peer_options.role = wire::Role::Scheduler;
    peer_options.dial = {"127.0.0.1:" + std::to_string(options.peer_port)};
    peer_options.heartbeat_ms = 100;
    PeerCallbacks callbacks;
    callbacks.connected = [](const PeerInfo&) {};
    callbacks.disconnected = [](const PeerInfo&, LinkEnd) {};
    callbacks.make_heartbeat = [this] { return this->heartbeat; };
    callbacks.received = [this](const PeerInfo& info, wire::FrameT& frame) {
      this->link = info.link;
      if (const auto* beat = frame.body.AsHeartbeat()) {
        this->last_heartbeat = *beat;
      }
      if (const auto* request = frame.body.AsConfigRequest()) {
        this->requests++;
        this->requested_version = request->version;
      }
      if (const auto* reply = frame.body.AsConfigReply()) {
        this->reply = *reply;
      }
    };
    this->peer = leaf::try_handle_all(
        [&] {
          return PeerNode::Start(this->loop, peer_options, callbacks,
                                 this->clock);
        },
        [] { return std::unique_ptr<PeerNode>(); });
  }
  bool WaitUntil(const std::function<bool()>& done, TimeMs limit_ms = kWaitMs) {
    return this->loop.RunUntil(done, limit_ms);
  }

  EventLoop loop;
  LoopRuntime runtimes;
  Metrics metrics;
  HybridClock clock;
  std::unique_ptr<Node> node;
  /// What the peer tells of itself.
  wire::HeartbeatT heartbeat;
  std::unique_ptr<PeerNode> peer;
  LinkId link = 0;
  wire::HeartbeatT last_heartbeat;
  wire::ConfigReplyT reply;
  int requests = 0;
  uint64_t requested_version = 0;
};

}  // namespace

// Guards against a daemon that the store turns away and that learns only the
// number of a new configuration from its peers: it refuses callers of new
// queues for as long as it cannot read the store.
Test(ConfigHandover, daemon_that_is_behind_asks_the_peer) {
  HandoverHarness harness;
  harness.heartbeat.config_version = 9;
  cr_assert(harness.WaitUntil([&] { return harness.requests > 0; }, 2'000));
  cr_expect_eq(harness.requested_version, 9U);
}

}  // namespace dotterelcove
