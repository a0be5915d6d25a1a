/// Workers that fail what succeeds elsewhere get no new tasks for a while.
#pragma once

#include "core/Tables.h"

namespace dotterelcove::core {

/// Counts a failed attempt against the worker, unless the job failed on
/// another worker too; then the job is at fault and the earlier count is taken
/// back.
void CountFailure(Cell& cell, JobIndex job, WorkerIndex worker, TimeMs now);
void CountSuccess(Cell& cell, WorkerIndex worker);

}  // namespace dotterelcove::core
