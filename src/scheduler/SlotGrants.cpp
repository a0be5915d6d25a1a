#include <algorithm>
#include <utility>

#include "base/Clock.h"
#include "scheduler/SlotService.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kBusyTimerMs = 20;
constexpr TimeMs kIdleTimerMs = 500;
constexpr TimeMs kOverloadRetryMs = 1'000;
// Number of requests at the head of a queue that an idempotent request may
// overtake to probe an ejected endpoint.
constexpr size_t kProbeScan = 32;
constexpr double kMsPerSecond = 1000.0;

size_t ClassIndex(uint8_t request_class) {
  return std::min<size_t>(request_class, 2);
}

}  // namespace

void SlotService::Enqueue(RoutedRequest& routed) {
  routed.phase = RoutedPhase::kWaiting;
  this->waiting_count++;
  this->queues[routed.request.service][ClassIndex(routed.request.request_class)]
      .push_back(routed.request.job);
  this->ScheduleTimer();
}

void SlotService::LeaveQueue(RoutedRequest& routed) {
  if (routed.phase != RoutedPhase::kWaiting || routed.request.job.empty()) {
    return;
  }
  std::deque<std::string>& ids =
      this->queues[routed.request.service]
                  [ClassIndex(routed.request.request_class)];
  const auto found = std::find(ids.begin(), ids.end(), routed.request.job);
  if (found == ids.end()) return;
  ids.erase(found);
  this->waiting_count--;
}

void SlotService::DispatchAll() {
  std::vector<std::string> services;
  for (const auto& [service, queue] : this->queues) services.push_back(service);
  for (const std::string& service : services) this->Dispatch(service);
}

void SlotService::Dispatch(const std::string& service) {
  if (!this->granting || !this->tracker.AreGrantsKnown(MonotonicMs())) return;
  const auto found = this->queues.find(service);
  if (found == this->queues.end()) return;
  // Strict priority: a lower class gets a slot only when no request of a higher
  // class waits for it.
  for (std::deque<std::string>& ids : found->second) {
    if (!this->DispatchClass(service, ids)) return;
  }
}

// Returns whether every request of the queue that can use a slot has got one,
// so that the next class may be served.
bool SlotService::DispatchClass(const std::string& service,
                                std::deque<std::string>& ids) {
  size_t position = 0;
  while (position < ids.size()) {
    RoutedRequest& routed = this->requests.at(ids[position]);
    // A daemon that is disconnected, or still recorded as down, cannot use a
    // slot.
    if (!this->tracker.MayGrant(routed.process)) {
      position++;
      continue;
    }
    if (this->TryGrant(routed)) {
      ids.erase(ids.begin() + static_cast<std::ptrdiff_t>(position));
      this->waiting_count--;
      continue;
    }
    if (routed.request.idempotent || position >= kProbeScan) return false;
    if (this->table.Pick(service, true, MonotonicMs()) == nullptr) return false;
    position++;
  }
  return true;
}

bool SlotService::TryGrant(RoutedRequest& routed) {
  const TimeMs now = MonotonicMs();
  const Endpoint* const endpoint =
      this->table.Pick(routed.request.service, routed.request.idempotent, now);
  if (endpoint == nullptr) return false;
  const std::string id = endpoint->vm.id;
  const bool is_probe = this->table.AcquireSlot(id);
  routed.phase = RoutedPhase::kGranted;
  routed.grant = {this->epoch, this->next_grant++};
  this->grants[routed.grant] = {routed.request.job, id,
                                routed.process,     routed.request.service,
                                routed.deadline_ms, is_probe};
  this->SendGrant(routed);
  const auto request_class =
      static_cast<RequestClass>(ClassIndex(routed.request.request_class));
  this->services.metrics.Count("grants_total");
  this->services.metrics.ObserveSeconds(
      "slot_wait_seconds",
      static_cast<double>(now - routed.arrived_ms) / kMsPerSecond,
      {{"class", std::string(NameOf(kRequestClassNames, request_class))}});
  this->services.events.Add("slot_granted",
                            {routed.request.job, "", id, this->epoch});
  return true;
}

void SlotService::SendGrant(const RoutedRequest& routed) {
  const SlotInUse& slot = this->grants.at(routed.grant);
  wire::SlotGrantT grant;
  grant.call = routed.request.call;
  grant.grant = routed.grant.second;
  grant.epoch = routed.grant.first;
  grant.job = routed.request.job;
  grant.endpoint = slot.endpoint;
  const auto endpoint = this->table.endpoints().find(slot.endpoint);
  if (endpoint != this->table.endpoints().end()) {
    grant.address = endpoint->second.vm.address;
  }
  this->services.send(routed.link, MakeFrame(std::move(grant)));
}

void SlotService::ReleaseSlot(const GrantKey& key) {
  const auto found = this->grants.find(key);
  this->table.ReleaseSlot(found->second.endpoint, found->second.is_probe);
  this->grants.erase(found);
}

void SlotService::End(const std::string& id, JobResult result) {
  RoutedRequest& routed = this->requests.at(id);
  wire::SubmitT request;
  request.job = id;
  request.caller = std::move(routed.request.caller);
  request.key = std::move(routed.request.key);
  request.body_digest = std::move(routed.request.body_digest);
  request.idempotent = routed.request.idempotent;
  const bool recorded = routed.has_intent_row;
  const std::set<LinkId> links = std::move(routed.outcome_links);
  const std::vector<PendingCall> waiters = std::move(routed.status_waiters);
  this->requests.erase(id);
  this->job_service.EndRouted(std::move(request), std::move(result), recorded,
                              links, waiters);
}

void SlotService::OnTimer() {
  const TimeMs now = MonotonicMs();
  this->ExpireRequests(now);
  this->ExpireGrants(now);
  this->tracker.RecordDown(now);
  this->DispatchAll();
  this->ScheduleTimer();
}

void SlotService::ScheduleTimer() {
  if (this->waiting_count > 0) {
    // A running busy timer is due soon enough, and restarting it with each
    // request would postpone it indefinitely.
    if (this->timer.active() && this->timer_busy) return;
    this->timer_busy = true;
    this->timer.StartAfter(kBusyTimerMs);
    return;
  }
  if (this->timer.active()) return;
  this->timer_busy = false;
  this->timer.StartAfter(kIdleTimerMs);
}

void SlotService::ExpireRequests(TimeMs now) {
  std::vector<std::string> expired;
  for (const auto& [id, routed] : this->requests) {
    const bool slot_timed_out =
        routed.phase == RoutedPhase::kWaiting && now >= routed.deadline_ms;
    const bool retry_timed_out = routed.phase == RoutedPhase::kReturned &&
                                 now >= routed.returned_until_ms;
    if (slot_timed_out || retry_timed_out) expired.push_back(id);
  }
  for (const std::string& id : expired) {
    RoutedRequest& routed = this->requests.at(id);
    JobResult result;
    if (routed.phase == RoutedPhase::kWaiting) {
      this->LeaveQueue(routed);
      this->services.metrics.Count("sheds_total", {{"delivery", "route"}});
      this->Refuse(routed.link, routed.request,
                   wire::SlotRefusalReason::Overload,
                   "no slot became free before the deadline", kOverloadRetryMs);
      // An earlier attempt of the request may have run.
      result.outcome =
          routed.may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
      result.detail = "no slot became free before the deadline";
    } else {
      result.outcome = Outcome::kUnknown;
      result.detail = "the entry daemon did not report the outcome";
    }
    this->End(id, std::move(result));
  }
}

void SlotService::ExpireGrants(TimeMs now) {
  // The entry daemon ends every request at its deadline. The grace time covers
  // a late release, not one that is lost with the connection; the daemon's next
  // report shows the latter.
  const TimeMs grace = this->services.settings.timing.max_routed_deadline_ms;
  std::vector<GrantKey> ended;
  for (const auto& [key, slot] : this->grants) {
    if (this->tracker.IsDown(slot.process, now) ||
        now >= slot.deadline_ms + grace) {
      ended.push_back(key);
    }
  }
  for (const GrantKey& key : ended) {
    const std::string id = this->grants.at(key).job;
    this->ReleaseSlot(key);
    const auto found = this->requests.find(id);
    if (found == this->requests.end() || found->second.grant != key) continue;
    JobResult result;
    result.outcome = Outcome::kUnknown;
    result.detail = "the entry daemon was lost while it held the slot";
    this->End(id, std::move(result));
  }
}

}  // namespace dotterelcove
