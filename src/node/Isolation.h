/// How long an owner may act without an answer of the store. Another daemon may
/// take ownership over through the store at any time, and waits out the workers
/// that it cannot reach. Leases that an owner renews after that end too late,
/// and the tasks run twice.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>

#include "dotterelcove/Types.h"
#include "workflow/Controller.h"

namespace dotterelcove {

/// The end of a permission to act that does not expire.
inline constexpr TimeMs kForever = std::numeric_limits<TimeMs>::max();

/// A peer that was last heard longer than this before the store's last answer
/// is no member of the cell any more. Silence may also be a cut link, so it is
/// much longer than links are cut.
inline constexpr TimeMs kMembershipMs = 60'000;

/// What an owner knows from one of its peers. All times are on the owner's
/// clock, -1 for never.
struct PeerEvidence {
  TimeMs heard_ms = -1;
  /// Epoch in the owner row that the store last showed the peer, 0 for unknown.
  uint64_t epoch = 0;
  /// When the store showed it.
  TimeMs shown_ms = -1;
};

/// What an owner knows from its peers, by name of the peer's process.
struct Isolation {
  std::map<std::string, PeerEvidence> peers;
};

/// Records that the peer was heard.
void NotePeer(Isolation& isolation, const std::string& peer, TimeMs heard_ms);

/// Records that by `shown_ms` the store has shown the peer this epoch.
void NoteEpoch(Isolation& isolation, const std::string& peer, uint64_t epoch,
               TimeMs shown_ms);

/// Removes a peer that does not compete for ownership any more.
void ForgetPeer(Isolation& isolation, const std::string& peer);

/// What an owner knows by itself.
struct OwnEvidence {
  uint64_t epoch = 0;
  /// When the store last confirmed the epoch.
  TimeMs store_ms = 0;
  /// Daemons of the cell as an owner last recorded them, itself included; 0 for
  /// unknown.
  uint32_t members = 0;
};

/// When the store last confirmed the owner's epoch, to it or to a peer.
TimeMs ConfirmedAt(const Isolation& isolation, const OwnEvidence& own);

/// The daemons that were connected when the store last answered, this one
/// included.
uint32_t CountMembers(const Isolation& isolation, TimeMs store_ms);

/// Whether more than half of the cell's daemons, this one included, have been
/// heard since `since_ms`.
bool HearsMost(const Isolation& isolation, const OwnEvidence& own,
               TimeMs since_ms);

/// The time until which the owner may act. It may for `limit_ms` after
/// - the store has confirmed its epoch to it or to a peer, or
/// - more than half of the daemons that were connected when the store last
///   answered, itself included, were heard. The store is then taken to be away
///   for all: a peer that it answers would have reported a newer epoch.
TimeMs ActsUntil(const Isolation& isolation, const OwnEvidence& own,
                 TimeMs limit_ms);

/// Tells the owner's controller when the store last confirmed its epoch and
/// whether it hears most daemons, and has their number recorded.
void UpdateMembership(const Isolation& isolation, const OwnEvidence& own,
                      workflow::Controller& controller);

}  // namespace dotterelcove
