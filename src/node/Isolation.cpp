#include "node/Isolation.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace dotterelcove {
namespace {

/// Since when fewer than half of the members, this process included, have been
/// heard; kForever if there is no other member.
TimeMs MajorityHeardAt(const Isolation& isolation, TimeMs store_ms) {
  std::vector<TimeMs> heard;
  for (const auto& [name, evidence] : isolation.peers) {
    if (evidence.heard_ms < 0) continue;
    if (evidence.heard_ms < store_ms - kMembershipMs) continue;
    heard.push_back(evidence.heard_ms);
  }
  const size_t members = heard.size() + 1;
  const size_t needed_peers = members / 2;
  if (needed_peers == 0) return kForever;
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

TimeMs ActsUntil(const Isolation& isolation, const OwnEvidence& own,
                 TimeMs limit_ms) {
  TimeMs newest_ms =
      std::max(own.store_ms, MajorityHeardAt(isolation, own.store_ms));
  for (const auto& [name, evidence] : isolation.peers) {
    if (evidence.epoch != own.epoch) continue;
    newest_ms = std::max(newest_ms, evidence.shown_ms);
  }
  return newest_ms == kForever ? kForever : newest_ms + limit_ms;
}

}  // namespace dotterelcove
