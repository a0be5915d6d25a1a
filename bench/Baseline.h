/// Baseline schedulers: first come first served with first fit or best fit.
#pragma once

#include "bench/Simulation.h"

namespace dotterelcove::bench {

enum class FitRule : uint8_t { kFirstFit, kBestFit };
/// What happens to the jobs behind one that does not fit.
enum class HeadOfLine : uint8_t { kBlocks, kIsSkipped };

Scheduler MakeFcfsScheduler(const std::vector<core::WorkerSpec>& workers,
                            FitRule rule, HeadOfLine head_of_line);

}  // namespace dotterelcove::bench
