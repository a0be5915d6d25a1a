#include "node/RelayChoice.h"

#include <algorithm>
#include <limits>

#include "base/Hash.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

using workflow::WorkerAddress;

/// How long a relay that left a call unanswered is not used. Doubled each time
/// it leaves the next one unanswered too: otherwise a relay that is always late
/// would delay the syncs of its workers every 2 s.
constexpr TimeMs kAvoidMs = 2'000;
constexpr uint32_t kMaxAvoidDoublings = 3;
/// Short syncs under way through one relay, at least. The first relays that are
/// known after a takeover would otherwise get those of a whole large fleet.
/// Where few daemons serve many workers, the limit is this multiple of a
/// relay's part of the fleet.
constexpr size_t kMinShortSyncs = 32;
constexpr size_t kShortSyncsPerWorker = 4;

size_t MaxShortSyncs(const WorkerRelays& relays) {
  const bool is_large =
      relays.fleet_size == 0 || relays.fleet_size > kMaxFleetOfOwnCalls;
  if (!is_large) return std::numeric_limits<size_t>::max();
  const size_t count =
      std::max(relays.expected_relays.value_or(0), relays.relays.size());
  if (!relays.expected_relays || count == 0) return kMinShortSyncs;
  return std::max(kMinShortSyncs,
                  kShortSyncsPerWorker * relays.fleet_size / count);
}

uint64_t MakeWeight(uint64_t relay_hash, uint64_t worker_hash) {
  // The finalizer of MurmurHash3. Much cheaper than a hash of both names: an
  // owner with 300 relays compares 100 of them for each call.
  uint64_t mixed = relay_hash ^ worker_hash;
  mixed = (mixed ^ (mixed >> 33U)) * 0xff51afd7ed558ccdULL;
  mixed = (mixed ^ (mixed >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
  return mixed ^ (mixed >> 33U);
}

/// Whether so many relays have left calls unanswered that the cause must be
/// this process or its link, which may have stood still. Avoiding them would
/// leave most workers without a way.
bool IsAvoidanceMoot(const WorkerRelays& relays) {
  // Fewer relays may well be lost together.
  constexpr size_t kMinRelays = 10;
  const TimeMs now_ms = relays.runtime.now();
  if (now_ms >= relays.any_avoided_until_ms) return false;
  if (relays.relays.size() < kMinRelays) return false;
  const auto avoided = std::count_if(
      relays.relays.begin(), relays.relays.end(), [&](const auto& entry) {
        return now_ms < entry.second.avoided_until_ms;
      });
  return static_cast<size_t>(avoided) * 2 > relays.relays.size();
}

}  // namespace

FoundRelay FindRelay(const WorkerRelays& relays, const WorkerAddress& worker,
                     const RelayNeed& need) {
  const TimeMs now_ms = relays.runtime.now();
  const size_t max_short = MaxShortSyncs(relays);
  const bool is_moot = IsAvoidanceMoot(relays);
  const uint64_t worker_hash = Hash64(worker.id);
  FoundRelay found;
  int best_rank = 0;
  int full_rank = 0;
  uint64_t highest = 0;
  for (const auto& [link, relay] : relays.relays) {
    if (!is_moot && now_ms < relay.avoided_until_ms) continue;
    if (std::find(need.excluded.begin(), need.excluded.end(), link) !=
        need.excluded.end()) {
      continue;
    }
    const bool is_sound =
        is_moot || relay.failures == 0 || (need.may_probe && !relay.is_probed);
    const int rank =
        1 + (relay.zone == worker.zone ? 1 : 0) + (is_sound ? 2 : 0);
    if (need.is_short && relay.short_syncs >= max_short) {
      full_rank = std::max(full_rank, rank);
      continue;
    }
    if (rank < best_rank) continue;
    const uint64_t weight = MakeWeight(Hash64(relay.process), worker_hash);
    if (rank == best_rank && weight <= highest) continue;
    found.link = link;
    best_rank = rank;
    highest = weight;
  }
  if (full_rank > best_rank) return {0, true};
  return found;
}

Relay* FindConnected(WorkerRelays& relays, uint64_t link) {
  const auto found = relays.relays.find(link);
  return found == relays.relays.end() ? nullptr : &found->second;
}

void NoteRelay(WorkerRelays& relays, uint64_t link, bool answered) {
  Relay* relay = FindConnected(relays, link);
  const TimeMs now_ms = relays.runtime.now();
  // While it is avoided, only calls from before end.
  if (relay == nullptr || now_ms < relay->avoided_until_ms) return;
  if (answered) {
    relay->failures = 0;
    return;
  }
  const TimeMs avoid_ms = kAvoidMs
                          << std::min(relay->failures, kMaxAvoidDoublings);
  relay->failures++;
  relay->avoided_until_ms = now_ms + avoid_ms;
  relays.any_avoided_until_ms =
      std::max(relays.any_avoided_until_ms, relay->avoided_until_ms);
  Log(LogLevel::kWarning, "relay_unanswered",
      {F("relay", relay->process), F("avoided_ms", avoid_ms)});
}

}  // namespace dotterelcove
