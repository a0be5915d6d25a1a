/// Stand-in for the platform's VM service: lists the VMs of the workers and
/// carries out their maintenance, as PROTOCOL.md tells.
#pragma once

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
  Reply Maintain(const Request& request);
  void Restart(size_t index);

  std::vector<std::unique_ptr<CellWorker>>& workers;
  StoreStandin& store;
  mutable std::mutex mutex;
  std::vector<Vm> vms;
  std::vector<VmOrder> orders;
  uint64_t last_wave = 0;
  uint64_t restarts = 0;
  bool ended = false;
  std::vector<std::thread> threads;
  Server server;
};

}  // namespace dotterelcove::soak
