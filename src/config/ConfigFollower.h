/// Keeps the configuration in force of one process up to date: from the store,
/// or from a peer while the store is down. The version in force never goes
/// down.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "border/objects/ObjectClient.h"
#include "border/tables/TableClient.h"
#include "config/CellConfig.h"
#include "loop/EventLoop.h"
#include "peer/PeerNode.h"

namespace dotterelcove {

struct ConfigFollowerOptions {
  int64_t poll_ms = 2'000;
  /// Followers that learn of a version by heartbeat wait a random time up to
  /// this before they read it, so that they don't all read at once.
  int64_t spread_ms = 200;
};

struct ConfigFollowerCallbacks {
  /// A higher version is in force.
  std::function<void(const CellConfig&)> changed;
  /// Sends a request for a version to the peer of `link`.
  std::function<void(LinkId link, wire::ConfigRequestT)> request;
};

class ConfigFollower {
 public:
  ConfigFollower(EventLoop& loop, TableClient tables, ObjectClient objects,
                 ConfigFollowerOptions options,
                 ConfigFollowerCallbacks callbacks);
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower&) = delete;
  ConfigFollower& operator=(const ConfigFollower&) = delete;

  void Start();
  /// A heartbeat told the version in force at a peer.
  void OnPeerVersion(LinkId link, uint64_t version);
  /// A peer answered a request; a reply that is old or fails its digest is
  /// ignored.
  void OnPeerReply(const wire::ConfigReplyT& reply);
  /// Answer to a peer's request: the version in force here, with empty content
  /// when it is lower than asked for or does not fit into a frame.
  wire::ConfigReplyT MakeReply(const wire::ConfigRequestT& request) const;

  /// Version 0 and empty until the first version has been read.
  const CellConfig& in_force() const;
  const std::string& digest() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace dotterelcove
