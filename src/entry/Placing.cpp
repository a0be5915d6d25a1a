#include "entry/Placing.h"

#include <utility>

#include "base/Clock.h"
#include "http/HttpStatus.h"

namespace dotterelcove {
namespace {

constexpr int64_t kDefaultRetryMs = 1'000;

/// Sends the Submit again later, while earlier copies may still be running.
void SubmitLater(EntryState& state, Request& request, int64_t delay_ms) {
  request.phase = Phase::kBackingOff;
  request.retry_timer =
      std::make_unique<Timer>(state.loop, [&state, call = request.call] {
        Request* waiting = FindCall(state, call);
        if (waiting != nullptr) SubmitToOwner(state, *waiting);
      });
  request.retry_timer->StartAfter(delay_ms);
}

}  // namespace

void SubmitToOwner(EntryState& state, Request& request) {
  if (state.owner.link == 0) {
    request.phase = Phase::kWaitingOwner;
    return;
  }
  const CallerRequest& spec = request.spec;
  wire::SubmitT submit;
  submit.call = request.call;
  submit.job = request.job;
  submit.caller = spec.caller;
  submit.key = spec.key;
  submit.body_digest = request.digest;
  submit.service = spec.service;
  submit.kind = spec.kind;
  submit.team = spec.team;
  submit.request_class = static_cast<uint8_t>(spec.request_class);
  submit.durable = spec.mode == SubmitMode::kAsync;
  submit.idempotent = spec.idempotent;
  submit.deadline_ms = TimeLeftMs(request, MonotonicMs());
  submit.tasks = spec.tasks;
  submit.gang = spec.gang;
  submit.size = std::make_unique<wire::SizeT>();
  submit.size->milli_cores = spec.size.milli_cores;
  submit.size->memory_mb = spec.size.memory_mb;
  submit.size->accelerators = spec.size.accelerators;
  submit.duration_ms = spec.duration_ms;
  submit.payload.assign(spec.payload.begin(), spec.payload.end());
  request.phase = Phase::kSubmitted;
  request.may_have_run = true;
  request.submitted_links.insert(state.owner.link);
  AddRequestEvent(state, "sent", request, "submit");
  SendToOwner(state, std::move(submit));
}

void OnSubmitReply(EntryState& state, LinkId link,
                   const wire::SubmitReplyT& reply) {
  Request* request = FindCall(state, reply.call);
  if (request == nullptr || request->job != reply.job) return;
  if (reply.status == wire::SubmitStatus::Accepted) {
    if (request->phase == Phase::kFetching) return;
    request->phase = Phase::kAccepted;
    if (request->spec.mode != SubmitMode::kAsync) return;
    RequestEnd end;
    end.cause = EndCause::kRecorded;
    EndRequest(state, *request, std::move(end));
    return;
  }
  // This owner has not taken the job; an earlier one may have.
  request->submitted_links.erase(link);
  request->may_have_run = !request->submitted_links.empty();
  if (link != state.owner.link) return;
  RequestEnd end;
  end.reason = reply.message;
  if (reply.status == wire::SubmitStatus::Conflict) {
    end.status = http_status::kConflict;
    end.field = "key";
    if (end.reason.empty()) end.reason = "key is in use with another body";
    EndRequest(state, *request, std::move(end));
    return;
  }
  const int64_t retry_ms =
      reply.retry_after_ms > 0 ? reply.retry_after_ms : kDefaultRetryMs;
  if (request->may_have_run &&
      reply.status == wire::SubmitStatus::Unavailable) {
    SubmitLater(state, *request, retry_ms);
    return;
  }
  if (reply.status == wire::SubmitStatus::Unavailable ||
      reply.retry_after_ms > 0) {
    state.metrics.Count("sheds_total", {{"by", "owner"}});
    end.retry_after_ms = retry_ms;
  } else {
    end.status = http_status::kUnprocessableContent;
  }
  EndRequest(state, *request, std::move(end));
}

void OnOutcome(EntryState& state, LinkId link, wire::OutcomeT& outcome) {
  Request* request = FindJob(state, outcome.job);
  if (request == nullptr || request->phase == Phase::kFetching) return;
  // A routed request waits for an Outcome only after a Duplicate.
  const bool routed = request->spec.delivery == Delivery::kRoute;
  if (routed && request->phase != Phase::kDuplicate) return;
  if (ReportedOutcome(outcome.outcome) == Outcome::kNotRun) {
    // This owner vouches for itself only; an earlier one may have run the job.
    request->submitted_links.erase(link);
    request->may_have_run = routed ? request->may_have_run_before
                                   : !request->submitted_links.empty();
  }
  RequestEnd end;
  end.body.assign(outcome.body.begin(), outcome.body.end());
  end.reason = outcome.detail;
  end.retry_after_ms = outcome.retry_after_ms;
  (routed ? end.endpoint : end.worker) = outcome.worker;
  EndWithOutcome(state, *request, ReportedOutcome(outcome.outcome),
                 std::move(end), outcome.object);
}

void OnPlacedDeadline(EntryState& state, Request& request) {
  RequestEnd end;
  end.reason = request.phase == Phase::kWaitingOwner
                   ? "no scheduler could be reached before the deadline"
                   : "no outcome before the deadline";
  end.retry_after_ms = request.may_have_run ? 0 : kDefaultRetryMs;
  EndRequest(state, request, std::move(end));
}

}  // namespace dotterelcove
