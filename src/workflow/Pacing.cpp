#include "workflow/Pacing.h"

#include <algorithm>

namespace dotterelcove::workflow {
namespace {

/// Above this ratio of tail latency to objective, fillers slow down.
constexpr double kHighRatio = 0.9;
/// Below this ratio they speed up again; between the two they keep their pace
/// (hysteresis).
constexpr double kLowRatio = 0.7;
/// Over the objective, fillers drop to this fraction of their pace immediately.
constexpr double kOverObjectiveFactor = 0.3;
constexpr double kSlowFactor = 0.75;
/// Pace recovery, in percent of full pace per second.
constexpr double kRecoveryPerSecond = 15;
/// Minimum pace: below it a filler would do no useful work and only occupy its
/// memory.
constexpr int kMinPercent = 5;
constexpr double kMsPerSecond = 1'000;

bool ReportsTail(const PlacedRun& run) {
  const StepSpec& spec = SpecOf(run.task);
  return !spec.filler && spec.tail_target_ms > 0;
}

}  // namespace

double WorstTailRatio(const Worker& worker) {
  double worst = 0;
  for (const auto& [name, run] : worker.runs) {
    if (!ReportsTail(run) || run.usage < 0) continue;
    worst = std::max(worst, run.usage / static_cast<double>(
                                            SpecOf(run.task).tail_target_ms));
  }
  return worst;
}

int NextPace(int percent, double tail_ratio, TimeMs elapsed_ms) {
  if (tail_ratio > 1) {
    const int slower = static_cast<int>(percent * kOverObjectiveFactor);
    return slower < kMinPercent ? 0 : slower;
  }
  if (tail_ratio > kHighRatio) {
    return std::max(static_cast<int>(percent * kSlowFactor),
                    std::min(percent, kMinPercent));
  }
  if (tail_ratio >= kLowRatio) return percent;
  const double rise =
      kRecoveryPerSecond * static_cast<double>(elapsed_ms) / kMsPerSecond;
  return std::min(percent + static_cast<int>(rise), kFullPacePercent);
}

std::vector<PaceChange> PlanPaces(const Worker& worker, TimeMs elapsed_ms) {
  std::vector<PaceChange> changes;
  const double ratio = WorstTailRatio(worker);
  for (const auto& [name, run] : worker.runs) {
    if (!SpecOf(run.task).filler || !run.confirmed || run.stop_wanted) continue;
    if (run.pace_in_flight) continue;
    const int percent = NextPace(run.pace_percent, ratio, elapsed_ms);
    if (percent == run.pace_percent && run.pace_known) continue;
    changes.push_back({name, percent});
  }
  return changes;
}

bool NeedsPacing(const Worker& worker) {
  if (worker.filler_milli_cores == 0) return false;
  return std::any_of(
      worker.runs.begin(), worker.runs.end(),
      [](const auto& entry) { return ReportsTail(entry.second); });
}

}  // namespace dotterelcove::workflow
