#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "border/caller/CallerAnswer.h"
#include "border/caller/CallerRequest.h"
#include "http/HttpServer.h"
#include "loop/EventLoop.h"
#include "peer/PeerNode.h"

namespace dotterelcove {

/// Phase of a request. A routed request holds no slot in the first three.
enum class Phase : uint8_t {
  /// No owner is connected; the message is sent when there is one.
  kWaitingOwner,
  /// SlotRequest sent.
  kWaitingSlot,
  /// A retry waits for its backoff delay.
  kBackingOff,
  /// Sent to an endpoint under a grant.
  kRunning,
  /// Submit sent, no reply yet.
  kSubmitted,
  /// The owner has accepted the job; its Outcome follows.
  kAccepted,
  /// The same key is in progress at another entry process; its Outcome follows.
  kDuplicate,
  /// The outcome is known; the answer is being read from the object store.
  kFetching,
};
inline constexpr auto kPhaseNames =
    MakeNameTable<Phase>({{Phase::kWaitingOwner, "waiting_owner"},
                          {Phase::kWaitingSlot, "waiting_slot"},
                          {Phase::kBackingOff, "backing_off"},
                          {Phase::kRunning, "running"},
                          {Phase::kSubmitted, "submitted"},
                          {Phase::kAccepted, "accepted"},
                          {Phase::kDuplicate, "duplicate"},
                          {Phase::kFetching, "fetching"}});

/// An endpoint slot that the owner granted to this process.
struct HeldGrant {
  uint64_t grant = 0;
  uint64_t epoch = 0;
  std::string endpoint;
  std::string address;
};

/// One request in progress. Callers that send the same key and body to this
/// process while it is in progress share it.
struct Request {
  uint64_t call = 0;
  std::string job;
  std::string digest;
  CallerRequest spec;
  /// Monotonic; 0 for none.
  TimeMs deadline_ms = 0;
  int64_t received_us = 0;
  Phase phase = Phase::kWaitingOwner;
  std::vector<HttpReply> waiters;
  /// Callers counted by AcquireInProgress(), one for each waiter.
  std::vector<std::string> admitted;
  /// Set before sending anything that could make the work run, cleared only on
  /// proof that it did not run. While set, "not_run" is never answered.
  bool may_have_run = false;
  /// Value of `may_have_run` before the current run, here or at the process
  /// that a duplicate waits for; restored when that run certainly did not
  /// happen.
  bool may_have_run_before = false;
  /// Links of the owners that were sent a Submit and have not refused it.
  std::set<LinkId> submitted_links;
  HeldGrant grant;
  int attempts = 0;
  /// The last release announced to the owner that a retry follows.
  bool retry_announced = false;
  std::unique_ptr<Timer> deadline_timer;
  std::unique_ptr<Timer> retry_timer;
};

/// Why a request ends.
enum class EndCause : uint8_t {
  /// A complete answer from the endpoint, or an Outcome from the owner.
  kAnswered,
  /// The owner recorded an asynchronous request.
  kRecorded,
  /// Ended without a result, with no further attempts. The outcome depends on
  /// whether anything was sent that may have run.
  kGivenUp,
};

struct RequestEnd {
  EndCause cause = EndCause::kGivenUp;
  /// `kAnswered`: the outcome that the owner or the endpoint reported.
  Outcome reported = Outcome::kUnknown;
  /// HTTP status for an outcome other than `kDone`; 0 for DefaultStatus().
  int status = 0;
  std::string body;
  std::string worker;
  std::string endpoint;
  std::string reason;
  std::string field;
  int64_t retry_after_ms = 0;
};

/// Returns the outcome of a request. No other code decides it.
Outcome DecideOutcome(const Request& request, const RequestEnd& end);

/// Returns the answer for the caller, with the outcome of DecideOutcome().
CallerAnswer MakeAnswer(const Request& request, RequestEnd end);

/// Converts the outcome in a message; a value that is not final, which only a
/// faulty sender gives, becomes `kUnknown`.
Outcome ReportedOutcome(uint8_t value);

/// The HTTP status of an outcome for which no other status was given.
int DefaultStatus(Outcome outcome);

}  // namespace dotterelcove
