#include "workflow/Crashes.h"

#include <algorithm>

namespace dotterelcove::workflow {
namespace {

/// No task is given up before this many workers have crashed under it.
constexpr size_t kMinCrashes = 2;
/// A task that had just started at this many crashes is to blame, even if it
/// was never alone.
constexpr size_t kMaxEarlyCrashes = 3;
/// A task is not started again after this many crashes, whoever is to blame. A
/// crash that falls into a takeover may go uncounted.
constexpr size_t kMaxCrashes = 4;

bool IsEarly(CrashPhase phase) {
  return phase == CrashPhase::kJustStarted || phase == CrashPhase::kOnProbation;
}

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
  bool was_alone = false;
  for (const auto& [run, phase] : crashes) {
    if (phase != CrashPhase::kUnconfirmed) ++certain;
    if (IsEarly(phase)) ++early;
    was_alone = was_alone || phase == CrashPhase::kOnProbation;
  }
  if (crashes.size() >= kMaxCrashes) return true;
  if (certain < kMinCrashes) return false;
  return was_alone || early >= kMaxEarlyCrashes;
}

size_t MaxProbations(size_t workers) {
  constexpr size_t kOneIn = 4;
  return std::max<size_t>(workers / kOneIn, 1);
}

}  // namespace dotterelcove::workflow
