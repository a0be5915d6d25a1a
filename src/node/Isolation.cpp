#include "node/Isolation.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace dotterelcove {
namespace {

/// When each peer was last heard that was connected when the store last
/// answered.
std::vector<TimeMs> MembersHeardAt(const Isolation& isolation,
                                   TimeMs store_ms) {
  std::vector<TimeMs> heard;
  for (const auto& [name, evidence] : isolation.peers) {
    if (evidence.heard_ms < 0) continue;
    if (evidence.heard_ms < store_ms - kMembershipMs) continue;
    heard.push_back(evidence.heard_ms);
  }
  return heard;
}

/// The last time at which more than half of the members, this process included,
/// had been heard; kForever if there is no other member, -1 for never.
TimeMs MajorityHeardAt(const Isolation& isolation, const OwnEvidence& own) {
  std::vector<TimeMs> heard = MembersHeardAt(isolation, own.store_ms);
  const size_t members = std::max<size_t>(heard.size() + 1, own.members);
  const size_t needed_peers = members / 2;
  if (needed_peers == 0) return kForever;
  if (heard.size() < needed_peers) return -1;
  const auto last =
      heard.begin() + static_cast<std::ptrdiff_t>(needed_peers - 1);
  std::nth_element(heard.begin(), last, heard.end(), std::greater<>());
  return *last;
}

}  // namespace

void NotePeer(Isolation& isolation, const std::string& peer, TimeMs heard_ms) {
  PeerEvidence& evidence = isolation.peers[peer];
  evidence.heard_ms = std::max(evidence.heard_ms, heard_ms);
}

void NoteEpoch(Isolation& isolation, const std::string& peer, uint64_t epoch,
               TimeMs shown_ms) {
  PeerEvidence& evidence = isolation.peers[peer];
  if (epoch < evidence.epoch) return;
  const TimeMs earlier_ms = epoch == evidence.epoch ? evidence.shown_ms : -1;
  evidence.epoch = epoch;
  evidence.shown_ms = std::max(earlier_ms, shown_ms);
}

void ForgetPeer(Isolation& isolation, const std::string& peer) {
  isolation.peers.erase(peer);
}

TimeMs ConfirmedAt(const Isolation& isolation, const OwnEvidence& own) {
  TimeMs newest_ms = own.store_ms;
  for (const auto& [name, evidence] : isolation.peers) {
    if (evidence.epoch != own.epoch) continue;
    newest_ms = std::max(newest_ms, evidence.shown_ms);
  }
  return newest_ms;
}

uint32_t CountMembers(const Isolation& isolation, TimeMs store_ms) {
  return static_cast<uint32_t>(MembersHeardAt(isolation, store_ms).size()) + 1;
}

bool HearsMost(const Isolation& isolation, const OwnEvidence& own,
               TimeMs since_ms) {
  return MajorityHeardAt(isolation, own) >= since_ms;
}

TimeMs ActsUntil(const Isolation& isolation, const OwnEvidence& own,
                 TimeMs limit_ms) {
  const TimeMs newest_ms =
      std::max(ConfirmedAt(isolation, own), MajorityHeardAt(isolation, own));
  return newest_ms == kForever ? kForever : newest_ms + limit_ms;
}

void UpdateMembership(const Isolation& isolation, const OwnEvidence& own,
                      workflow::Controller& controller) {
  const TimeMs since_ms =
      controller.runtime.now() - controller.options.isolation_ms;
  controller.confirmed_ms = ConfirmedAt(isolation, own);
  controller.hears_most_daemons = HearsMost(isolation, own, since_ms);
  // What the predecessor has counted holds until its workers are accounted for.
  const bool has_recovered =
      controller.loaded && controller.recovery_pending.empty();
  if (!has_recovered || own.store_ms < since_ms) return;
  uint32_t members = CountMembers(isolation, own.store_ms);
  // A new owner has not heard all daemons yet.
  const bool may_fall =
      controller.runtime.now() - controller.started_ms > kMembershipMs;
  if (!may_fall) members = std::max(members, own.members);
  controller.log->SetMembers(members);
}

}  // namespace dotterelcove
