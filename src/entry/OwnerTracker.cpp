#include "entry/OwnerTracker.h"

#include <algorithm>

namespace dotterelcove {

void RecordHeartbeat(OwnerTracker& tracker, LinkId link,
                     const wire::HeartbeatT& heartbeat) {
  tracker.claims[link] = {heartbeat.owner_epoch, heartbeat.serving};
  tracker.highest_epoch =
      std::max(tracker.highest_epoch, heartbeat.owner_epoch);
}

void RemoveLink(OwnerTracker& tracker, LinkId link) {
  tracker.claims.erase(link);
}

OwnerRef FindOwner(const OwnerTracker& tracker) {
  for (const auto& [link, claim] : tracker.claims) {
    if (claim.serving && claim.epoch == tracker.highest_epoch) {
      return {link, claim.epoch};
    }
  }
  return {};
}

}  // namespace dotterelcove
