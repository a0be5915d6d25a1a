/// Calls to workers through daemons in the workers' zones. An HTTP call costs
/// the owner some hundred microseconds of processor time, a frame a few, so the
/// owner of a large fleet lets the other daemons make the calls. They keep no
/// state for it: leases, tokens and retries stay with the owner, and a call
/// that a slow daemon makes late is like any late call to a worker.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/Runtime.h"
#include "node/PeerCalls.h"
#include "workflow/Ports.h"

namespace dotterelcove {

/// A daemon that makes calls for the owner.
struct Relay {
  std::string process;
  std::string zone;
  /// Not used before this time, because it left a call unanswered.
  TimeMs avoided_until_ms = 0;
};

/// The owner's view of the relays.
struct WorkerRelays {
  Runtime runtime;
  /// Makes calls from this process.
  workflow::WorkerPort direct;
  /// Sends a call over a connection; `answer` runs once, with null when the
  /// connection is lost or `timeout_ms` has passed.
  std::function<void(uint64_t link, wire::WorkerCallT call, TimeMs timeout_ms,
                     PeerAnswer answer)>
      ask;
  /// False for a small fleet, whose calls the owner makes itself.
  bool enabled = false;
  /// By connection.
  std::map<uint64_t, Relay> relays;
  /// Workers with a sync under way through a relay.
  std::set<std::string> syncing;
};
using WorkerRelaysPtr = std::shared_ptr<WorkerRelays>;

/// The relay for a worker: one in its zone, always the same one as long as the
/// set of relays does not change, so that connections are reused. Returns its
/// connection, 0 for none.
uint64_t ChooseRelay(const WorkerRelays& relays,
                     const workflow::WorkerAddress& worker);

/// A port that makes calls through relays where there are any. A sync that a
/// relay leaves without a result is made again from this process; so is a
/// second sync beside one under way.
workflow::WorkerPort MakeRelayPort(const WorkerRelaysPtr& relays);

/// Makes a call on behalf of the owner.
void MakeRelayedCall(const workflow::WorkerPort& direct,
                     const wire::WorkerCallT& call,
                     const std::function<void(wire::WorkerReplyT)>& done);

}  // namespace dotterelcove
