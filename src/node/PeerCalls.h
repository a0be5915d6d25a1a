/// Requests to peers that have not been answered yet.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "dotterelcove/Types.h"
#include "peer/Framing.h"
#include "telemetry/Log.h"

namespace dotterelcove {

/// Runs once, with null if no answer came.
using PeerAnswer = std::function<void(const wire::FrameT*)>;

struct PeerCalls {
  struct Call {
    /// The connection over which the request was sent.
    uint64_t link = 0;
    PeerAnswer answer;
  };
  /// By call number.
  std::map<uint64_t, Call> open_calls;
  uint64_t next_call = 1;
};

/// Registers a request sent over `link`; returns its call number.
inline uint64_t AddCall(PeerCalls& calls, uint64_t link, PeerAnswer answer) {
  const uint64_t call = calls.next_call++;
  calls.open_calls[call] = {link, std::move(answer)};
  return call;
}

/// Ends a request with its answer, or null for none. Does nothing if it has
/// already ended.
inline void EndCall(PeerCalls& calls, uint64_t call,
                    const wire::FrameT* answer) {
  const auto found = calls.open_calls.find(call);
  if (found == calls.open_calls.end()) return;
  const PeerAnswer done = std::move(found->second.answer);
  calls.open_calls.erase(found);
  done(answer);
}

/// Ends a request with a reply that arrived over `link`. Ignores a reply from
/// another peer than the one asked, and one to a request that has already
/// ended.
inline void EndCallWithReply(PeerCalls& calls, uint64_t link, uint64_t call,
                             const wire::FrameT& reply) {
  const auto found = calls.open_calls.find(call);
  if (found == calls.open_calls.end()) return;
  if (found->second.link != link) {
    Log(LogLevel::kWarning, "peer_reply_misdirected", {F("call", call)});
    return;
  }
  EndCall(calls, call, &reply);
}

/// Ends every request sent over a lost connection without an answer.
inline void EndCallsOnLink(PeerCalls& calls, uint64_t link) {
  std::vector<uint64_t> ended;
  for (const auto& [number, call] : calls.open_calls) {
    if (call.link == link) ended.push_back(number);
  }
  for (const uint64_t call : ended) EndCall(calls, call, nullptr);
}

}  // namespace dotterelcove
