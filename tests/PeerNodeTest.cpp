#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "peer/PeerNode.h"
#include "tests/RawSocket.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kWaitMs = 8'000;

/// One PeerNode that records its callbacks.
struct TestPeer {
  TestPeer(EventLoop& loop, const std::string& name, uint16_t listen_port,
           std::vector<std::string> dial, bool listens = true) {
    PeerOptions options;
    options.process = name;
    options.role = wire::Role::Scheduler;
    options.listen_address = listens ? "127.0.0.1" : "";
    options.listen_port = listen_port;
    options.dial = std::move(dial);
    options.heartbeat_ms = 50;
    options.peer_timeout_ms = 400;
    PeerCallbacks callbacks;
    callbacks.connected = [this](const PeerInfo&) { this->connects++; };
    callbacks.disconnected = [this](const PeerInfo&, LinkEnd end) {
      this->close_reasons.push_back(end);
    };
    callbacks.received = [this](const PeerInfo& peer, wire::FrameT& frame) {
      if (frame.body.type == wire::Body::Heartbeat) this->heartbeats++;
      if (const auto* cancel = frame.body.AsCancel()) {
        this->keys.push_back(cancel->key);
        this->last_sender = peer.process;
      }
    };
    callbacks.make_heartbeat = [] { return wire::HeartbeatT(); };
    this->peers = leaf::try_handle_all(
        [&] { return PeerNode::Start(loop, options, callbacks, this->clock); },
        [] { return std::unique_ptr<PeerNode>(); });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->peers->port());
  }
  void SendKey(const std::string& key) {
    wire::CancelT cancel;
    cancel.key = key;
    this->peers->Send(this->peers->peers().begin()->first, std::move(cancel));
  }

  HybridClock clock;
  int connects = 0;
  int heartbeats = 0;
  std::vector<LinkEnd> close_reasons;
  std::vector<std::string> keys;
  std::string last_sender;
  std::unique_ptr<PeerNode> peers;
};

}  // namespace

// Guards against messages that are lost, corrupted or reordered between
// connected processes, and against a hybrid clock that does not merge their
// times.
Test(PeerNode, delivers_in_order) {
  EventLoop loop;
  TestPeer server(loop, "s", 0, {});
  TestPeer client(loop, "c", 0, {server.address()}, false);
  cr_assert(loop.RunUntil(
      [&] { return client.connects == 1 && server.connects == 1; }, kWaitMs));
  constexpr int kMessages = 2'000;
  const std::string large(100'000, 'k');
  for (int i = 0; i < kMessages; ++i) client.SendKey(std::to_string(i));
  client.SendKey(large);
  cr_assert(loop.RunUntil([&] { return server.keys.size() == kMessages + 1; },
                          kWaitMs));
  for (int i = 0; i < kMessages; ++i) {
    cr_assert_eq(server.keys[static_cast<size_t>(i)], std::to_string(i));
  }
  cr_expect(server.keys.back() == large);
  cr_expect_eq(server.last_sender, "c");
  cr_expect_geq(server.clock.last, client.clock.last);
}

// Guards against a process that does not reconnect after its peer restarted.
Test(PeerNode, redials_after_a_disconnect) {
  EventLoop loop;
  auto server =
      std::make_unique<TestPeer>(loop, "s", 0, std::vector<std::string>{});
  const uint16_t port = server->peers->port();
  TestPeer client(loop, "c", 0, {server->address()}, false);
  cr_assert(loop.RunUntil([&] { return client.connects == 1; }, kWaitMs));
  server.reset();
  cr_assert(
      loop.RunUntil([&] { return client.close_reasons.size() == 1; }, kWaitMs));
  cr_expect(client.peers->peers().empty());
  server =
      std::make_unique<TestPeer>(loop, "s", port, std::vector<std::string>{});
  cr_assert(server->peers != nullptr);
  cr_assert(loop.RunUntil([&] { return client.connects == 2; }, kWaitMs));
}

// Guards against malformed or hostile input on one connection that disturbs the
// others.
Test(PeerNode, refuses_broken_peers) {
  wire::HelloT other_version;
  other_version.protocol = kProtocolVersion + 1;
  wire::HelloT good;
  good.protocol = kProtocolVersion;
  struct Case {
    const char* name;
    std::string bytes;
  };
  const Case cases[] = {
      {"garbage", std::string("GET / HTTP/1.1\r\n\r\n")},
      {"oversized frame", std::string("\xff\xff\xff\x7f", 4)},
      {"no hello", EncodeFrame(MakeFrame(wire::HeartbeatT()))},
      {"another version", EncodeFrame(MakeFrame(other_version))},
      {"garbage after the hello",
       EncodeFrame(MakeFrame(good)) + std::string("\x08\0\0\0xxxxxxxx", 12)},
      {"silent", ""},
      {"silent after the hello", EncodeFrame(MakeFrame(good))},
  };
  EventLoop loop;
  TestPeer server(loop, "s", 0, {});
  TestPeer client(loop, "c", 0, {server.address()}, false);
  cr_assert(loop.RunUntil([&] { return client.connects == 1; }, kWaitMs));
  for (const Case& test_case : cases) {
    RawSocket raw(server.peers->port());
    raw.Send(test_case.bytes);
    cr_expect(loop.RunUntil(
                  [&] {
                    raw.Read();
                    return raw.closed;
                  },
                  kWaitMs),
              "%s", test_case.name);
  }
  cr_expect_geq(server.peers->stats().bad_frames, 5u);
  cr_expect_eq(client.connects, 1, "a good peer lost its connection");
  cr_expect(client.close_reasons.empty());
}

// Guards against unbounded memory use for a peer that does not read.
Test(PeerNode, slow_reader_is_disconnected) {
  EventLoop loop;
  TestPeer server(loop, "s", 0, {});
  RawSocket raw(server.peers->port());
  wire::HelloT hello;
  hello.protocol = kProtocolVersion;
  raw.Send(EncodeFrame(MakeFrame(hello)));
  cr_assert(loop.RunUntil([&] { return server.connects == 1; }, kWaitMs));
  const std::string large(900'000, 'k');
  for (int i = 0; i < 30 && server.close_reasons.empty(); ++i) {
    server.SendKey(large);
  }
  cr_assert(
      loop.RunUntil([&] { return !server.close_reasons.empty(); }, kWaitMs));
  cr_expect(server.close_reasons[0] == LinkEnd::kSendQueueFull);
}

}  // namespace dotterelcove
