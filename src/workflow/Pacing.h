/// Feedback control, as pure functions, of how fast fillers run beside serving
/// tasks. Designed for serving tasks whose load changes within seconds.
#pragma once

#include <string>
#include <vector>

#include "workflow/Fleet.h"

namespace dotterelcove::workflow {

inline constexpr int kFullPacePercent = 100;

/// A change of a filler's pace.
struct PaceChange {
  std::string task;
  int percent = kFullPacePercent;
};

/// The worst tail latency on the worker as a share of its objective, 0 where no
/// task reports one.
double WorstTailRatio(const Worker& worker);

/// The pace to set next for one filler, in percent. `elapsed_ms` is the time
/// since the last evaluation.
int NextPace(int percent, double tail_ratio, TimeMs elapsed_ms);

/// Pace changes for the fillers on the worker according to its latest report,
/// `elapsed_ms` after the last evaluation.
std::vector<PaceChange> PlanPaces(const Worker& worker, TimeMs elapsed_ms);

/// Whether the worker has to report often, because fillers run beside tasks
/// with a latency objective.
bool NeedsPacing(const Worker& worker);

}  // namespace dotterelcove::workflow
