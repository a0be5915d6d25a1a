/// Interface of the controller to the service that runs the workers' VMs.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/NameTable.h"
#include "dotterelcove/Types.h"

namespace dotterelcove::workflow {

enum class VmState : uint8_t { kUp, kMoving, kInMaintenance, kDown };
inline constexpr auto kVmStateNames =
    MakeNameTable<VmState>({{VmState::kUp, "up"},
                            {VmState::kMoving, "moving"},
                            {VmState::kInMaintenance, "in_maintenance"},
                            {VmState::kDown, "down"}});

struct VmInfo {
  VmState state = VmState::kDown;
  /// The worker that runs on it, empty for none.
  std::string worker;
};
/// VMs by name.
using VmList = std::map<std::string, VmInfo>;

/// An operator's request to put each of these VMs through maintenance.
struct MaintenanceWave {
  uint64_t number = 0;
  std::vector<std::string> vms;
  /// Target duration of the whole wave.
  TimeMs duration_ms = 0;
  /// Maximum number of VMs of the wave that may be down at the same time.
  uint32_t cap = 1;
};

struct MaintenanceOrder {
  std::string vm;
  uint64_t wave = 0;
  uint64_t token = 0;
};

enum class VmOrderStatus : uint8_t {
  /// The maintenance has started, or was already done.
  kOk,
  /// The service has seen an order for this VM with a higher fencing token.
  kFenced,
  /// The VM is not up, or is about to leave; nothing was done.
  kBusy,
  /// The VM does not exist or is not part of this wave; nothing was done.
  kNotInWave,
  /// Too many calls, or the service is unavailable; nothing was done.
  kRefused,
  /// No answer: the order may have been carried out, or may yet be.
  kUnknown,
};
inline constexpr auto kVmOrderStatusNames =
    MakeNameTable<VmOrderStatus>({{VmOrderStatus::kOk, "ok"},
                                  {VmOrderStatus::kFenced, "fenced"},
                                  {VmOrderStatus::kBusy, "busy"},
                                  {VmOrderStatus::kNotInWave, "not_in_wave"},
                                  {VmOrderStatus::kRefused, "refused"},
                                  {VmOrderStatus::kUnknown, "unknown"}});

enum class WaveReport : uint8_t { kRunning, kCompleted };
inline constexpr auto kWaveReportNames = MakeNameTable<WaveReport>(
    {{WaveReport::kRunning, "running"}, {WaveReport::kCompleted, "completed"}});

struct VmPort {
  /// Reads the whole list of VMs; passes nothing if it cannot be read.
  std::function<void(std::function<void(std::optional<VmList>)>)> list;
  std::function<void(const MaintenanceOrder&,
                     std::function<void(VmOrderStatus)>)>
      maintain;
  /// Reports the progress of a wave to the operator; `done` receives whether
  /// the report was stored.
  std::function<void(uint64_t wave, WaveReport, std::function<void(bool)> done)>
      report;
};

}  // namespace dotterelcove::workflow
