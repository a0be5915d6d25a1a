/// Maintenance waves: which VM goes down next and when it may. Pure decisions;
/// they answer a cell that stands 80 to 90 % full while VMs are taken out.
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
  /// Gets no new tasks; those on it end or move away.
  kDraining,
  /// The order is being recorded, under way, or its outcome is not known.
  kOrdered,
  /// The maintenance has begun.
  kDown,
  kDone,
  /// Not there any more.
  kGone,
};
inline constexpr auto kVmPhaseNames =
    MakeNameTable<VmPhase>({{VmPhase::kWaiting, "waiting"},
                            {VmPhase::kDraining, "draining"},
                            {VmPhase::kOrdered, "ordered"},
                            {VmPhase::kDown, "down"},
                            {VmPhase::kDone, "done"},
                            {VmPhase::kGone, "gone"}});

struct WaveVm {
  VmPhase phase = VmPhase::kWaiting;
  /// When the phase began.
  TimeMs since_ms = 0;
  /// An order or the record of it is under way.
  bool in_flight = false;
  /// The order is not repeated before this time.
  TimeMs next_order_ms = 0;
};

struct WaveState {
  MaintenanceWave wave;
  std::map<std::string, WaveVm> vms;
  bool running_reported = false;
  bool report_in_flight = false;
  bool completed = false;
};

/// The stored part of a wave: VMs that were ordered, whatever came of it, and
/// whether the operator was told of its end.
struct WaveRecord {
  std::set<std::string> ordered;
  bool completed = false;
};
inline constexpr const char* kMaintenanceTable = "maintenance";
std::string EncodeWaveRecord(const WaveRecord& record);
/// Nothing for text that is not a record.
std::optional<WaveRecord> DecodeWaveRecord(const std::string& text);

WaveState MakeWaveState(const MaintenanceWave& wave, const WaveRecord& record,
                        TimeMs now_ms);

/// How long tasks may take to leave a VM, so that the wave ends in time.
/// `maintenance_ms` is the time for which one VM is down.
TimeMs DrainLimitMs(const MaintenanceWave& wave, TimeMs maintenance_ms);

/// The next VM to drain: the one with the least work to lose. Nothing when the
/// cap is reached or no VM is up.
std::optional<std::string> ChooseNextVm(const WaveState& state,
                                        const VmList& vms, const Fleet& fleet);

/// Whether every VM of the wave has been through it or is gone.
bool IsOver(const WaveState& state);

}  // namespace dotterelcove::workflow
