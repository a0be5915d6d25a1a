/// Baseline schedulers: first come, first served (FCFS) with first fit or best
/// fit.
#pragma once

#include "bench/Simulation.h"

namespace dotterelcove::bench {

/// How a worker is chosen among those with room for a task. Best fit takes the
/// worker with the fewest free cores.
enum class FitRule : uint8_t { kFirstFit, kBestFit };
/// Whether a job that does not fit blocks the jobs queued behind it or is
/// skipped.
enum class HeadOfLine : uint8_t { kBlocks, kIsSkipped };

/// Creates an FCFS scheduler over the workers. It admits every job, ignores
/// usage reports and worker state changes, and starts all tasks of a job at
/// once or none.
Scheduler MakeFcfsScheduler(const std::vector<core::WorkerSpec>& workers,
                            FitRule rule, HeadOfLine head_of_line);

}  // namespace dotterelcove::bench
