/// Stand-in for the platform's VM service: lists the VMs of the workers and
/// carries out their maintenance, as PROTOCOL.md tells.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/soak/CellWorker.h"
#include "tests/platform/soak/Observations.h"
#include "tests/platform/soak/RawHttp.h"
#include "tests/platform/soak/StoreStandin.h"

namespace dotterelcove::soak {

/// What the VM service does with calls.
enum class VmFaultKind : uint8_t {
  kNone,
  /// Carries orders out and does not answer them.
  kOrdersUnanswered,
  /// The same, and answers no reading of the list either.
  kAnswersLost,
  /// Carries orders out late and does not answer them.
  kOrdersLate,
  /// Refuses all calls.
  kRefuses,
  /// Does nothing and does not answer.
  kSilent,
};
inline constexpr auto kVmFaultKindNames =
    MakeNameTable<VmFaultKind>({{VmFaultKind::kNone, "none"},
                                {VmFaultKind::kOrdersUnanswered, "unanswered"},
                                {VmFaultKind::kAnswersLost, "answers lost"},
                                {VmFaultKind::kOrdersLate, "late"},
                                {VmFaultKind::kRefuses, "refuses"},
                                {VmFaultKind::kSilent, "silent"}});

struct VmFault {
  VmFaultKind kind = VmFaultKind::kNone;
  /// Delay of late orders.
  int64_t delay_ms = 0;
};

class VmService {
 public:
  /// The VM with index i is that of the worker with index i.
  VmService(const std::string& ip, uint16_t port,
            std::vector<std::unique_ptr<CellWorker>>& workers,
            StoreStandin& store);
  /// Waits for the maintenance under way.
  ~VmService();
  VmService(const VmService&) = delete;
  VmService& operator=(const VmService&) = delete;

  /// Returns false if the address cannot be used.
  bool Start();
  /// Writes the operator's request for the maintenance of these VMs.
  void RequestWave(const std::vector<size_t>& vms, int cap);
  void SetFault(VmFault next);
  /// The orders that were accepted.
  std::vector<VmOrder> Orders() const;

  Plant plant = Plant::kNone;

 private:
  struct Vm {
    /// Waves that ask for its maintenance, and those in which it has begun.
    std::set<uint64_t> asked;
    std::set<uint64_t> begun;
    uint64_t token = 0;
    bool is_away = false;
  };

  Reply Handle(const Request& request);
  Reply List();
  Reply Order(const Request& request, const VmFault& now);
  Reply Maintain(const Request& request);
  /// Holds a call without an answer until its caller has given up.
  Reply HoldBack();
  void Restart(size_t index);

  std::vector<std::unique_ptr<CellWorker>>& workers;
  StoreStandin& store;
  mutable std::mutex mutex;
  std::vector<Vm> vms;
  std::vector<VmOrder> orders;
  uint64_t last_wave = 0;
  uint64_t restarts = 0;
  VmFault fault;
  std::atomic<bool> ended{false};
  /// Calls that are held without an answer.
  std::atomic<int> held_back{0};
  std::vector<std::thread> threads;
  Server server;
};

}  // namespace dotterelcove::soak
