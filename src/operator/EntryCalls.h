/// Calls to the caller API, tried at one entry daemon after another.
#pragma once

#include <string>

#include "operator/CtlContext.h"
#include "operator/Options.h"

namespace dotterelcove {

/// The answer of the first entry daemon that gave one.
struct EntryAnswer {
  bool answered = false;
  HttpResult result;
  /// Some call may have reached a daemon although its answer was lost.
  bool may_have_been_received = false;
};

/// Sends `call`, whose url is a path, to the entry daemons in turn until one
/// answers with something else than 503. Every call of the caller API may be
/// sent again under the same key, see docs/design.md 5.1.
EntryAnswer CallEntries(CtlContext& context, const std::string& what,
                        const HttpCall& call);

/// Prints the answer to a request and returns the exit code for its outcome.
int ReportOutcome(CtlContext& context, const std::string& key,
                  const EntryAnswer& answer);

/// The exit code for a request's outcome under an HTTP status.
ExitCode ExitCodeOf(const std::string& outcome, int status);

/// "/v1/requests/<key>", escaped.
std::string RequestPath(const std::string& key);

}  // namespace dotterelcove
