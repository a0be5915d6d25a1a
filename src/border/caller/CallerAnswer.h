/// The caller API's answer format. docs/api.md describes each field and status.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "border/caller/CallerRequest.h"
#include "dotterelcove/Types.h"
#include "http/HttpServer.h"

namespace dotterelcove {

/// Answer to one caller request. Empty fields are omitted from the JSON.
struct CallerAnswer {
  /// Absent when a status query could not be answered: such an answer says
  /// nothing about the request's outcome.
  std::optional<Outcome> outcome = Outcome::kUnknown;
  int status = 200;
  std::string key;
  /// Complete result; rendered for `kDone` only.
  std::string body;
  std::string worker;
  std::string endpoint;
  /// Stage of a request in progress.
  std::string state;
  std::string reason;
  /// Invalid field of a rejected request.
  std::string field;
  int64_t retry_after_ms = 0;
};

/// Renders JSON, with a Retry-After header when `retry_after_ms` is set.
HttpResponse RenderAnswer(const CallerAnswer& answer);

/// Renders the result as the raw body for `kDone`, otherwise JSON.
HttpResponse RenderRawAnswer(const CallerAnswer& answer);

/// The outcome is not_run: nothing is sent for a request that fails validation.
CallerAnswer MakeErrorAnswer(const CallerRequestError& fault,
                             const std::string& key);

}  // namespace dotterelcove
