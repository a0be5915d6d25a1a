/// Admission control: refuses jobs that can never run and jobs beyond the queue
/// limits.
#pragma once

#include "core/Tables.h"

namespace dotterelcove::core {

/// Checks the job against the capacity of all workers, whatever their state.
SubmitDecision CheckCanEverRun(const Cell& cell, const JobSpec& spec);
/// Checks the queue lengths: lower classes are refused at shorter queues. May
/// shed a batch job that never started to make room for a higher class.
SubmitDecision CheckLoad(Cell& cell, const JobSpec& spec);

/// Returns the sort key of the job within its queue; lower goes first.
int64_t OrderOf(const Cell& cell, const JobSpec& spec, TimeMs now);

}  // namespace dotterelcove::core
