#include "workflow/Crashes.h"

#include <algorithm>

namespace dotterelcove::workflow {
namespace {

/// No task is given up before this many workers have crashed under it.
constexpr size_t kMinCrashes = 2;
/// A task of which no run got beyond its start at this many crashes is to
/// blame, even if it was never alone and not all of them are certain.
constexpr size_t kMaxEarlyCrashes = 3;
/// A task is not started again after this many crashes, whoever is to blame.
/// Crashes that fall into a takeover may go uncounted.
constexpr size_t kMaxCrashes = 4;

}  // namespace

CrashPhase PhaseAtCrash(bool is_confirmed, bool is_on_probation,
                        TimeMs ran_ms) {
  if (!is_confirmed) return CrashPhase::kUnconfirmed;
  if (ran_ms >= kProbationMs) return CrashPhase::kRunning;
  return is_on_probation ? CrashPhase::kOnProbation : CrashPhase::kJustStarted;
}

bool IsSuspect(const TaskCrashes& crashes) {
  return std::any_of(crashes.begin(), crashes.end(), [](const auto& crash) {
    return crash.second != CrashPhase::kRunning;
  });
}

bool MustGiveUp(const TaskCrashes& crashes) {
  size_t certain = 0;
  size_t early = 0;
  for (const auto& [run, phase] : crashes) {
    if (phase != CrashPhase::kUnconfirmed) ++certain;
    if (phase != CrashPhase::kRunning) ++early;
  }
  if (crashes.size() >= kMaxCrashes) return true;
  if (certain > 0 && early >= kMaxEarlyCrashes) return true;
  return certain >= kMinCrashes &&
         crashes.rbegin()->second == CrashPhase::kOnProbation;
}

size_t MaxProbations(size_t workers) {
  constexpr size_t kOneIn = 3;
  return std::max<size_t>(workers / kOneIn, 2);
}

}  // namespace dotterelcove::workflow
