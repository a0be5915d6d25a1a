/// Placed requests: Submit to the owner, then its reply and the outcome.
#pragma once

#include "entry/EntryState.h"

namespace dotterelcove {

/// Sends the Submit of a placed request, or leaves it waiting for an owner.
void SubmitToOwner(EntryState& state, Request& request);

void OnSubmitReply(EntryState& state, LinkId link,
                   const wire::SubmitReplyT& reply);

/// The end of a placed request or of a duplicate of a routed one.
void OnOutcome(EntryState& state, LinkId link, wire::OutcomeT& outcome);

/// The deadline of a placed request has passed without an outcome.
void OnPlacedDeadline(EntryState& state, Request& request);

}  // namespace dotterelcove
