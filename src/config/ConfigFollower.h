/// Keeps the configuration of one process up to date: from the store, or from a
/// peer while the store is down. The version in force never decreases.
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
  /// Upper bound of the random delay before a version announced by heartbeat is
  /// read, so that not all followers read it at once.
  int64_t spread_ms = 200;
};

struct ConfigFollowerCallbacks {
  /// Called when a higher version has come into force.
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
  /// Handles the version in force at a peer, taken from its heartbeat.
  void OnPeerVersion(LinkId link, uint64_t version);
  /// Handles a peer's reply; an older version or a digest mismatch is ignored.
  void OnPeerReply(const wire::ConfigReplyT& reply);
  /// Makes the reply to a peer's request: the version in force here, with empty
  /// content if it is lower than requested or does not fit into a frame.
  wire::ConfigReplyT MakeReply(const wire::ConfigRequestT& request) const;

  /// Version 0 and empty until the first version has been read.
  const CellConfig& in_force() const;
  const std::string& digest() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace dotterelcove
