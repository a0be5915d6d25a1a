/// State of the entry daemon: open requests, queries, limits and the known
/// owner. The free functions in this folder operate on it.
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
  /// Number of entry daemons in the cell, which share each caller's limits.
  int64_t entries = 1;
  int64_t max_in_progress = 10'000;
  int64_t max_routed_deadline_ms = 10'000;
};

/// GET or DELETE of one key that waits for the owner's reply.
struct Query {
  uint64_t call = 0;
  std::string caller;
  std::string key;
  bool cancel = false;
  /// Waits for the final outcome.
  bool wait = false;
  /// The owner has accepted the cancellation; a status query for the outcome
  /// has followed it.
  bool cancel_accepted = false;
  /// The caller requested the raw answer.
  bool raw = false;
  HttpReply reply;
  std::unique_ptr<Timer> deadline_timer;
};

/// A slot release that is kept to be sent again to the next owner, because the
/// present one may fail before it processes it.
struct PendingRelease {
  wire::SlotReleaseT release;
  /// Monotonic time of creation.
  TimeMs made_ms = 0;
  /// False while no owner was connected to send it to.
  bool sent = false;
};

/// A request that ended while its SlotRequest was pending at the owner; a grant
/// for it may still arrive.
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
  /// Set once the peer node has started; used for sending only.
  PeerNode* peers = nullptr;
  OwnerTracker tracker = {};
  OwnerRef owner = {};
  uint64_t next_call = 1;
  std::map<uint64_t, std::unique_ptr<Request>> requests = {};
  /// Call of the request in progress for each job id.
  std::map<std::string, uint64_t> by_job = {};
  std::map<uint64_t, std::unique_ptr<Query>> queries = {};
  /// By call.
  std::map<uint64_t, EndedSlotRequest> ended_slot_requests = {};
  std::deque<PendingRelease> releases = {};
  CallerLimits limits = {};
  RetryBudget budget = {};
};

/// Adds an event about a request, with the owner epoch of the request's grant.
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

/// Answers every waiter of a request, releases its admission counts and removes
/// it. `request` is dangling afterwards.
void EndRequest(EntryState& state, Request& request, RequestEnd end);

/// Ends a request with an outcome reported by the owner. If `object` is set,
/// the answer is read from the object store first.
void EndWithOutcome(EntryState& state, Request& request, Outcome outcome,
                    RequestEnd end, const std::string& object);

/// Reads an answer from the object store, with retries until `deadline_ms`
/// (monotonic) but for at least 10 s. `done` gets false when all attempts fail.
void FetchAnswer(EntryState& state, const std::string& object,
                 TimeMs deadline_ms,
                 std::function<void(bool, std::string)> done);

/// Remaining time of a request in ms, as sent to the owner: 0 for no deadline,
/// otherwise at least 1.
int64_t TimeLeftMs(const Request& request, TimeMs now);

}  // namespace dotterelcove
