/// The caller API of the entry: admission, submitted requests and questions.
#include <charconv>
#include <optional>
#include <utility>

#include "base/Clock.h"
#include "base/Hash.h"
#include "entry/Entry.h"
#include "entry/Placing.h"
#include "entry/Queries.h"
#include "entry/Routing.h"

namespace dotterelcove {
namespace {

/// The owner ends a placed request at its deadline; its message gets this long
/// to arrive, so that the caller learns the outcome rather than "unknown".
constexpr int64_t kOutcomeGraceMs = 250;
constexpr int64_t kRetryAfterMs = 1'000;
constexpr int64_t kMaxWaitMs = 300'000;
constexpr std::string_view kRequestsPath = "/v1/requests";
constexpr std::string_view kResultSuffix = "/result";

void SendFault(const HttpReply& reply, const CallerRequestError& fault,
               const std::string& key = {}) {
  reply.Send(RenderAnswer(MakeErrorAnswer(fault, key)));
}

/// Runs `parse` and answers its CallerRequestError; returns nothing after a
/// fault.
template <class T, class Parse>
std::optional<T> ParseOrAnswer(const HttpReply& reply, Parse parse) {
  return leaf::try_handle_all(
      [&]() -> Result<std::optional<T>> {
        BOOST_LEAF_AUTO(value, parse());
        return std::optional<T>(std::move(value));
      },
      [&](const CallerRequestError& fault) {
        SendFault(reply, fault);
        return std::optional<T>();
      },
      [&] {
        SendFault(reply, {500, "", "request could not be read"});
        return std::optional<T>();
      });
}

void SendRejection(const HttpReply& reply, const std::string& key, int status,
                   std::string reason, int64_t retry_after_ms) {
  CallerAnswer answer;
  answer.outcome = Outcome::kNotRun;
  answer.status = status;
  answer.key = key;
  answer.reason = std::move(reason);
  answer.retry_after_ms = retry_after_ms;
  reply.Send(RenderAnswer(answer));
}

std::string DescribeAdmission(Admission admission) {
  switch (admission) {
    case Admission::kCallerRate:
      return "requests per second of this caller exceeded";
    case Admission::kCallerInProgress:
      return "requests in progress of this caller exceeded";
    case Admission::kProcessInProgress:
      return "requests in progress of this process exceeded";
    case Admission::kAdmitted:
      break;
  }
  return {};
}

int AdmissionStatus(Admission admission) {
  return admission == Admission::kProcessInProgress ? 503 : 429;
}

bool ParseWaitMs(const FieldMap& query, int64_t& wait_ms) {
  const auto found = query.find("wait_ms");
  if (found == query.end()) return true;
  const std::string& text = found->second;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), wait_ms);
  return error == std::errc() && end == text.data() + text.size() &&
         wait_ms >= 0 && wait_ms <= kMaxWaitMs;
}

}  // namespace

bool Entry::Handle(const HttpRequest& request, const HttpReply& reply) {
  if (!request.path.starts_with(kRequestsPath)) return false;
  std::string_view rest = request.path;
  rest.remove_prefix(kRequestsPath.size());
  if (!rest.empty() && !rest.starts_with('/')) return false;
  const auto caller = ParseOrAnswer<std::string>(
      reply, [&] { return ReadCaller(request.headers); });
  if (!caller) return true;
  if (!rest.empty()) {
    this->HandleQuery(request, *caller, reply);
    return true;
  }
  if (request.method != "POST") {
    SendFault(reply, {405, "method", "allowed: POST"});
    return true;
  }
  this->Submit(request, *caller, reply);
  return true;
}

bool Entry::RejectUnlessAdmitted(const AdmissionResult& result,
                                 const std::string& key,
                                 const HttpReply& reply) {
  if (result.admission == Admission::kAdmitted) return false;
  this->state->metrics.Count(
      "sheds_total",
      {{"by", std::string(NameOf(kAdmissionNames, result.admission))}});
  SendRejection(reply, key, AdmissionStatus(result.admission),
                DescribeAdmission(result.admission), result.retry_after_ms);
  return true;
}

void Entry::Submit(const HttpRequest& request, const std::string& caller,
                   const HttpReply& reply) {
  EntryState& entry = *this->state;
  if (entry.config == nullptr || this->refuse_new) {
    entry.metrics.Count("sheds_total", {{"by", "process_state"}});
    SendRejection(reply, {}, 503,
                  this->refuse_new ? "this process is stopping"
                                   : "no configuration is in force yet",
                  kRetryAfterMs);
    return;
  }
  const TimeMs now = MonotonicMs();
  if (this->RejectUnlessAdmitted(
          AdmitRate(entry.limits, *entry.config, caller, now), {}, reply)) {
    return;
  }
  auto spec = ParseOrAnswer<CallerRequest>(reply, [&] {
    return ParseCallerRequest(
        request.body, caller, *entry.config,
        {.max_routed_deadline_ms = entry.options.max_routed_deadline_ms});
  });
  if (!spec) {
    entry.metrics.Count("invalid_requests_total");
    return;
  }
  if (this->RejectUnlessAdmitted(
          AcquireInProgress(entry.limits, *entry.config, caller,
                            spec->request_class, now),
          spec->key, reply)) {
    return;
  }
  Request* same = FindJob(entry, MakeJobId(caller, spec->key));
  if (same != nullptr) {
    this->JoinRequest(*same, *spec, reply);
    return;
  }
  this->StartRequest(std::move(*spec), reply);
}

void Entry::JoinRequest(Request& request, const CallerRequest& spec,
                        const HttpReply& reply) {
  if (request.digest != DigestOf(spec) || request.spec.mode != spec.mode) {
    ReleaseInProgress(this->state->limits, spec.caller);
    SendFault(reply,
              {409, "key",
               "key is in use with another body or mode; allowed: the same "
               "body and mode, or another key"},
              spec.key);
    return;
  }
  request.waiters.push_back(reply);
  request.admitted.push_back(spec.caller);
}

void Entry::StartRequest(CallerRequest spec, const HttpReply& reply) {
  EntryState& entry = *this->state;
  const TimeMs now = MonotonicMs();
  auto created = std::make_unique<Request>();
  Request& request = *created;
  request.call = entry.next_call++;
  request.job = MakeJobId(spec.caller, spec.key);
  request.digest = DigestOf(spec);
  request.received_us = MonotonicUs();
  request.waiters.push_back(reply);
  request.admitted.push_back(spec.caller);
  request.spec = std::move(spec);
  const bool routed = request.spec.delivery == Delivery::kRoute;
  if (request.spec.deadline_ms > 0) {
    request.deadline_ms = now + request.spec.deadline_ms;
    request.deadline_timer = std::make_unique<Timer>(
        entry.loop, [&entry, call = request.call, routed] {
          Request* late = FindCall(entry, call);
          if (late == nullptr) return;
          if (routed) OnRoutedDeadline(entry, *late);
          if (!routed) OnPlacedDeadline(entry, *late);
        });
    request.deadline_timer->StartAfter(request.spec.deadline_ms +
                                       (routed ? 0 : kOutcomeGraceMs));
  }
  AddRequestEvent(entry, "received", request,
                  request.spec.service + "/" + request.spec.kind);
  RecordRequest(entry.budget, request.spec.caller, request.spec.service, now);
  entry.by_job[request.job] = request.call;
  entry.requests[request.call] = std::move(created);
  if (routed) {
    RequestSlot(entry, request);
    return;
  }
  SubmitToOwner(entry, request);
}

void Entry::HandleQuery(const HttpRequest& request, const std::string& caller,
                        const HttpReply& reply) {
  EntryState& entry = *this->state;
  std::string key = request.path.substr(kRequestsPath.size() + 1);
  QueryOptions options;
  options.cancel = request.method == "DELETE";
  if (key.ends_with(kResultSuffix)) {
    options.raw = true;
    key.resize(key.size() - kResultSuffix.size());
  }
  CallerRequestError fault;
  if (!IsValidKey(key)) {
    fault = {400, "key",
             "not a key; allowed: 1 to 256 of A-Z a-z 0-9 . _ : ~ @ -"};
  } else if (request.method != "GET" && (!options.cancel || options.raw)) {
    fault = {405, "method",
             options.raw ? "allowed: GET" : "allowed: GET, DELETE"};
  } else if (!ParseWaitMs(request.query, options.wait_ms)) {
    fault = {400, "wait_ms",
             "allowed: an integer from 0 to " + std::to_string(kMaxWaitMs)};
  }
  CallerAnswer answer;
  if (!fault.message.empty()) {
    answer = MakeErrorAnswer(fault, IsValidKey(key) ? key : "");
    // The fault is the question's; it says nothing about the request.
    answer.outcome.reset();
    reply.Send(RenderAnswer(answer));
    return;
  }
  const CellConfig none;
  const AdmissionResult admitted = AdmitRate(
      entry.limits, entry.config ? *entry.config : none, caller, MonotonicMs());
  if (admitted.admission != Admission::kAdmitted) {
    answer.outcome.reset();
    answer.status = AdmissionStatus(admitted.admission);
    answer.key = key;
    answer.reason = DescribeAdmission(admitted.admission);
    answer.retry_after_ms = admitted.retry_after_ms;
    reply.Send(RenderAnswer(answer));
    return;
  }
  if (options.cancel && CancelRouted(entry, caller, key, reply)) return;
  StartQuery(entry, caller, key, options, reply);
}

}  // namespace dotterelcove
