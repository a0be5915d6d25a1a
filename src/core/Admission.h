/// What is accepted: jobs that could run some day, within the queue limits.
#pragma once

#include "core/Tables.h"

namespace dotterelcove::core {

/// Checks the job against the capacity of all workers, whatever their state.
SubmitDecision CheckCanEverRun(const Cell& cell, const JobSpec& spec);
/// Checks the queue lengths: the lowest class is refused first and early. May
/// mark the newest batch job as shed to make room for a higher class.
SubmitDecision CheckLoad(Cell& cell, const JobSpec& spec);

/// Position of the job within its queue.
int64_t OrderOf(const Cell& cell, const JobSpec& spec, TimeMs now);

}  // namespace dotterelcove::core
