/// How long an owner may act without an answer of the store. Another daemon may
/// take ownership over through the store at any time, and waits out the workers
/// that it cannot reach. Leases that an owner renews after that end too late,
/// and the tasks run twice.
#pragma once

#include <limits>
#include <map>
#include <string>

#include "dotterelcove/Types.h"

namespace dotterelcove {

/// The end of a permission to act that does not expire.
inline constexpr TimeMs kForever = std::numeric_limits<TimeMs>::max();

/// What an owner knows from one of its peers. All times are on the owner's
/// clock, -1 for never.
struct PeerEvidence {
  TimeMs heard_ms = -1;
};

/// What an owner knows from its peers, by name of the peer's process.
struct Isolation {
  std::map<std::string, PeerEvidence> peers;
};

/// Records a message of the peer.
void NotePeer(Isolation& isolation, const std::string& peer, TimeMs heard_ms);

/// The time until which the owner may act. `store_ms` is when the store last
/// answered it; evidence counts for `limit_ms`.
TimeMs ActsUntil(const Isolation& isolation, TimeMs store_ms, TimeMs limit_ms);

}  // namespace dotterelcove
