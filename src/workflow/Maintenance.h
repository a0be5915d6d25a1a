/// Decisions for maintenance waves, as pure functions: which VM goes down next,
/// and when. Designed for a cell that is 80 to 90 % full while VMs are taken
/// out of service.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "workflow/Fleet.h"
#include "workflow/VmPort.h"

namespace dotterelcove::workflow {

enum class VmPhase : uint8_t {
  kWaiting,
  /// It gets no new tasks; those on it end or are moved.
  kDraining,
  /// The order is being recorded, is in flight, or its outcome is unknown.
  kOrdered,
  /// The maintenance has begun.
  kDown,
  kDone,
  /// The VM does not exist any more or is not part of the wave.
  kGone,
};
inline constexpr auto kVmPhaseNames =
    MakeNameTable<VmPhase>({{VmPhase::kWaiting, "waiting"},
                            {VmPhase::kDraining, "draining"},
                            {VmPhase::kOrdered, "ordered"},
                            {VmPhase::kDown, "down"},
                            {VmPhase::kDone, "done"},
                            {VmPhase::kGone, "gone"}});

/// One life of a worker. An empty id names none.
struct WorkerIncarnation {
  std::string id;
  uint64_t incarnation = 0;

  bool operator==(const WorkerIncarnation&) const = default;
};

struct WaveVm {
  VmPhase phase = VmPhase::kWaiting;
  /// When the phase began.
  TimeMs since_ms = 0;
  /// The order or the commit that records it is in flight.
  bool in_flight = false;
  /// The order is not repeated before this time.
  TimeMs next_order_ms = 0;
  /// The worker that ran on the VM when the order was recorded. Only this one
  /// is known to have ended once the order is confirmed: a later one may run on
  /// the VM if the confirmation means that the maintenance is already done.
  WorkerIncarnation target;
};

struct WaveState {
  MaintenanceWave wave;
  std::map<std::string, WaveVm> vms;
  bool running_reported = false;
  bool report_in_flight = false;
  bool completed = false;
};

/// The stored state of a wave: the VMs whose maintenance was ordered, whatever
/// the outcome, and whether the completion was reported to the operator.
struct WaveRecord {
  std::set<std::string> ordered;
  /// The worker that each order was meant for, by VM. Records of older versions
  /// have none.
  std::map<std::string, WorkerIncarnation> targets;
  /// The ordered VMs whose maintenance is over.
  std::set<std::string> done;
  bool completed = false;
};
inline constexpr const char* kMaintenanceTable = "maintenance";
std::string EncodeWaveRecord(const WaveRecord& record);
/// Returns nothing for malformed text.
std::optional<WaveRecord> DecodeWaveRecord(const std::string& text);

WaveState MakeWaveState(const MaintenanceWave& wave, const WaveRecord& record,
                        TimeMs now_ms);

/// Time limit for draining one VM such that the wave ends in time.
/// `maintenance_ms` is the time for which one VM is down.
TimeMs DrainLimitMs(const MaintenanceWave& wave, TimeMs maintenance_ms);

/// The next VM to drain: the one that would lose the least work. Returns
/// nothing if the cap is reached or no waiting VM is up.
std::optional<std::string> ChooseNextVm(const WaveState& state,
                                        const VmList& vms, const Fleet& fleet);

/// Whether every VM of the wave is done or gone.
bool IsOver(const WaveState& state);

}  // namespace dotterelcove::workflow
