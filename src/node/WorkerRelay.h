/// Calls to workers through daemons in the workers' zones. An HTTP call costs
/// the owner some hundred microseconds of processor time, a frame a few, so the
/// owner of a large fleet lets the other daemons make the calls. They keep no
/// state for it: leases, tokens and retries stay with the owner, and a call
/// that a slow daemon makes late is like any late call to a worker.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Runtime.h"
#include "node/PeerCalls.h"
#include "workflow/Ports.h"

namespace dotterelcove {

/// Workers that the owner of a large fleet calls itself while other daemons can
/// call them, at most; also its own calls in flight. With 300 daemons and the
/// callers, it stays below 1,000 connections.
inline constexpr size_t kMaxOwnWorkers = 400;
/// Largest fleet whose workers an owner may all call itself, and whose syncs
/// may all go through one relay: one of 1,000 was measured to work so, one of
/// 3,000 stalled.
inline constexpr size_t kMaxFleetOfOwnCalls = 1'000;
/// The HTTP client closes a connection that has not been used for 118 s, so a
/// worker counts as called for this long.
inline constexpr TimeMs kOwnWorkerMs = 120'000;

/// A daemon that makes calls for the owner.
struct Relay {
  std::string process;
  std::string zone;
  /// Not used before this time, because it left a call unanswered.
  TimeMs avoided_until_ms = 0;
  /// Times in a row that it was avoided. Until it answers again, it is tried
  /// with one sync at a time.
  uint32_t failures = 0;
  bool is_probed = false;
  /// Syncs under way through it that the worker answers at once.
  size_t short_syncs = 0;
};

/// The owner's own calls to workers, not through a relay, and their limits.
struct OwnCalls {
  size_t in_flight = 0;
  /// When each worker was last called, for kOwnWorkerMs.
  std::map<std::string, TimeMs> workers;
  TimeMs next_pruning_ms = 0;
  /// Upper limit of `in_flight` and `workers` while there is no relay.
  size_t max_without_relays = kMaxOwnWorkers;
  /// Calls that were delayed or not made because of the limits.
  uint64_t held_back = 0;
  TimeMs next_log_ms = 0;
};

/// A sync that no way was free for.
struct WaitingSync {
  workflow::WorkerAddress worker;
  workflow::SyncOrder order;
  workflow::SyncCallback done;
  TimeMs expires_ms = 0;
  /// Relays that left it without a result and are still connected.
  std::vector<uint64_t> tried = {};
  /// A relay has left it without a result, so it may have been carried out.
  bool is_repeated = false;
};

/// The owner's view of the relays.
struct WorkerRelays {
  Runtime runtime;
  /// Makes calls from this process.
  workflow::WorkerPort direct;
  /// Sends a call over a connection; `answer` runs once, with null when the
  /// connection is lost or `timeout_ms` has passed.
  std::function<void(uint64_t link, wire::WorkerCallT call, TimeMs timeout_ms,
                     PeerAnswer answer)>
      ask;
  /// Whether the owner may act now. Asked before a call that had to wait.
  std::function<bool()> may_act;
  /// False for a small fleet, whose calls the owner makes itself.
  bool enabled = false;
  /// The number of workers, 0 until the first worker list.
  size_t fleet_size = 0;
  /// The number of workers that the records of a predecessor name.
  std::function<size_t()> count_recorded;
  /// The number of relays to expect, nothing for unknown.
  std::optional<size_t> expected_relays;
  /// When this process became the owner or its last relay was lost.
  TimeMs without_relays_since_ms = 0;
  /// By connection.
  std::map<uint64_t, Relay> relays;
  /// No relay is avoided from this time on.
  TimeMs any_avoided_until_ms = 0;
  /// Workers with syncs under way, with the relay of each, 0 for an own call.
  std::map<std::string, std::vector<uint64_t>> syncing;
  OwnCalls own;
  /// By the worker's zone.
  std::map<std::string, std::deque<WaitingSync>> waiting;
  bool is_resume_planned = false;
};
using WorkerRelaysPtr = std::shared_ptr<WorkerRelays>;

/// The relay for a worker: one in its zone, always the same one as long as the
/// set of relays does not change, so that connections are reused. Returns its
/// connection, 0 for none.
uint64_t ChooseRelay(const WorkerRelays& relays,
                     const workflow::WorkerAddress& worker);

/// A port that makes calls through relays where there are any. A sync that a
/// relay leaves without a result is made again through another relay, and if
/// that one does not answer either, from this process. A second sync beside one
/// under way takes another way. Calls from this process are limited as by
/// OwnCalls: a sync that cannot be made waits for some time, an order is
/// answered as not sent. None of this applies to a small fleet.
workflow::WorkerPort MakeRelayPort(const WorkerRelaysPtr& relays);

/// Removes a relay, if it is one.
void RemoveRelay(WorkerRelays& relays, uint64_t link);

/// Makes the syncs that wait, as far as there are ways for them now. To be
/// called when a relay has become known.
void ResumeSyncs(const WorkerRelaysPtr& relays);

/// Makes a call on behalf of the owner.
void MakeRelayedCall(const workflow::WorkerPort& direct,
                     const wire::WorkerCallT& call,
                     const std::function<void(wire::WorkerReplyT)>& done);

}  // namespace dotterelcove
