/// The scheduler daemon's HTTP interface for operators, see docs/design.md 5.1.
#pragma once

#include "border/operator/OperatorApi.h"
#include "http/HttpServer.h"
#include "scheduler/Scheduler.h"

namespace dotterelcove {

/// Context of this daemon for the operator routes common to all daemons. The
/// scheduler must outlive the context.
OperatorContext MakeOperatorContext(Scheduler& scheduler, Metrics& metrics,
                                    EventRing& events);

/// Answers every HTTP request to the daemon.
void HandleSchedulerRequest(const OperatorContext& context,
                            Scheduler& scheduler, const HttpRequest& request,
                            const HttpReply& reply);

}  // namespace dotterelcove
