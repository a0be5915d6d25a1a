/// Decisions about tasks that were running on a worker when it crashed. They
/// find a task that crashes every worker that starts it after few crashes, and
/// let the tasks that only ran beside it go on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/NameTable.h"
#include "dotterelcove/Types.h"

namespace dotterelcove::workflow {

/// What a run was doing when its worker crashed.
enum class CrashPhase : uint8_t {
  /// Its start was not confirmed, so it may not have begun, or the worker may
  /// not have crashed.
  kUnconfirmed,
  /// It had run for longer than `kProbationMs`.
  kRunning,
  /// It had begun within the last `kProbationMs`.
  kJustStarted,
  /// The same, as a suspect, while no other run there could be to blame.
  kOnProbation,
};
inline constexpr auto kCrashPhaseNames =
    MakeNameTable<CrashPhase>({{CrashPhase::kUnconfirmed, "unconfirmed"},
                               {CrashPhase::kRunning, "running"},
                               {CrashPhase::kJustStarted, "just_started"},
                               {CrashPhase::kOnProbation, "on_probation"}});

/// How long nothing else is started on a worker after a suspect. A worker that
/// crashes meanwhile crashed under the suspect.
inline constexpr TimeMs kProbationMs = 150;

/// The crashes under one task, by run number.
using TaskCrashes = std::map<uint32_t, CrashPhase>;

/// The phase of a run on a worker that was last heard of `ran_ms` after the
/// run's start was sent.
CrashPhase PhaseAtCrash(bool is_confirmed, bool is_on_probation, TimeMs ran_ms);

/// Whether the task's next run must be on probation.
bool IsSuspect(const TaskCrashes& crashes);

/// Whether the task is to be given up: at least two workers have crashed under
/// it and it is to blame, or it has used up its crashes.
bool MustGiveUp(const TaskCrashes& crashes);

/// Largest number of workers with a suspect at a time, of `workers` in use.
size_t MaxProbations(size_t workers);

}  // namespace dotterelcove::workflow
