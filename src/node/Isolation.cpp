#include "node/Isolation.h"

#include <algorithm>

namespace dotterelcove {

void NotePeer(Isolation& isolation, const std::string& peer, TimeMs heard_ms) {
  PeerEvidence& evidence = isolation.peers[peer];
  evidence.heard_ms = std::max(evidence.heard_ms, heard_ms);
}

TimeMs ActsUntil(const Isolation& isolation, TimeMs store_ms, TimeMs limit_ms) {
  if (isolation.peers.empty()) return kForever;
  TimeMs newest_ms = store_ms;
  for (const auto& [name, evidence] : isolation.peers) {
    newest_ms = std::max(newest_ms, evidence.heard_ms);
  }
  return newest_ms + limit_ms;
}

}  // namespace dotterelcove
