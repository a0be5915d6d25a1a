#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "peer/PeerNode.h"

namespace dotterelcove {

/// The scheduler that this process treats as the owner; link 0 for none.
struct OwnerRef {
  LinkId link = 0;
  uint64_t epoch = 0;

  friend bool operator==(const OwnerRef&, const OwnerRef&) = default;
};

/// The ownership claim in the last heartbeat of each connected scheduler.
struct OwnerTracker {
  struct Claim {
    uint64_t epoch = 0;
    bool serving = false;
  };
  std::map<LinkId, Claim> claims;
  /// Highest epoch received from any scheduler. An owner with a lower epoch has
  /// been superseded, even if its successor does not serve yet.
  uint64_t highest_epoch = 0;
};

/// Updates the claim of a scheduler from its heartbeat.
void RecordHeartbeat(OwnerTracker& tracker, LinkId link,
                     const wire::HeartbeatT& heartbeat);
void RemoveLink(OwnerTracker& tracker, LinkId link);

/// Returns the connected scheduler that serves under the highest known epoch,
/// or link 0.
OwnerRef FindOwner(const OwnerTracker& tracker);

}  // namespace dotterelcove
