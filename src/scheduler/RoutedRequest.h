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
  /// Its rows are being looked up and its intent row is being written.
  kRecording,
  /// Waits for a slot.
  kWaiting,
  /// An entry daemon has a slot for it.
  kGranted,
  /// The slot was released, or was missing from the entry daemon's report; the
  /// daemon may request another one.
  kReturned,
};
inline constexpr auto kRoutedPhaseNames =
    MakeNameTable<RoutedPhase>({{RoutedPhase::kRecording, "recording"},
                                {RoutedPhase::kWaiting, "waiting"},
                                {RoutedPhase::kGranted, "running"},
                                {RoutedPhase::kReturned, "returned"}});

/// Owner epoch and grant number; the pair is never reused.
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
  /// For kReturned: time until which the daemon may request another slot.
  TimeMs returned_until_ms = 0;
  GrantKey grant{0, 0};
  /// An earlier grant ended in a way that does not rule out that the request
  /// ran.
  bool may_have_run = false;
  /// A row `intent/<partition>/<id>` exists.
  bool has_intent_row = false;
  /// Links of other entry daemons that sent the same key in the meantime; they
  /// get the Outcome.
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
  /// Probes an endpoint that was ejected.
  bool is_probe = false;
};

}  // namespace dotterelcove
