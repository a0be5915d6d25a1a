/// Routed requests: slot request, grant, run at the endpoint, release, retry.
#pragma once

#include "entry/EntryState.h"

namespace dotterelcove {

/// Asks the owner for a slot, or leaves the request waiting for an owner.
void RequestSlot(EntryState& state, Request& request);

/// A slot was granted: sends the request to the endpoint, or returns the slot
/// when the request no longer needs it.
void OnSlotGrant(EntryState& state, LinkId link, const wire::SlotGrantT& grant);

void OnSlotRefusal(EntryState& state, const wire::SlotRefusalT& refusal);

/// The deadline of a routed request has passed.
void OnRoutedDeadline(EntryState& state, Request& request);

/// Tells the owner that a promised retry will not come, with the outcome that
/// the request ends with.
void ReportRetryAbandoned(EntryState& state, const Request& request,
                          const RequestEnd& end);

/// Tells a new owner of every grant held, then of the releases that the
/// earlier owner may not have received.
void ReportSlots(EntryState& state);

}  // namespace dotterelcove
