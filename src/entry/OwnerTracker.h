#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "peer/PeerNode.h"

namespace dotterelcove {

/// The scheduler that this process treats as owner; link 0 for none.
struct OwnerRef {
  LinkId link = 0;
  uint64_t epoch = 0;

  friend bool operator==(const OwnerRef&, const OwnerRef&) = default;
};

/// What each connected scheduler last said about ownership.
struct OwnerTracker {
  struct Claim {
    uint64_t epoch = 0;
    bool serving = false;
  };
  std::map<LinkId, Claim> claims;
  /// Highest epoch any scheduler has named. An owner with a lower one has been
  /// succeeded, even when its successor does not serve yet.
  uint64_t highest_epoch = 0;
};

/// Takes in a heartbeat of a scheduler.
void RecordHeartbeat(OwnerTracker& tracker, LinkId link,
                     const wire::HeartbeatT& heartbeat);
void RemoveLink(OwnerTracker& tracker, LinkId link);

/// The connected scheduler that serves under the highest epoch known, or none.
OwnerRef FindOwner(const OwnerTracker& tracker);

}  // namespace dotterelcove
