/// Questions about a key: status, result and cancellation.
#pragma once

#include "entry/EntryState.h"

namespace dotterelcove {

/// What a caller asks about a key.
struct QueryOptions {
  bool cancel = false;
  bool raw = false;
  /// Time to wait for the final outcome, 0 for none.
  int64_t wait_ms = 0;
};

/// Asks the owner; the caller is answered when the owner has, or with 503 when
/// none answers in time.
void StartQuery(EntryState& state, const std::string& caller,
                const std::string& key, QueryOptions options, HttpReply reply);

/// Sends a query to the owner, again after a change of owner.
void SendQuery(EntryState& state, const Query& query);

/// Cancels a routed request of this process, which no owner can do for it.
/// Returns false when there is none with this key.
bool CancelRouted(EntryState& state, const std::string& caller,
                  const std::string& key, const HttpReply& reply);

/// Answers a query with 503, since the owner has not answered it.
void EndQuery(EntryState& state, uint64_t call, const std::string& reason);

void OnStatusReply(EntryState& state, wire::StatusReplyT& reply);
void OnCancelReply(EntryState& state, const wire::CancelReplyT& reply);

}  // namespace dotterelcove
