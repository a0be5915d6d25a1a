/// Placed requests: the Submit to the owner, its reply and the outcome.
#pragma once

#include "entry/EntryState.h"

namespace dotterelcove {

/// Sends the Submit of a placed request, or lets the request wait until an
/// owner is connected.
void SubmitToOwner(EntryState& state, Request& request);

void OnSubmitReply(EntryState& state, LinkId link,
                   const wire::SubmitReplyT& reply);

/// Ends a placed request, or a routed one that waits for the same key at
/// another entry process.
void OnOutcome(EntryState& state, LinkId link, wire::OutcomeT& outcome);

/// Ends a placed request whose deadline has passed without an outcome.
void OnPlacedDeadline(EntryState& state, Request& request);

}  // namespace dotterelcove
