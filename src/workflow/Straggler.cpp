#include "workflow/Straggler.h"

#include <algorithm>

namespace dotterelcove::workflow {
namespace {

/// Before this nothing is said of a run's speed.
constexpr TimeMs kLeastRanMs = 350;
constexpr double kLeastShareOfEstimate = 0.5;
/// Stop, free capacity and start elsewhere.
constexpr TimeMs kMoveMs = 200;
/// The run at hand must need this many times what a new one would: estimates
/// are rough.
constexpr double kWorthFactor = 2;

bool IsTooEarly(const StepSpec& spec, const RunProgress& progress) {
  return spec.estimate_ms <= 0 || progress.ran_ms < kLeastRanMs ||
         static_cast<double>(progress.ran_ms) <
             kLeastShareOfEstimate * static_cast<double>(spec.estimate_ms);
}

}  // namespace

double EstimateSlowness(const StepSpec& spec, const RunProgress& progress) {
  if (spec.long_running || IsTooEarly(spec, progress)) return 0;
  const double share = std::max(progress.percent, 1) / 100.0;
  return static_cast<double>(progress.ran_ms) / share /
         static_cast<double>(spec.estimate_ms);
}

double SharedSlowness(const std::vector<double>& estimates) {
  constexpr size_t kLeastRuns = 3;
  if (estimates.size() < kLeastRuns) return 0;
  return *std::min_element(estimates.begin(), estimates.end());
}

bool IsWorthMoving(const StepSpec& spec, const RunProgress& progress) {
  if (spec.long_running || spec.filler || spec.gang) return false;
  if (IsTooEarly(spec, progress)) return false;
  const int percent = std::max(progress.percent, 1);
  const TimeMs rest_ms = progress.ran_ms * (100 - percent) / percent;
  TimeMs anew_ms = spec.estimate_ms + kMoveMs;
  if (spec.checkpoints) {
    anew_ms = spec.estimate_ms * (100 - percent) / 100 + kMoveMs;
  }
  return static_cast<double>(rest_ms) >
         kWorthFactor * static_cast<double>(anew_ms);
}

}  // namespace dotterelcove::workflow
