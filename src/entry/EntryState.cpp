#include "entry/EntryState.h"

#include <algorithm>
#include <utility>

#include "base/Clock.h"
#include "entry/Routing.h"

namespace dotterelcove {
namespace {

constexpr int64_t kFetchBackoffBaseMs = 50;
constexpr int64_t kFetchBackoffMaxMs = 1'000;
/// Time that reading a stored answer gets beyond the caller's own deadline: the
/// work is done, and only its transfer is late.
constexpr int64_t kFetchLimitMs = 10'000;
constexpr double kUsPerSecond = 1e6;

void TryFetch(EntryState& state, const std::string& object, TimeMs deadline_ms,
              int attempt, std::function<void(bool, std::string)> done) {
  state.read_object(object, [&state, object, deadline_ms, attempt,
                             done = std::move(done)](ObjectResult got) {
    if (got.status == TableStatus::kOk && got.found) {
      done(true, std::move(got.content));
      return;
    }
    const int64_t wait = BackoffMs(state.random, attempt, kFetchBackoffBaseMs,
                                   kFetchBackoffMaxMs);
    if (MonotonicMs() + wait >= deadline_ms) {
      done(false, {});
      return;
    }
    // The timer owns itself until it fires.
    auto timer = std::make_shared<std::unique_ptr<Timer>>();
    *timer = std::make_unique<Timer>(
        state.loop, [&state, object, deadline_ms, attempt, done, timer] {
          timer->reset();
          TryFetch(state, object, deadline_ms, attempt + 1, done);
        });
    (*timer)->StartAfter(wait);
  });
}

}  // namespace

void AddRequestEvent(EntryState& state, std::string_view name,
                     const Request& request, std::string detail) {
  EventSubject subject;
  subject.job = request.job;
  subject.worker = request.grant.endpoint;
  subject.epoch = request.grant.epoch;
  state.events.Add(name, std::move(subject), std::move(detail));
}

Request* FindCall(EntryState& state, uint64_t call) {
  const auto found = state.requests.find(call);
  return found == state.requests.end() ? nullptr : found->second.get();
}

Request* FindJob(EntryState& state, const std::string& job) {
  const auto found = state.by_job.find(job);
  return found == state.by_job.end() ? nullptr : FindCall(state, found->second);
}

int64_t TimeLeftMs(const Request& request, TimeMs now) {
  if (request.deadline_ms == 0) return 0;
  return std::max<int64_t>(1, request.deadline_ms - now);
}

void EndRequest(EntryState& state, Request& request, RequestEnd end) {
  if (end.cause == EndCause::kGivenUp)
    ReportRetryAbandoned(state, request, end);
  const CallerAnswer answer = MakeAnswer(request, std::move(end));
  const HttpResponse response = RenderAnswer(answer);
  const std::string outcome(NameOf(kOutcomeNames, *answer.outcome));
  const std::string request_class(
      NameOf(kRequestClassNames, request.spec.request_class));
  state.metrics.Count("requests_total",
                      {{"class", request_class}, {"outcome", outcome}});
  state.metrics.ObserveSeconds(
      "request_seconds",
      static_cast<double>(MonotonicUs() - request.received_us) / kUsPerSecond,
      {{"class", request_class}});
  // The reason lets "explain" tell why a request was refused.
  AddRequestEvent(
      state, "answered", request,
      answer.reason.empty() ? outcome : outcome + ": " + answer.reason);
  for (const std::string& caller : request.admitted) {
    ReleaseInProgress(state.limits, caller);
  }
  if (request.phase == Phase::kWaitingSlot) {
    state.ended_slot_requests[request.call] = {*answer.outcome, MonotonicMs()};
  }
  const std::vector<HttpReply> waiters = std::move(request.waiters);
  state.by_job.erase(request.job);
  state.requests.erase(request.call);
  for (const HttpReply& waiter : waiters) waiter.Send(response);
}

void FetchAnswer(EntryState& state, const std::string& object,
                 TimeMs deadline_ms,
                 std::function<void(bool, std::string)> done) {
  TryFetch(state, object, std::max(deadline_ms, MonotonicMs() + kFetchLimitMs),
           0, std::move(done));
}

void EndWithOutcome(EntryState& state, Request& request, Outcome outcome,
                    RequestEnd end, const std::string& object) {
  end.cause = EndCause::kAnswered;
  end.reported = outcome;
  if (outcome != Outcome::kDone || object.empty()) {
    EndRequest(state, request, std::move(end));
    return;
  }
  request.phase = Phase::kFetching;
  request.may_have_run = true;
  request.deadline_timer.reset();
  FetchAnswer(state, object, request.deadline_ms,
              [&state, call = request.call, end = std::move(end)](
                  bool read, std::string content) mutable {
                Request* waiting = FindCall(state, call);
                if (waiting == nullptr) return;
                end.body = std::move(content);
                if (!read) {
                  end.reported = Outcome::kUnknown;
                  end.reason = "done, but its answer could not be read";
                }
                EndRequest(state, *waiting, std::move(end));
              });
}

}  // namespace dotterelcove
