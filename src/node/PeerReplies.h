/// Decodes the replies of peers to this daemon's requests. A reply that is
/// missing, of another kind or with a value that this version does not know
/// tells nothing of the outcome.
#pragma once

#include <optional>

#include "node/JobStore.h"
#include "peer/Framing.h"
#include "workflow/Ports.h"

namespace dotterelcove {

/// The outcome of an insert by the owner; `frame` is null for no reply.
JobOutcome ReadJobInsertReply(const wire::FrameT* frame);

/// The phase of a job that the owner knows, nothing otherwise.
std::optional<workflow::JobPhase> ReadJobQueryReply(const wire::FrameT* frame);

workflow::PermitAnswer ReadPermitReply(const wire::FrameT* frame);

}  // namespace dotterelcove
