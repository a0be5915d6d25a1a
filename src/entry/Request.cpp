#include "entry/Request.h"

#include <utility>

namespace dotterelcove {

Outcome DecideOutcome(const Request& request, const RequestEnd& end) {
  switch (end.cause) {
    case EndCause::kAnswered:
      if (end.reported != Outcome::kNotRun) return end.reported;
      break;
    case EndCause::kRecorded:
      return Outcome::kAccepted;
    case EndCause::kGivenUp:
      break;
  }
  return request.may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
}

Outcome ReportedOutcome(uint8_t value) {
  const auto outcome = static_cast<Outcome>(value);
  const bool final = outcome == Outcome::kDone || outcome == Outcome::kNotRun;
  return final ? outcome : Outcome::kUnknown;
}

int DefaultStatus(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return 200;
    case Outcome::kAccepted:
      return 202;
    case Outcome::kNotRun:
      return 503;
    case Outcome::kUnknown:
      break;
  }
  return 504;
}

CallerAnswer MakeAnswer(const Request& request, RequestEnd end) {
  CallerAnswer answer;
  answer.outcome = DecideOutcome(request, end);
  answer.key = request.spec.key;
  answer.body = std::move(end.body);
  answer.worker = std::move(end.worker);
  answer.endpoint = std::move(end.endpoint);
  answer.reason = std::move(end.reason);
  answer.field = std::move(end.field);
  answer.retry_after_ms = end.retry_after_ms;
  answer.status = DefaultStatus(*answer.outcome);
  // A status below 500 claims "not_run" and is invalid if the work may have
  // run.
  const bool fits = end.cause != EndCause::kGivenUp ||
                    answer.outcome == Outcome::kNotRun || end.status >= 500;
  if (end.status != 0 && fits && answer.outcome != Outcome::kDone) {
    answer.status = end.status;
  }
  if (answer.outcome == Outcome::kUnknown) {
    answer.reason += answer.reason.empty() ? "" : "; ";
    answer.reason += "ask again: GET /v1/requests/" + request.spec.key;
  }
  return answer;
}

}  // namespace dotterelcove
