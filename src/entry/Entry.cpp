#include "entry/Entry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/Clock.h"
#include "entry/Placing.h"
#include "entry/Queries.h"
#include "entry/Routing.h"

namespace dotterelcove {
namespace {

constexpr int64_t kSweepMs = 500;
constexpr int64_t kUsPerMs = 1'000;
/// Longest wait of a request without a deadline for an owner to appear.
constexpr int64_t kOwnerWaitMs = 30'000;
/// Longest wait of an asynchronous request for its record.
constexpr int64_t kRecordWaitMs = 10'000;
/// A grant that arrives later than this is no longer expected: the owner's
/// queue gives up at the request's own deadline.
constexpr int64_t kLateGrantMs = 15'000;
/// Suggested wait after a request ended because no scheduler took it.
constexpr int64_t kRetryAfterMs = 1'000;

}  // namespace

Entry::Entry(EntryDependencies parts, EntryOptions options)
    : state(new EntryState{.loop = parts.loop,
                           .metrics = parts.metrics,
                           .events = parts.events,
                           .endpoints = {.http = parts.endpoint_http},
                           .read_object = std::move(parts.read_object),
                           .options = options,
                           .random = MakeSystemRandom(),
                           .config = nullptr}),
      sweep(parts.loop, [this] { this->Sweep(); }) {
  this->state->limits.entries = options.entries;
  this->state->limits.max_in_progress = options.max_in_progress;
  this->sweep.StartEvery(kSweepMs);
}

Entry::~Entry() = default;

void Entry::SetPeers(PeerNode* peers) { this->state->peers = peers; }

void Entry::SetConfig(std::shared_ptr<const CellConfig> config) {
  this->state->config = std::move(config);
}

void Entry::EndAll(const std::string& reason) {
  EntryState& entry = *this->state;
  while (!entry.requests.empty()) {
    RequestEnd end;
    end.reason = reason;
    EndRequest(entry, *entry.requests.begin()->second, std::move(end));
  }
  while (!entry.queries.empty()) {
    EndQuery(entry, entry.queries.begin()->first, reason);
  }
}

void Entry::RefuseNew() { this->refuse_new = true; }

bool Entry::is_ready() const {
  return !this->refuse_new && this->state->config != nullptr &&
         this->state->owner.link != 0;
}

size_t Entry::in_progress() const {
  return this->state->requests.size() + this->state->queries.size();
}

void Entry::OnDisconnected(const PeerInfo& peer) {
  RemoveLink(this->state->tracker, peer.link);
  this->OnOwnerChange();
}

bool Entry::OnMessage(const PeerInfo& peer, wire::FrameT& frame) {
  EntryState& entry = *this->state;
  if (peer.role != wire::Role::Scheduler) return false;
  switch (frame.body.type) {
    case wire::Body::Heartbeat:
      RecordHeartbeat(entry.tracker, peer.link, *frame.body.AsHeartbeat());
      this->OnOwnerChange();
      // Others read heartbeats too, for the configuration version.
      return false;
    case wire::Body::SubmitReply:
      OnSubmitReply(entry, peer.link, *frame.body.AsSubmitReply());
      return true;
    case wire::Body::Outcome:
      OnOutcome(entry, peer.link, *frame.body.AsOutcome());
      return true;
    case wire::Body::SlotGrant:
      OnSlotGrant(entry, peer.link, *frame.body.AsSlotGrant());
      return true;
    case wire::Body::SlotRefusal:
      OnSlotRefusal(entry, *frame.body.AsSlotRefusal());
      return true;
    case wire::Body::StatusReply:
      OnStatusReply(entry, *frame.body.AsStatusReply());
      return true;
    case wire::Body::CancelReply:
      OnCancelReply(entry, *frame.body.AsCancelReply());
      return true;
    default:
      return false;
  }
}

void Entry::OnOwnerChange() {
  EntryState& entry = *this->state;
  const OwnerRef owner = FindOwner(entry.tracker);
  if (owner == entry.owner) return;
  entry.owner = owner;
  Log(LogLevel::kInfo, "owner_changed",
      {F("epoch", owner.epoch), F("link", owner.link)});
  entry.metrics.Set("owner_epoch", static_cast<double>(owner.epoch));
  if (owner.link == 0) return;
  ReportSlots(entry);
  // Sending may end requests, so the calls are collected first.
  std::vector<uint64_t> calls;
  for (const auto& [call, request] : entry.requests) calls.push_back(call);
  for (const uint64_t call : calls) {
    Request* request = FindCall(entry, call);
    if (request == nullptr) continue;
    switch (request->phase) {
      case Phase::kRunning:
      case Phase::kFetching:
      case Phase::kBackingOff:
        continue;
      case Phase::kWaitingOwner:
      case Phase::kWaitingSlot:
      case Phase::kSubmitted:
      case Phase::kAccepted:
      case Phase::kDuplicate:
        break;
    }
    if (request->spec.delivery == Delivery::kRoute) {
      RequestSlot(entry, *request);
    } else {
      SubmitToOwner(entry, *request);
    }
  }
  for (const auto& [call, query] : entry.queries) SendQuery(entry, *query);
}

void Entry::EndStaleRequests(TimeMs now) {
  EntryState& entry = *this->state;
  std::vector<std::pair<uint64_t, std::string>> stale;
  for (const auto& [call, request] : entry.requests) {
    const TimeMs age_ms = now - request->received_us / kUsPerMs;
    const bool unsent =
        !request->may_have_run && (request->phase == Phase::kWaitingOwner ||
                                   request->phase == Phase::kWaitingSlot);
    const bool left =
        std::none_of(request->waiters.begin(), request->waiters.end(),
                     [](const HttpReply& waiter) { return waiter.is_open(); });
    if (unsent && left) {
      stale.emplace_back(call, "no caller is left");
    } else if (request->phase == Phase::kWaitingOwner &&
               age_ms > kOwnerWaitMs) {
      stale.emplace_back(call, "no scheduler could be reached");
    } else if (request->spec.mode == SubmitMode::kAsync &&
               age_ms > kRecordWaitMs) {
      stale.emplace_back(call, "not recorded in time");
    }
  }
  for (auto& [call, reason] : stale) {
    Request* request = FindCall(entry, call);
    if (request == nullptr) continue;
    RequestEnd end;
    end.reason = std::move(reason);
    if (!request->may_have_run) end.retry_after_ms = kRetryAfterMs;
    EndRequest(entry, *request, std::move(end));
  }
}

void Entry::Sweep() {
  EntryState& entry = *this->state;
  const TimeMs now = MonotonicMs();
  this->EndStaleRequests(now);
  std::erase_if(entry.ended_slot_requests, [now](const auto& ended) {
    return now - ended.second.ended_ms > kLateGrantMs;
  });
  EvictIdleCallers(entry.limits, now);
  EvictIdleWindows(entry.budget, now);
  entry.metrics.Set("requests_in_progress",
                    static_cast<double>(entry.requests.size()));
  entry.metrics.Set("queries_in_progress",
                    static_cast<double>(entry.queries.size()));
}

}  // namespace dotterelcove
