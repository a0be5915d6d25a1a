#include "border/endpoint/EndpointClient.h"

#include <algorithm>
#include <utility>

#include "base/Clock.h"
#include "http/HttpStatus.h"

namespace dotterelcove {
namespace {

/// Subtracted from the deadline that is sent to the endpoint, so that it has
/// stopped by the time the slot is released.
constexpr TimeMs kDeadlineMarginMs = 20;

EndpointResult ToEndpointResult(HttpResult answer, int64_t started_us,
                                TimeMs deadline_ms) {
  EndpointResult result;
  result.latency_us = MonotonicUs() - started_us;
  result.detail = answer.detail;
  const auto state = answer.headers.find("x-endpoint-state");
  result.leaving = state != answer.headers.end() && state->second == "leaving";
  if (answer.failure == HttpFailure::kNotSent) {
    result.status = RunStatus::kNotSent;
    // After the deadline the cause may be this process, for example a pause.
    result.unreachable = MonotonicMs() < deadline_ms;
    return result;
  }
  if (answer.failure != HttpFailure::kNone) {
    result.status = RunStatus::kUnknown;
    if (result.detail.empty()) {
      result.detail = NameOf(kHttpFailureNames, answer.failure);
    }
    return result;
  }
  result.body = std::move(answer.body);
  if (answer.status == http_status::kOk) {
    result.status = RunStatus::kDone;
    return result;
  }
  result.status = answer.status == http_status::kServiceUnavailable
                      ? RunStatus::kRefused
                      : RunStatus::kFailed;
  result.detail = "endpoint answered status " + std::to_string(answer.status);
  return result;
}

}  // namespace

uint64_t RunOnEndpoint(const EndpointClient& client, const EndpointRun& run,
                       std::function<void(EndpointResult)> done) {
  // Checked right before sending: the process may have been paused since the
  // grant arrived.
  const TimeMs remaining_ms = run.deadline_ms - MonotonicMs();
  if (remaining_ms <= 0) {
    EndpointResult result;
    result.status = RunStatus::kNotSent;
    result.detail = "deadline passed before the send";
    done(std::move(result));
    return 0;
  }
  HttpCall call;
  call.method = "POST";
  call.url = run.address + "/run";
  call.headers = {{"X-Request-Id", run.request_id},
                  {"X-Deadline-Ms", std::to_string(std::max<TimeMs>(
                                        1, remaining_ms - kDeadlineMarginMs))},
                  {"Content-Type", "application/octet-stream"}};
  call.body = run.payload;
  call.timeout_ms = remaining_ms;
  call.connect_timeout_ms = std::min(client.connect_timeout_ms, remaining_ms);
  call.max_response_bytes = client.max_answer_bytes;
  call.fresh_connection = !run.idempotent;
  const int64_t started_us = MonotonicUs();
  return client.http.Send(
      std::move(call), [started_us, deadline_ms = run.deadline_ms,
                        done = std::move(done)](HttpResult answer) {
        done(ToEndpointResult(std::move(answer), started_us, deadline_ms));
      });
}

}  // namespace dotterelcove
