/// Quarantine: a worker on which tasks fail that succeed elsewhere gets no new
/// tasks until a probe task succeeds.
#pragma once

#include "core/Tables.h"

namespace dotterelcove::core {

/// Counts a failed attempt against the worker, unless the job or its workload
/// is at fault: it has also failed on a worker on which others succeed.
void CountFailure(Cell& cell, JobIndex job, WorkerIndex worker, TimeMs now);
/// Resets the failures of the worker and ends its quarantine.
void CountSuccess(Cell& cell, JobIndex job, WorkerIndex worker);

}  // namespace dotterelcove::core
