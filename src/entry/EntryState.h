/// State of the entry daemon: held-open requests, queries, limits and the view
/// of the owner. Free functions in this folder work on it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/Random.h"
#include "border/endpoint/EndpointClient.h"
#include "border/objects/ObjectClient.h"
#include "config/CellConfig.h"
#include "entry/CallerLimits.h"
#include "entry/OwnerTracker.h"
#include "entry/Request.h"
#include "entry/RetryBudget.h"
#include "telemetry/Events.h"
#include "telemetry/Metrics.h"

namespace dotterelcove {

/// Reads one object of the object store.
using ObjectReader = std::function<void(
    const std::string& name, std::function<void(ObjectResult)> done)>;

struct EntryOptions {
  /// Number of entry daemons of the cell, which share each caller's limits.
  int64_t entries = 1;
  int64_t max_in_progress = 10'000;
  int64_t max_routed_deadline_ms = 10'000;
};

/// GET or DELETE of one key, waiting for the owner.
struct Query {
  uint64_t call = 0;
  std::string caller;
  std::string key;
  bool cancel = false;
  /// Waits for the final outcome.
  bool wait = false;
  /// A cancellation, whose answer is read after it has been taken.
  bool cancel_accepted = false;
  /// The raw answer was asked for.
  bool raw = false;
  HttpReply reply;
  std::unique_ptr<Timer> deadline_timer;
};

/// A returned grant, kept until the owner has surely received it.
struct PendingRelease {
  wire::SlotReleaseT release;
  /// Monotonic time at which it was made.
  TimeMs made_ms = 0;
  /// False while no owner was connected to send it to.
  bool sent = false;
};

/// A request that ended while its SlotRequest was with the owner; a grant for
/// it may still arrive.
struct EndedSlotRequest {
  Outcome outcome = Outcome::kUnknown;
  TimeMs ended_ms = 0;
};

struct EntryState {
  EventLoop& loop;
  Metrics& metrics;
  EventRing& events;
  EndpointClient endpoints;
  ObjectReader read_object;
  EntryOptions options;
  Random random;
  std::shared_ptr<const CellConfig> config = {};
  /// Set once the peer node has started; used to send only.
  PeerNode* peers = nullptr;
  OwnerTracker tracker = {};
  OwnerRef owner = {};
  uint64_t next_call = 1;
  std::map<uint64_t, std::unique_ptr<Request>> requests = {};
  /// Request in progress for each job id.
  std::map<std::string, uint64_t> by_job = {};
  std::map<uint64_t, std::unique_ptr<Query>> queries = {};
  /// By call.
  std::map<uint64_t, EndedSlotRequest> ended_slot_requests = {};
  std::deque<PendingRelease> releases = {};
  CallerLimits limits = {};
  RetryBudget budget = {};
};

/// Adds an event about a request; the owner's epoch is that of its grant.
void AddRequestEvent(EntryState& state, std::string_view name,
                     const Request& request, std::string detail = {});

/// Sends one message to the owner; false when none is connected.
template <class T>
bool SendToOwner(EntryState& state, T message) {
  if (state.owner.link == 0 || state.peers == nullptr) return false;
  state.peers->Send(state.owner.link, std::move(message));
  return true;
}

/// The request in progress with this call number or job id, or nullptr.
Request* FindCall(EntryState& state, uint64_t call);
Request* FindJob(EntryState& state, const std::string& job);

/// Answers every waiter of a request, frees what it counts for and removes it.
/// The reference is invalid afterwards.
void EndRequest(EntryState& state, Request& request, RequestEnd end);

/// Ends a request with an outcome reported by the owner. An answer in the
/// object store is read first.
void EndWithOutcome(EntryState& state, Request& request, Outcome outcome,
                    RequestEnd end, const std::string& object);

/// Reads an answer from the object store, with retries until `deadline_ms`
/// (monotonic). `done` gets false when it could not be read.
void FetchAnswer(EntryState& state, const std::string& object,
                 TimeMs deadline_ms,
                 std::function<void(bool, std::string)> done);

/// Time left for a message to the owner; 0 for no deadline, else at least 1.
int64_t TimeLeftMs(const Request& request, TimeMs now);

}  // namespace dotterelcove
