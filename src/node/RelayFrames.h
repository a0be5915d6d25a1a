/// Conversion of calls to workers, and of their answers, to frames between
/// daemons.
#pragma once

#include "peer/Framing.h"
#include "workflow/Ports.h"

namespace dotterelcove {

/// An unknown status tells nothing of the outcome.
workflow::OrderStatus DecodeStatus(uint8_t status);
/// Null for no reply: the outcome is unknown.
workflow::OrderAnswer DecodeOrderAnswer(const wire::WorkerReplyT* reply);
workflow::SyncAnswer DecodeSyncAnswer(const wire::WorkerReplyT& reply);
wire::WorkerReplyT EncodeSyncAnswer(const workflow::SyncAnswer& answer);

wire::WorkerCallT EncodeStart(const workflow::WorkerAddress& worker,
                              const workflow::StartOrder& order);
wire::WorkerCallT EncodeStop(const workflow::WorkerAddress& worker,
                             const workflow::StopOrder& order);
wire::WorkerCallT EncodePace(const workflow::WorkerAddress& worker,
                             const workflow::PaceOrder& order);
wire::WorkerCallT EncodeSync(const workflow::WorkerAddress& worker,
                             const workflow::SyncOrder& order);

/// The reply in a frame, null for none.
const wire::WorkerReplyT* ReplyIn(const wire::FrameT* frame);

}  // namespace dotterelcove
