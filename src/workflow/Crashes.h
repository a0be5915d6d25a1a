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

/// One crash of a worker under a run.
struct Crash {
  CrashPhase phase = CrashPhase::kUnconfirmed;
  /// How unlikely the crash is if the task is not to blame, in decibels: 10 for
  /// a chance of one in ten, 20 for one in a hundred. 0 if it says nothing.
  int weight = 0;

  bool operator==(const Crash&) const = default;
};

/// The crashes under one task, by run number.
using TaskCrashes = std::map<uint32_t, Crash>;

/// How workers were lost that no task had just been started on, around a crash.
struct FleetLosses {
  /// Workers in use before the crash.
  size_t workers = 0;
  /// Other workers lost within `kTogetherMs` of the crash.
  size_t together = 0;
  /// Other workers lost within `kLossMemoryMs` before the crash.
  size_t recent = 0;
};

/// Workers that were last heard of within this time of each other may have
/// crashed at the same moment, since a busy worker is heard of once a second.
inline constexpr TimeMs kTogetherMs = 1'200;
/// Time over which the rate of losses is taken.
inline constexpr TimeMs kLossMemoryMs = 30'000;

/// The phase of a run on a worker that was last heard of `ran_ms` after the
/// run's start was sent.
CrashPhase PhaseAtCrash(bool is_confirmed, bool is_on_probation, TimeMs ran_ms);

/// Whether the task's next run must be on probation: a worker crashed soon
/// after its start, or several at any time.
bool IsSuspect(const TaskCrashes& crashes);

/// The largest weight of a crash in this phase, for a fleet in which no other
/// worker is lost.
int FullWeight(CrashPhase phase);

/// The weight of a crash: the more workers are lost without a task to blame, at
/// the same time or lately, the smaller.
int WeighCrash(CrashPhase phase, const FleetLosses& losses);

/// Whether the task is to be given up: at least two workers have crashed under
/// it, which is too unlikely if it is not to blame, or five soon after its
/// start. With `members` above 1, the
/// crashes are those of a gang of that size, each of which any of its workers
/// can have caused.
bool MustGiveUp(const TaskCrashes& crashes, size_t members = 1);

/// How long the task waits after its last crash. Crashes long after the start
/// do not end a job, so further ones are spaced.
TimeMs RetryDelayMs(const TaskCrashes& crashes);

/// Largest number of workers with a suspect at a time, of `workers` in use.
size_t MaxProbations(size_t workers);

}  // namespace dotterelcove::workflow
