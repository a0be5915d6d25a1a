/// What the owner needs from the service that runs the workers' VMs.
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

/// The operator asks that each of these VMs goes through maintenance.
struct MaintenanceWave {
  uint64_t number = 0;
  std::vector<std::string> vms;
  /// The time that the whole wave should take.
  TimeMs duration_ms = 0;
  /// VMs of the wave that may be down at the same time.
  uint32_t cap = 1;
};

struct MaintenanceOrder {
  std::string vm;
  uint64_t wave = 0;
  uint64_t token = 0;
};

enum class VmOrderStatus : uint8_t {
  /// The maintenance has begun, or was done before.
  kOk,
  /// Another owner with a higher token has given an order for this VM.
  kFenced,
  /// The VM is not up, or it leaves; nothing was done.
  kBusy,
  /// The VM does not exist or is not of this wave; nothing was done.
  kNotInWave,
  /// Too many calls, or the service is away; nothing was done.
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
  /// Reads the whole list; nothing when it cannot be read.
  std::function<void(std::function<void(std::optional<VmList>)>)> list;
  std::function<void(const MaintenanceOrder&,
                     std::function<void(VmOrderStatus)>)>
      maintain;
  /// Tells the operator how far a wave is; `done` says whether it is stored.
  std::function<void(uint64_t wave, WaveReport, std::function<void(bool)> done)>
      report;
};

}  // namespace dotterelcove::workflow
