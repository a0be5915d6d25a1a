#include "entry/Queries.h"

#include <utility>

#include "base/Hash.h"
#include "http/HttpStatus.h"

namespace dotterelcove {
namespace {

/// A query without waiting gets an answer in one round trip; this covers a
/// change of owner (docs/design.md 1.7: 2.1 s).
constexpr int64_t kQueryLimitMs = 3'000;
constexpr int64_t kRetryAfterMs = 1'000;

void AnswerQuery(EntryState& state, uint64_t call, const CallerAnswer& answer) {
  const auto found = state.queries.find(call);
  if (found == state.queries.end()) return;
  const std::unique_ptr<Query> query = std::move(found->second);
  state.queries.erase(found);
  query->reply.Send(query->raw ? RenderRawAnswer(answer)
                               : RenderAnswer(answer));
}

Query* FindQuery(EntryState& state, uint64_t call) {
  const auto found = state.queries.find(call);
  return found == state.queries.end() ? nullptr : found->second.get();
}

void OnQueryDeadline(EntryState& state, uint64_t call) {
  const Query* query = FindQuery(state, call);
  if (query == nullptr) return;
  EndQuery(state, call,
           query->wait ? "no final outcome within wait_ms"
                       : "no scheduler answered in time");
}

/// Status of an answer to GET: the query itself succeeded, except that the raw
/// form has nothing to give without an answer.
int QueryStatus(const Query& query, Outcome outcome) {
  const bool plain = !query.raw && !query.cancel_accepted;
  if (plain || outcome == Outcome::kDone) return 200;
  if (query.cancel_accepted) return outcome == Outcome::kAccepted ? 202 : 200;
  return outcome == Outcome::kAccepted ? http_status::kAccepted
                                       : http_status::kConflict;
}

}  // namespace

bool CancelRouted(EntryState& state, const std::string& caller,
                  const std::string& key, const HttpReply& reply) {
  Request* request = FindJob(state, MakeJobId(caller, key));
  if (request == nullptr || request->spec.delivery != Delivery::kRoute) {
    return false;
  }
  CallerAnswer answer;
  answer.key = key;
  if (request->phase == Phase::kRunning || request->may_have_run) {
    answer.outcome = Outcome::kAccepted;
    answer.status = http_status::kConflict;
    answer.state = NameOf(kPhaseNames, request->phase);
    answer.reason = "a routed request that was sent cannot be cancelled";
    reply.Send(RenderAnswer(answer));
    return true;
  }
  RequestEnd end;
  end.reason = "cancelled by the caller";
  answer.outcome = Outcome::kNotRun;
  answer.reason = end.reason;
  EndRequest(state, *request, std::move(end));
  reply.Send(RenderAnswer(answer));
  return true;
}

void EndQuery(EntryState& state, uint64_t call, const std::string& reason) {
  const Query* query = FindQuery(state, call);
  if (query == nullptr) return;
  CallerAnswer answer;
  answer.outcome.reset();
  answer.key = query->key;
  answer.status = http_status::kServiceUnavailable;
  answer.retry_after_ms = kRetryAfterMs;
  answer.reason = reason;
  if (query->cancel) answer.reason += "; the cancellation may take effect";
  AnswerQuery(state, call, answer);
}

void StartQuery(EntryState& state, const std::string& caller,
                const std::string& key, QueryOptions options, HttpReply reply) {
  const uint64_t call = state.next_call++;
  auto query = std::make_unique<Query>(
      Query{.call = call,
            .caller = caller,
            .key = key,
            .cancel = options.cancel,
            .wait = options.wait_ms > 0,
            .raw = options.raw,
            .reply = std::move(reply),
            .deadline_timer = std::make_unique<Timer>(
                state.loop, [&state, call] { OnQueryDeadline(state, call); })});
  query->deadline_timer->StartAfter(options.wait_ms > 0 ? options.wait_ms
                                                        : kQueryLimitMs);
  SendQuery(state, *query);
  state.queries[call] = std::move(query);
}

void SendQuery(EntryState& state, const Query& query) {
  if (query.cancel) {
    wire::CancelT cancel;
    cancel.call = query.call;
    cancel.caller = query.caller;
    cancel.key = query.key;
    SendToOwner(state, std::move(cancel));
    return;
  }
  wire::StatusQueryT status;
  status.call = query.call;
  status.caller = query.caller;
  status.key = query.key;
  status.wait = query.wait;
  SendToOwner(state, std::move(status));
}

void OnStatusReply(EntryState& state, wire::StatusReplyT& reply) {
  Query* query = FindQuery(state, reply.call);
  if (query == nullptr || query->cancel) return;
  CallerAnswer answer;
  answer.key = query->key;
  const Request* local = FindJob(state, MakeJobId(query->caller, query->key));
  if (!reply.found && local != nullptr) {
    // An owner that took over a moment ago may not know the request yet.
    answer.outcome = Outcome::kAccepted;
    answer.state = NameOf(kPhaseNames, local->phase);
    answer.status = QueryStatus(*query, *answer.outcome);
    AnswerQuery(state, reply.call, answer);
    return;
  }
  if (!reply.found) {
    answer.status = http_status::kNotFound;
    answer.reason = "no request with this key is known";
    AnswerQuery(state, reply.call, answer);
    return;
  }
  const auto reported = static_cast<Outcome>(reply.outcome);
  answer.outcome = reported == Outcome::kAccepted
                       ? Outcome::kAccepted
                       : ReportedOutcome(reply.outcome);
  answer.status = QueryStatus(*query, *answer.outcome);
  answer.state = reply.state;
  answer.reason = reply.detail;
  answer.worker = reply.worker;
  answer.body.assign(reply.body.begin(), reply.body.end());
  if (answer.outcome != Outcome::kDone || reply.object.empty()) {
    AnswerQuery(state, reply.call, answer);
    return;
  }
  query->deadline_timer.reset();
  FetchAnswer(state, reply.object, 0,
              [&state, call = reply.call, answer](bool read,
                                                  std::string content) mutable {
                answer.body = std::move(content);
                if (!read) {
                  answer.outcome.reset();
                  answer.status = http_status::kServiceUnavailable;
                  answer.retry_after_ms = kRetryAfterMs;
                  answer.reason = "done, but its answer could not be read";
                }
                AnswerQuery(state, call, answer);
              });
}

void OnCancelReply(EntryState& state, const wire::CancelReplyT& reply) {
  Query* query = FindQuery(state, reply.call);
  if (query == nullptr || !query->cancel) return;
  if (reply.found) {
    // The cancellation has been taken; the caller is told what became of the
    // request.
    query->cancel = false;
    query->cancel_accepted = true;
    SendQuery(state, *query);
    return;
  }
  CallerAnswer answer;
  answer.key = query->key;
  answer.status = http_status::kNotFound;
  answer.reason = reply.message.empty() ? "no request with this key is known"
                                        : reply.message;
  AnswerQuery(state, reply.call, answer);
}

}  // namespace dotterelcove
