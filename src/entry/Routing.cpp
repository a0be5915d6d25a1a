#include "entry/Routing.h"

#include <algorithm>
#include <utility>

#include "base/Clock.h"
#include "http/HttpStatus.h"

namespace dotterelcove {
namespace {

constexpr int64_t kRetryBaseMs = 10;
constexpr int64_t kRetryMaxMs = 500;
constexpr int64_t kDefaultRetryAfterMs = 1'000;
/// Largest answer that a release carries to the owner; see docs/design.md 5.1.
constexpr size_t kMaxReleaseBytes = 256 << 10;
/// A release is sent again to an owner that succeeds within this time, since
/// the earlier owner may have died before it acted on it.
constexpr TimeMs kReleaseResendMs = 10'000;
constexpr double kUsPerSecond = 1e6;

wire::SlotResult ResultOf(const EndpointResult& result) {
  switch (result.status) {
    case RunStatus::kDone:
      return wire::SlotResult::Done;
    case RunStatus::kNotSent:
      return wire::SlotResult::NotSent;
    case RunStatus::kRefused:
      return result.leaving ? wire::SlotResult::Leaving
                            : wire::SlotResult::RefusedByEndpoint;
    case RunStatus::kFailed:
      return wire::SlotResult::FailedByEndpoint;
    case RunStatus::kUnknown:
      break;
  }
  return wire::SlotResult::Unknown;
}

/// Sends a release and keeps it for a later owner.
void SendRelease(EntryState& state, wire::SlotReleaseT release) {
  const TimeMs now = MonotonicMs();
  while (!state.releases.empty() &&
         now - state.releases.front().made_ms > kReleaseResendMs) {
    state.releases.pop_front();
  }
  const bool sent = SendToOwner(state, release);
  // A release that was sent is needed again only for its outcome.
  if (sent && !release.final) return;
  state.releases.push_back({std::move(release), now, sent});
}

wire::SlotReleaseT MakeRelease(const HeldGrant& grant, const std::string& job) {
  wire::SlotReleaseT release;
  release.grant = grant.grant;
  release.epoch = grant.epoch;
  release.job = job;
  release.endpoint = grant.endpoint;
  return release;
}

/// Returns the slot of a run that has ended. The outcome is that of the request
/// as a whole.
void ReleaseRunSlot(EntryState& state, Request& request,
                    const EndpointResult& result, bool final, Outcome outcome) {
  wire::SlotReleaseT release = MakeRelease(request.grant, request.job);
  release.result = ResultOf(result);
  release.endpoint_leaving = result.leaving || result.unreachable;
  release.latency_us = result.latency_us;
  release.final = final;
  release.outcome = static_cast<uint8_t>(outcome);
  if (final && outcome == Outcome::kDone) {
    if (result.body.size() <= kMaxReleaseBytes) {
      release.body.assign(result.body.begin(), result.body.end());
    } else {
      // The owner cannot keep the whole answer, so it must not claim "done" to
      // another caller of the same key.
      release.outcome = static_cast<uint8_t>(Outcome::kUnknown);
    }
  }
  SendRelease(state, std::move(release));
}

/// Returns a slot that no request uses. The outcome of a request that has ended
/// meanwhile goes with it; one that goes on decides it later.
void ReleaseUnusedSlot(EntryState& state, const wire::SlotGrantT& grant) {
  const HeldGrant held{grant.grant, grant.epoch, grant.endpoint, grant.address};
  wire::SlotReleaseT release = MakeRelease(held, grant.job);
  release.result = wire::SlotResult::NotSent;
  const auto ended = state.ended_slot_requests.find(grant.call);
  const bool is_in_progress = FindJob(state, grant.job) != nullptr;
  release.final = !is_in_progress;
  release.outcome = static_cast<uint8_t>(
      ended == state.ended_slot_requests.end() ? Outcome::kUnknown
                                               : ended->second.outcome);
  SendRelease(state, std::move(release));
}

bool HasOpenWaiter(const Request& request) {
  return std::any_of(request.waiters.begin(), request.waiters.end(),
                     [](const HttpReply& reply) { return reply.is_open(); });
}

/// Delay before the next attempt, or a negative number when there is none:
/// what may have run is repeated only when idempotent, and never beyond the
/// budget or the deadline.
int64_t RetryDelayMs(EntryState& state, const Request& request,
                     const EndpointResult& result) {
  if (MayHaveRun(result.status) && !request.spec.idempotent) return -1;
  if (!HasOpenWaiter(request)) return -1;
  const TimeMs now = MonotonicMs();
  const int64_t delay =
      BackoffMs(state.random, request.attempts - 1, kRetryBaseMs, kRetryMaxMs);
  if (now + delay >= request.deadline_ms) return -1;
  if (!TakeRetry(state.budget, request.spec.caller, request.spec.service,
                 now)) {
    state.metrics.Count("retries_denied_total");
    return -1;
  }
  return delay;
}

void RetryLater(EntryState& state, Request& request, int64_t delay_ms) {
  request.phase = Phase::kBackingOff;
  request.retry_timer =
      std::make_unique<Timer>(state.loop, [&state, call = request.call] {
        Request* waiting = FindCall(state, call);
        if (waiting != nullptr) RequestSlot(state, *waiting);
      });
  request.retry_timer->StartAfter(delay_ms);
}

void OnRunEnded(EntryState& state, uint64_t call, EndpointResult result) {
  Request* request = FindCall(state, call);
  if (request == nullptr) return;
  request->may_have_run =
      request->may_have_run_before || MayHaveRun(result.status);
  request->retry_announced = false;
  const bool done = result.status == RunStatus::kDone;
  const int64_t delay_ms = done ? -1 : RetryDelayMs(state, *request, result);
  RequestEnd end;
  end.cause = done ? EndCause::kAnswered : EndCause::kGivenUp;
  end.reported = Outcome::kDone;
  const Outcome outcome = DecideOutcome(*request, end);
  ReleaseRunSlot(state, *request, result, delay_ms < 0, outcome);
  state.metrics.Count(
      "endpoint_runs_total",
      {{"result", std::string(NameOf(kRunStatusNames, result.status))}});
  if (delay_ms >= 0) {
    state.metrics.Count("retries_total");
    request->retry_announced = true;
    RetryLater(state, *request, delay_ms);
    return;
  }
  end.endpoint = request->grant.endpoint;
  end.body = std::move(result.body);
  end.reason = result.detail;
  if (!done) {
    end.status =
        outcome == Outcome::kUnknown && result.status == RunStatus::kFailed
            ? http_status::kBadGateway
            : 0;
    end.retry_after_ms = outcome == Outcome::kNotRun ? kDefaultRetryAfterMs : 0;
  }
  EndRequest(state, *request, std::move(end));
}

}  // namespace

void RequestSlot(EntryState& state, Request& request) {
  if (state.owner.link == 0) {
    request.phase = Phase::kWaitingOwner;
    return;
  }
  const CallerRequest& spec = request.spec;
  wire::SlotRequestT message;
  message.call = request.call;
  message.job = request.job;
  message.caller = spec.caller;
  message.key = spec.key;
  message.body_digest = request.digest;
  message.service = spec.service;
  message.kind = spec.kind;
  message.request_class = static_cast<uint8_t>(spec.request_class);
  message.idempotent = spec.idempotent;
  message.deadline_ms = TimeLeftMs(request, MonotonicMs());
  request.phase = Phase::kWaitingSlot;
  SendToOwner(state, std::move(message));
}

void OnSlotGrant(EntryState& state, LinkId link,
                 const wire::SlotGrantT& grant) {
  Request* request = FindCall(state, grant.call);
  // A grant of an owner that has been succeeded is not in the report that its
  // successor counts on, so it must not be used.
  const bool current = state.owner == OwnerRef{link, grant.epoch};
  if (!current || request == nullptr || request->job != grant.job ||
      request->phase != Phase::kWaitingSlot) {
    ReleaseUnusedSlot(state, grant);
    return;
  }
  request->grant = {grant.grant, grant.epoch, grant.endpoint, grant.address};
  if (!HasOpenWaiter(*request) || MonotonicMs() >= request->deadline_ms) {
    RequestEnd end;
    end.reason = "no caller is left, or the deadline has passed";
    EndpointResult unsent;
    unsent.status = RunStatus::kNotSent;
    ReleaseRunSlot(state, *request, unsent, true, DecideOutcome(*request, end));
    request->retry_announced = false;
    request->phase = Phase::kRunning;
    EndRequest(state, *request, std::move(end));
    return;
  }
  AddRequestEvent(state, "slot_granted", *request);
  state.metrics.ObserveSeconds(
      "wait_seconds",
      static_cast<double>(MonotonicUs() - request->received_us) / kUsPerSecond,
      {{"class",
        std::string(NameOf(kRequestClassNames, request->spec.request_class))}});
  request->phase = Phase::kRunning;
  request->attempts++;
  request->may_have_run_before = request->may_have_run;
  request->may_have_run = true;
  AddRequestEvent(state, "sent", *request, std::to_string(request->attempts));
  EndpointRun run;
  run.address = request->grant.address;
  run.request_id = request->job;
  run.payload = request->spec.payload;
  run.deadline_ms = request->deadline_ms;
  run.idempotent = request->spec.idempotent;
  RunOnEndpoint(state.endpoints, run,
                [&state, call = request->call](EndpointResult result) {
                  OnRunEnded(state, call, std::move(result));
                });
}

void OnSlotRefusal(EntryState& state, const wire::SlotRefusalT& refusal) {
  Request* request = FindCall(state, refusal.call);
  if (request == nullptr || request->phase != Phase::kWaitingSlot) return;
  RequestEnd end;
  end.reason = refusal.message;
  end.retry_after_ms = refusal.retry_after_ms;
  switch (refusal.reason) {
    case wire::SlotRefusalReason::Duplicate:
      request->phase = Phase::kDuplicate;
      request->may_have_run_before = request->may_have_run;
      // Its outcome is the other process's to report.
      request->may_have_run = true;
      return;
    case wire::SlotRefusalReason::Ended:
      end.body.assign(refusal.body.begin(), refusal.body.end());
      EndWithOutcome(state, *request, ReportedOutcome(refusal.outcome),
                     std::move(end), {});
      return;
    case wire::SlotRefusalReason::Conflict:
      end.status = http_status::kConflict;
      end.field = "key";
      if (end.reason.empty()) end.reason = "key is in use with another body";
      break;
    case wire::SlotRefusalReason::Overload:
    case wire::SlotRefusalReason::Unavailable:
    case wire::SlotRefusalReason::NoEndpoint:
      if (end.retry_after_ms <= 0) end.retry_after_ms = kDefaultRetryAfterMs;
      state.metrics.Count("sheds_total", {{"by", "owner"}});
      break;
  }
  EndRequest(state, *request, std::move(end));
}

void OnRoutedDeadline(EntryState& state, Request& request) {
  // The call to the endpoint has the same time limit and ends the request.
  if (request.phase == Phase::kRunning) return;
  RequestEnd end;
  end.reason = request.phase == Phase::kWaitingOwner
                   ? "no scheduler could be reached before the deadline"
                   : "no slot was free before the deadline";
  if (request.phase == Phase::kDuplicate) {
    end.reason = "the same key is in progress; no outcome before the deadline";
  }
  if (!request.may_have_run) end.retry_after_ms = kDefaultRetryAfterMs;
  EndRequest(state, request, std::move(end));
}

void ReportRetryAbandoned(EntryState& state, const Request& request,
                          const RequestEnd& end) {
  if (!request.retry_announced) return;
  wire::SlotReleaseT release = MakeRelease({}, request.job);
  release.result = wire::SlotResult::NotSent;
  release.final = true;
  release.outcome = static_cast<uint8_t>(DecideOutcome(request, end));
  SendRelease(state, std::move(release));
}

void ReportSlots(EntryState& state) {
  const TimeMs now = MonotonicMs();
  wire::SlotReportT report;
  report.owner_epoch = state.owner.epoch;
  for (const auto& [call, request] : state.requests) {
    if (request->phase != Phase::kRunning) continue;
    auto held = std::make_unique<wire::HeldSlotT>();
    held->grant = request->grant.grant;
    held->epoch = request->grant.epoch;
    held->job = request->job;
    held->caller = request->spec.caller;
    held->key = request->spec.key;
    held->endpoint = request->grant.endpoint;
    held->time_left_ms = TimeLeftMs(*request, now);
    held->idempotent = request->spec.idempotent;
    report.held.push_back(std::move(held));
  }
  SendToOwner(state, std::move(report));
  std::erase_if(state.releases, [now](const PendingRelease& kept) {
    return kept.sent && now - kept.made_ms > kReleaseResendMs;
  });
  for (PendingRelease& kept : state.releases) {
    kept.sent = SendToOwner(state, kept.release);
  }
}

}  // namespace dotterelcove
