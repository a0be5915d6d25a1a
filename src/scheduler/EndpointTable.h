/// The endpoints and the slots in use on each of them. Does no I/O and reads no
/// clock; callers pass the time.
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
  /// Until this time the endpoint's own notice that it leaves is in effect, as
  /// the platform's list may not show it yet.
  TimeMs leaving_until_ms = 0;
  /// No grants until this time; afterwards one at a time, as a probe.
  TimeMs ejected_until_ms = 0;
  /// Ejected, and no request has succeeded since.
  bool probing = false;
  bool probe_in_flight = false;
  uint32_t failures = 0;
  uint32_t ejections = 0;
};

/// Consecutive failed requests after which an endpoint is ejected.
inline constexpr uint32_t kEjectAfterFailures = 3;

class EndpointTable {
 public:
  /// Applies the platform's VM list.
  void SetVmList(const std::vector<Vm>& vms);
  /// Stops grants on an operator's request; returns false when the endpoint is
  /// unknown.
  bool Drain(const std::string& id);

  /// Returns the endpoint of `service` with the largest share of free slots, or
  /// null when all are full, ejected or leaving. Probes only with idempotent
  /// requests.
  Endpoint* Pick(const std::string& service, bool idempotent, TimeMs now);
  /// Counts one more slot in use. Does not check the state of the endpoint, as
  /// an entry daemon may report a slot that an earlier owner granted.
  /// Returns whether the request is a probe of an ejected endpoint.
  bool AcquireSlot(const std::string& id);
  /// `is_probe` is what AcquireSlot() returned for the slot.
  void ReleaseSlot(const std::string& id, bool is_probe);
  /// Updates the endpoint's health from the result of a request. `leaving` is
  /// set when the endpoint announced that it leaves.
  void RecordResult(const std::string& id, wire::SlotResult result,
                    bool leaving, TimeMs now);

  /// Whether any endpoint serves `service` and is not leaving.
  bool Serves(const std::string& service, TimeMs now) const;
  /// Whether the endpoint is leaving and therefore gets no further grants.
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
