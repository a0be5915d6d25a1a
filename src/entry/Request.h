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

/// Where a request stands. The first three phases of a routed request hold no
/// slot.
enum class Phase : uint8_t {
  /// No owner is known; the message to it waits.
  kWaitingOwner,
  /// SlotRequest sent.
  kWaitingSlot,
  /// A retry waits for its back-off to pass.
  kBackingOff,
  /// The request is at an endpoint, under a grant.
  kRunning,
  /// Submit sent, no reply yet.
  kSubmitted,
  /// The owner has accepted; its Outcome follows.
  kAccepted,
  /// The same key runs at another entry process; its Outcome follows.
  kDuplicate,
  /// The outcome is known; its answer is read from the object store.
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

/// A slot of an endpoint that the owner granted to this process.
struct HeldGrant {
  uint64_t grant = 0;
  uint64_t epoch = 0;
  std::string endpoint;
  std::string address;
};

/// One held-open request. Callers that send the same key and body to this
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
  /// Callers counted as in progress, one for each waiter.
  std::vector<std::string> admitted;
  /// Set before anything is sent that could make the work run, cleared only by
  /// proof that it did not. With it set, "not_run" is never answered.
  bool may_have_run = false;
  /// The same as it was before the run in progress here, or at the process
  /// that a duplicate waits for, to which it returns when that run certainly
  /// did not happen.
  bool may_have_run_before = false;
  /// Links of the owners to which a Submit went that was not refused.
  std::set<LinkId> submitted_links;
  HeldGrant grant;
  int attempts = 0;
  /// A release told the owner that this process will ask again.
  bool retry_announced = false;
  std::unique_ptr<Timer> deadline_timer;
  std::unique_ptr<Timer> retry_timer;
};

/// Why a request ends.
enum class EndCause : uint8_t {
  /// A whole answer from the endpoint, or an Outcome from the owner.
  kAnswered,
  /// The owner recorded an asynchronous request.
  kRecorded,
  /// Nothing more will be sent; whether anything ran depends on what was sent.
  kGivenUp,
};

struct RequestEnd {
  EndCause cause = EndCause::kGivenUp;
  /// `kAnswered`: the outcome that the owner or the endpoint reported.
  Outcome reported = Outcome::kUnknown;
  /// Status for an answer that is not `kDone`; 0 for the usual one.
  int status = 0;
  std::string body;
  std::string worker;
  std::string endpoint;
  std::string reason;
  std::string field;
  int64_t retry_after_ms = 0;
};

/// The one place where the outcome of a held-open request is decided.
Outcome DecideOutcome(const Request& request, const RequestEnd& end);

/// The answer for the caller that goes with DecideOutcome().
CallerAnswer MakeAnswer(const Request& request, RequestEnd end);

/// The final outcome with this number in a message; any other number, which
/// only a faulty sender gives, is read as `kUnknown`.
Outcome ReportedOutcome(uint8_t value);

/// The HTTP status that goes with an outcome when nothing more is known.
int DefaultStatus(Outcome outcome);

}  // namespace dotterelcove
