/// The caller API's answer format. docs/api.md describes each field and status.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "border/caller/CallerRequest.h"
#include "dotterelcove/Types.h"
#include "http/HttpServer.h"

namespace dotterelcove {

/// What a caller is told. Empty fields are left out of the JSON.
struct CallerAnswer {
  /// Absent in an answer about a question that could not be answered: it says
  /// nothing about the request.
  std::optional<Outcome> outcome = Outcome::kUnknown;
  int status = 200;
  std::string key;
  /// The whole answer; written for `kDone` only.
  std::string body;
  std::string worker;
  std::string endpoint;
  /// Stage of a request in progress.
  std::string state;
  std::string reason;
  /// The field at fault of a refused request.
  std::string field;
  int64_t retry_after_ms = 0;
};

/// JSON answer, with a Retry-After header when there is a time to wait.
HttpResponse RenderAnswer(const CallerAnswer& answer);

/// The answer itself as a raw body for `kDone`, else the JSON form.
HttpResponse RenderRawAnswer(const CallerAnswer& answer);

/// Nothing was sent for a request with this fault, so its outcome is not_run.
CallerAnswer MakeErrorAnswer(const CallerRequestError& fault,
                             const std::string& key);

}  // namespace dotterelcove
