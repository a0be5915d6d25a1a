/// Workers that fail what succeeds elsewhere get no new tasks for a while.
#pragma once

#include "core/Tables.h"

namespace dotterelcove::core {

/// Counts a failed attempt against the worker, unless the job or its workload
/// is at fault: it also failed on a worker where others succeed.
void CountFailure(Cell& cell, JobIndex job, WorkerIndex worker, TimeMs now);
void CountSuccess(Cell& cell, JobIndex job, WorkerIndex worker);

}  // namespace dotterelcove::core
