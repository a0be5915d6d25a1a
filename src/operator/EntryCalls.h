/// Calls to the caller API with failover across the entry daemons.
#pragma once

#include <string>

#include "operator/CtlContext.h"
#include "operator/Options.h"

namespace dotterelcove {

/// The answer of the first entry daemon that gave one.
struct EntryAnswer {
  bool answered = false;
  HttpResult result;
  /// At least one call may have reached a daemon although its answer was lost.
  bool may_have_been_received = false;
};

/// Sends `call`, whose url is a path, to the entry daemons in turn until one
/// answers with a status other than 503. Every call of the caller API can be
/// resent under the same key, see docs/design.md 5.1.
EntryAnswer CallEntries(CtlContext& context, const std::string& what,
                        const HttpCall& call);

/// Prints the answer to a request, or why there is none, and returns the exit
/// code for its outcome.
int ReportOutcome(CtlContext& context, const std::string& key,
                  const EntryAnswer& answer);

/// The exit code for a request's outcome and the HTTP status of the answer.
ExitCode ExitCodeOf(const std::string& outcome, int status);

/// "/v1/requests/<key>", with the key percent-encoded.
std::string RequestPath(const std::string& key);

}  // namespace dotterelcove
