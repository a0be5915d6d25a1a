/// Runs that crawl on a slow worker. Answers workers that turn several times
/// slower while they go on answering.
#pragma once

#include <vector>

#include "workflow/Fleet.h"

namespace dotterelcove::workflow {

/// How a run goes, by the last report of its worker.
struct RunProgress {
  TimeMs ran_ms = 0;
  int percent = 0;
};

/// Actual over estimated speed so far, inverted: 1 for a sound worker, 5 for
/// one that takes five times as long. 0 while nothing can be said.
double EstimateSlowness(const StepSpec& spec, const RunProgress& progress);

/// The slowness that all runs on a worker share, by their estimates: the least
/// of them. Single tasks often take several times their estimate on sound
/// workers, so fewer than three runs say nothing; the result is 0 then.
double SharedSlowness(const std::vector<double>& estimates);

/// Whether a task would end much sooner if it began anew on a sound worker,
/// from its checkpoint if it makes them.
bool IsWorthMoving(const StepSpec& spec, const RunProgress& progress);

}  // namespace dotterelcove::workflow
