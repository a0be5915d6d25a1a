/// How fast fillers may work beside serving tasks. A pure control rule; it
/// answers serving tasks whose load changes within seconds.
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

/// The pace to set next for one filler. `elapsed_ms` is the time since the pace
/// was last judged.
int NextPace(int percent, double tail_ratio, TimeMs elapsed_ms);

/// Judges the paces of all fillers on the worker by its newest report,
/// `elapsed_ms` after the last judgement.
std::vector<PaceChange> PlanPaces(const Worker& worker, TimeMs elapsed_ms);

/// Whether the worker's reports have to come often: fillers work beside tasks
/// with an objective.
bool NeedsPacing(const Worker& worker);

}  // namespace dotterelcove::workflow
