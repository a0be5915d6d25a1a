#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/HybridClock.h"
#include "loop/EventLoop.h"
#include "peer/PeerNode.h"

namespace dotterelcove {

/// A scheduler that speaks the frames of docs/design.md 5.1 and does what a
/// test says. It records every message it receives.
struct FakeOwner {
  explicit FakeOwner(EventLoop& loop, uint64_t epoch, bool serving = true)
      : epoch(epoch), serving(serving) {
    PeerOptions options;
    options.process = "fake-owner-" + std::to_string(epoch);
    options.role = wire::Role::Scheduler;
    options.listen_address = "127.0.0.1";
    options.heartbeat_ms = 50;
    PeerCallbacks callbacks;
    callbacks.connected = [](const PeerInfo&) {};
    callbacks.disconnected = [](const PeerInfo&, LinkEnd) {};
    callbacks.make_heartbeat = [this] {
      wire::HeartbeatT heartbeat;
      heartbeat.owner_epoch = this->epoch;
      heartbeat.serving = this->serving;
      heartbeat.config_version = this->config.version;
      return heartbeat;
    };
    callbacks.received = [this](const PeerInfo& peer, wire::FrameT& frame) {
      if (frame.body.type == wire::Body::Heartbeat) return;
      if (frame.body.type == wire::Body::ConfigRequest) {
        this->node->Send(peer.link, this->config);
        return;
      }
      this->received_types.push_back(frame.body.type);
      this->link = peer.link;
      if (const auto* report = frame.body.AsSlotReport()) {
        this->reports.push_back(*report);
      }
      if (const auto* release = frame.body.AsSlotRelease()) {
        this->releases.push_back(*release);
      }
      if (this->on_message) this->on_message(frame);
    };
    this->node = leaf::try_handle_all(
        [&] { return PeerNode::Start(loop, options, callbacks, this->clock); },
        [] { return std::unique_ptr<PeerNode>(); });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->node->port());
  }

  template <class T>
  void Send(T message) {
    this->node->Send(this->link, std::move(message));
  }

  /// Grants a slot for a SlotRequest.
  void Grant(const wire::SlotRequestT& request, const std::string& endpoint,
             const std::string& address) {
    wire::SlotGrantT grant;
    grant.call = request.call;
    grant.grant = ++this->grants;
    grant.epoch = this->epoch;
    grant.job = request.job;
    grant.endpoint = endpoint;
    grant.address = address;
    this->Send(std::move(grant));
  }

  /// Changes what the heartbeats say and sends them at once.
  void SetServing(uint64_t new_epoch, bool now_serving) {
    this->epoch = new_epoch;
    this->serving = now_serving;
    this->node->SendHeartbeats();
  }

  size_t CountOf(wire::Body type) const {
    size_t count = 0;
    for (const wire::Body seen : this->received_types)
      count += seen == type ? 1 : 0;
    return count;
  }

  uint64_t epoch;
  bool serving;
  HybridClock clock;
  /// Sent to peers that ask; version 0 for none.
  wire::ConfigReplyT config;
  LinkId link = 0;
  uint64_t grants = 0;
  std::function<void(wire::FrameT&)> on_message;
  std::vector<wire::Body> received_types;
  std::vector<wire::SlotReportT> reports;
  std::vector<wire::SlotReleaseT> releases;
  std::unique_ptr<PeerNode> node;
};

}  // namespace dotterelcove
