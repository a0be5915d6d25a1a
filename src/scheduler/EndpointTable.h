/// The endpoints and the slots in use on each of them. No sockets, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "border/vmlist/VmList.h"
#include "peer/wire/Frame_generated.h"

namespace dotterelcove {

struct Endpoint {
  Vm vm;
  int64_t slots_in_use = 0;
  bool listed = true;
  /// Drained by the operator.
  bool drained = false;
  /// The endpoint itself said that it leaves, until this time; an own sign
  /// counts before the platform's list shows it.
  TimeMs leaving_until_ms = 0;
  /// No grants until then; afterwards one at a time, to probe it.
  TimeMs ejected_until_ms = 0;
  bool probing = false;
  bool probe_in_flight = false;
  uint32_t failures = 0;
  uint32_t ejections = 0;
};

/// Consecutive failed requests after which an endpoint is ejected.
inline constexpr uint32_t kEjectAfterFailures = 3;

class EndpointTable {
 public:
  /// Takes over the platform's list.
  void SetVmList(const std::vector<Vm>& vms);
  /// False when the endpoint is unknown.
  bool Drain(const std::string& id);

  /// The endpoint of `service` with the largest share of free slots, or nothing
  /// when all are full, ejected or leaving. Probes only with idempotent
  /// requests.
  Endpoint* Pick(const std::string& service, bool idempotent, TimeMs now);
  /// Takes one slot; also for a slot that an entry daemon reported, whatever
  /// the state of the endpoint.
  void AcquireSlot(const std::string& id);
  void ReleaseSlot(const std::string& id);
  /// Learns from the result of a request.
  void RecordResult(const std::string& id, wire::SlotResult result,
                    bool leaving, TimeMs now);

  /// Whether any endpoint serves `service` and is not leaving.
  bool Serves(const std::string& service, TimeMs now) const;
  /// Whether grants to the endpoint have stopped for good.
  bool IsLeaving(const Endpoint& endpoint, TimeMs now) const;
  const std::map<std::string, Endpoint>& endpoints() const {
    return this->rows;
  }

 private:
  bool IsUsable(const Endpoint& endpoint, bool idempotent, TimeMs now) const;
  bool MayEject(const Endpoint& endpoint, TimeMs now) const;
  void Eject(Endpoint& endpoint, TimeMs now);

  std::map<std::string, Endpoint> rows;
  /// Ids by service, for Pick.
  std::map<std::string, std::vector<std::string>> by_service;
  size_t next = 0;
};

}  // namespace dotterelcove
