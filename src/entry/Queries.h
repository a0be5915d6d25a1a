/// Queries by key: status, result and cancellation.
#pragma once

#include "entry/EntryState.h"

namespace dotterelcove {

/// Options of a query by key.
struct QueryOptions {
  bool cancel = false;
  bool raw = false;
  /// Time in ms to wait for the final outcome; 0 returns the current state.
  int64_t wait_ms = 0;
};

/// Sends a query to the owner. The caller gets the owner's reply, or 503 when
/// no owner replies in time.
void StartQuery(EntryState& state, const std::string& caller,
                const std::string& key, QueryOptions options, HttpReply reply);

/// Sends a query to the owner; also called after a change of owner.
void SendQuery(EntryState& state, const Query& query);

/// Cancels a routed request of this process; the owner cannot, since the entry
/// runs it. Returns false when there is none with this key.
bool CancelRouted(EntryState& state, const std::string& caller,
                  const std::string& key, const HttpReply& reply);

/// Answers a query that the owner has not answered with 503.
void EndQuery(EntryState& state, uint64_t call, const std::string& reason);

void OnStatusReply(EntryState& state, wire::StatusReplyT& reply);
void OnCancelReply(EntryState& state, const wire::CancelReplyT& reply);

}  // namespace dotterelcove
