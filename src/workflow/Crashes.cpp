#include "workflow/Crashes.h"

#include <algorithm>
#include <cmath>

namespace dotterelcove::workflow {
namespace {

/// No task is given up before this many workers have crashed under it.
constexpr size_t kMinCrashes = 2;
/// The sum of weights at which a task is to blame: 45 dB is a chance of one in
/// 30,000 for each task that is not.
constexpr int kMaxWeight = 45;
/// A task is not started again after this many crashes soon after its start,
/// however many other workers are lost: with each it takes a worker down.
constexpr size_t kMaxEarlyCrashes = 5;
/// A task that had survived its start at this many crashes is started apart
/// from others.
constexpr size_t kLateCrashes = 3;
constexpr TimeMs kRetryBaseMs = 500;
constexpr TimeMs kMaxRetryMs = 2'000;

/// The time in which any crash of the worker puts a run into this phase.
TimeMs ExposureMs(CrashPhase phase) {
  // A busy worker is heard of once a second, one on probation after 200 ms.
  constexpr TimeMs kUnheardMs = 1'000;
  constexpr TimeMs kUnheardOnProbationMs = 200;
  constexpr TimeMs kUnansweredMs = 1'500;
  switch (phase) {
    case CrashPhase::kOnProbation:
      return kProbationMs + kUnheardOnProbationMs;
    case CrashPhase::kJustStarted:
      return kProbationMs + kUnheardMs;
    default:
      return kUnansweredMs;
  }
}

bool HadSurvivedStart(const Crash& crash) {
  return crash.phase == CrashPhase::kRunning;
}

size_t CountLate(const TaskCrashes& crashes) {
  return static_cast<size_t>(std::count_if(
      crashes.begin(), crashes.end(),
      [](const auto& entry) { return HadSurvivedStart(entry.second); }));
}

int ToDecibels(double chance) {
  constexpr double kPerDecade = 10;
  return static_cast<int>(std::floor(-kPerDecade * std::log10(chance)));
}

}  // namespace

CrashPhase PhaseAtCrash(bool is_confirmed, bool is_on_probation,
                        TimeMs ran_ms) {
  if (!is_confirmed) return CrashPhase::kUnconfirmed;
  if (ran_ms >= kProbationMs) return CrashPhase::kRunning;
  return is_on_probation ? CrashPhase::kOnProbation : CrashPhase::kJustStarted;
}

bool IsSuspect(const TaskCrashes& crashes) {
  const size_t late = CountLate(crashes);
  return crashes.size() > late || late >= kLateCrashes;
}

int FullWeight(CrashPhase phase) {
  switch (phase) {
    case CrashPhase::kOnProbation:
      return 25;
    case CrashPhase::kJustStarted:
      // Another run that had just started there may be to blame.
      return 20;
    case CrashPhase::kUnconfirmed:
      return 13;
    case CrashPhase::kRunning:
      return 0;
  }
  return 0;
}

int WeighCrash(CrashPhase phase, const FleetLosses& losses) {
  const auto workers = static_cast<double>(std::max<size_t>(losses.workers, 1));
  const double share =
      std::min(static_cast<double>(losses.together) / workers, 1.0);
  const double per_ms = static_cast<double>(losses.recent) / workers /
                        static_cast<double>(kLossMemoryMs);
  const double in_exposure =
      1 - std::exp(-per_ms * static_cast<double>(ExposureMs(phase)));
  const double chance = std::max(share, in_exposure);
  const int full = FullWeight(phase);
  return chance <= 0 ? full : std::min(full, ToDecibels(chance));
}

bool MustGiveUp(const TaskCrashes& crashes, size_t members) {
  const size_t early = crashes.size() - CountLate(crashes);
  if (members == 1 && early >= kMaxEarlyCrashes) return true;
  const int any_member =
      -ToDecibels(static_cast<double>(std::max<size_t>(members, 1)));
  size_t counted = 0;
  int sum = 0;
  for (const auto& [run, crash] : crashes) {
    const int weight = crash.weight - any_member;
    if (weight <= 0) continue;
    ++counted;
    sum += weight;
  }
  return counted >= kMinCrashes && sum >= kMaxWeight;
}

TimeMs RetryDelayMs(const TaskCrashes& crashes) {
  const size_t late = CountLate(crashes);
  if (late < kLateCrashes) return 0;
  const size_t doublings = std::min<size_t>(late - kLateCrashes, 2);
  return std::min(kRetryBaseMs << doublings, kMaxRetryMs);
}

size_t MaxProbations(size_t workers) {
  constexpr size_t kOneIn = 3;
  return std::max<size_t>(workers / kOneIn, 2);
}

}  // namespace dotterelcove::workflow
