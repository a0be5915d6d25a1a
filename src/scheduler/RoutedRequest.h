#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/NameTable.h"
#include "scheduler/Job.h"

namespace dotterelcove {

enum class RoutedPhase : uint8_t {
  /// Its intent is being looked up and recorded.
  kRecording,
  /// Waits for a slot.
  kWaiting,
  /// An entry daemon has a slot for it.
  kGranted,
  /// The slot came back, or was not in the entry daemon's report; the daemon
  /// may ask again.
  kReturned,
};
inline constexpr auto kRoutedPhaseNames =
    MakeNameTable<RoutedPhase>({{RoutedPhase::kRecording, "recording"},
                                {RoutedPhase::kWaiting, "waiting"},
                                {RoutedPhase::kGranted, "running"},
                                {RoutedPhase::kReturned, "returned"}});

/// Owner epoch and number, which together are unique for ever.
using GrantKey = std::pair<uint64_t, uint64_t>;

/// A routed request from its first SlotRequest to its outcome.
struct RoutedRequest {
  wire::SlotRequestT request;
  RoutedPhase phase = RoutedPhase::kWaiting;
  /// Entry daemon that holds the caller's request.
  std::string process;
  LinkId link = 0;
  TimeMs arrived_ms = 0;
  TimeMs deadline_ms = 0;
  /// For kReturned: until when the daemon may ask again.
  TimeMs returned_until_ms = 0;
  GrantKey grant{0, 0};
  /// An earlier grant ended in a way that does not rule out that it ran.
  bool may_have_run = false;
  /// A row `intent/<partition>/<id>` exists.
  bool has_intent_row = false;
  /// Daemons that sent the same key meanwhile.
  std::set<LinkId> outcome_links;
  std::vector<PendingCall> status_waiters;
};

/// A slot in use.
struct SlotInUse {
  std::string job;
  std::string endpoint;
  std::string process;
  std::string service;
  TimeMs deadline_ms = 0;
};

}  // namespace dotterelcove
