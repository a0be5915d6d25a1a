/// Routed requests: slot request, grant, endpoint call, slot release, retry.
#pragma once

#include "entry/EntryState.h"

namespace dotterelcove {

/// Requests a slot from the owner, or lets the request wait until an owner is
/// connected.
void RequestSlot(EntryState& state, Request& request);

/// Sends the request to the endpoint of the granted slot, or releases the slot
/// when the request no longer needs it.
void OnSlotGrant(EntryState& state, LinkId link, const wire::SlotGrantT& grant);

void OnSlotRefusal(EntryState& state, const wire::SlotRefusalT& refusal);

/// Ends a routed request whose deadline has passed, unless it is running.
void OnRoutedDeadline(EntryState& state, Request& request);

/// Tells the owner that an announced retry will not follow, and the final
/// outcome of the request. Does nothing if no retry was announced.
void ReportRetryAbandoned(EntryState& state, const Request& request,
                          const RequestEnd& end);

/// Reports every held grant to a new owner, then resends the releases that the
/// previous owner may not have processed.
void ReportSlots(EntryState& state);

}  // namespace dotterelcove
