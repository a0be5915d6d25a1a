#include "scheduler/EndpointTable.h"

#include <algorithm>
#include <set>

namespace dotterelcove {
namespace {

constexpr TimeMs kEjectBaseMs = 1'000;
constexpr TimeMs kEjectMaxMs = 30'000;
// Longer than the platform's list ever lags, so that an endpoint which
// announced that it leaves gets no grant before the list shows it.
constexpr TimeMs kLeavingNoticeMs = 300'000;

int64_t SlotsOf(const Endpoint& endpoint) {
  return std::min(endpoint.vm.slots, endpoint.vm.connections);
}

}  // namespace

void EndpointTable::SetVmList(const std::vector<Vm>& vms) {
  std::set<std::string> listed;
  for (const Vm& vm : vms) {
    if (vm.role != VmRole::kEndpoint) continue;
    listed.insert(vm.id);
    Endpoint& endpoint = this->rows[vm.id];
    // A replacement VM does not inherit the health state of its predecessor.
    const bool replaced = endpoint.vm.address != vm.address ||
                          (!endpoint.listed && vm.state == VmState::kLive);
    if (replaced) {
      const int64_t used = endpoint.slots_in_use;
      endpoint = {};
      endpoint.slots_in_use = used;
    }
    endpoint.vm = vm;
    endpoint.listed = true;
  }
  this->by_service.clear();
  for (auto row = this->rows.begin(); row != this->rows.end();) {
    Endpoint& endpoint = row->second;
    if (!listed.contains(row->first)) endpoint.listed = false;
    if (!endpoint.listed && endpoint.slots_in_use == 0) {
      row = this->rows.erase(row);
      continue;
    }
    this->by_service[endpoint.vm.service].push_back(row->first);
    ++row;
  }
}

bool EndpointTable::Drain(const std::string& id) {
  const auto found = this->rows.find(id);
  if (found == this->rows.end()) return false;
  found->second.drained = true;
  return true;
}

bool EndpointTable::IsLeaving(const Endpoint& endpoint, TimeMs now) const {
  return !endpoint.listed || endpoint.drained ||
         endpoint.vm.state == VmState::kLeaving ||
         now < endpoint.leaving_until_ms;
}

bool EndpointTable::IsUsable(const Endpoint& endpoint, bool idempotent,
                             TimeMs now) const {
  if (this->IsLeaving(endpoint, now)) return false;
  if (now < endpoint.ejected_until_ms) return false;
  if (endpoint.probing && (endpoint.probe_in_flight || !idempotent))
    return false;
  return endpoint.slots_in_use < SlotsOf(endpoint);
}

Endpoint* EndpointTable::Pick(const std::string& service, bool idempotent,
                              TimeMs now) {
  const auto found = this->by_service.find(service);
  if (found == this->by_service.end()) return nullptr;
  const std::vector<std::string>& ids = found->second;
  // A rotating start spreads requests over equally free endpoints.
  const size_t start = this->next++;
  Endpoint* best = nullptr;
  for (size_t i = 0; i < ids.size(); ++i) {
    Endpoint& endpoint = this->rows.at(ids[(start + i) % ids.size()]);
    if (!this->IsUsable(endpoint, idempotent, now)) continue;
    if (best != nullptr && endpoint.slots_in_use * SlotsOf(*best) >=
                               best->slots_in_use * SlotsOf(endpoint)) {
      continue;
    }
    best = &endpoint;
  }
  return best;
}

bool EndpointTable::AcquireSlot(const std::string& id) {
  Endpoint& endpoint = this->rows[id];
  endpoint.slots_in_use++;
  if (endpoint.probing) endpoint.probe_in_flight = true;
  return endpoint.probing;
}

void EndpointTable::ReleaseSlot(const std::string& id, bool is_probe) {
  const auto found = this->rows.find(id);
  if (found == this->rows.end()) return;
  Endpoint& endpoint = found->second;
  if (endpoint.slots_in_use > 0) endpoint.slots_in_use--;
  // A slot from before the ejection says nothing about the probe.
  if (is_probe) endpoint.probe_in_flight = false;
}

void EndpointTable::RecordResult(const std::string& id, wire::SlotResult result,
                                 bool leaving, TimeMs now) {
  const auto found = this->rows.find(id);
  if (found == this->rows.end()) return;
  Endpoint& endpoint = found->second;
  if (leaving || result == wire::SlotResult::Leaving) {
    endpoint.leaving_until_ms = now + kLeavingNoticeMs;
  }
  switch (result) {
    case wire::SlotResult::Done:
      endpoint.failures = 0;
      endpoint.ejections = 0;
      endpoint.probing = false;
      return;
    case wire::SlotResult::Leaving:
      return;
    case wire::SlotResult::NotSent:
    case wire::SlotResult::RefusedByEndpoint:
      // A failed connect and a refusal suggest that the endpoint is leaving:
      // they stop further grants at once, whatever the state of the other
      // endpoints.
      this->Eject(endpoint, now);
      return;
    case wire::SlotResult::FailedByEndpoint:
    case wire::SlotResult::Unknown:
      endpoint.failures++;
      if (endpoint.probing || (endpoint.failures >= kEjectAfterFailures &&
                               this->MayEject(endpoint, now))) {
        this->Eject(endpoint, now);
      }
      return;
  }
}

void EndpointTable::Eject(Endpoint& endpoint, TimeMs now) {
  // Results of requests granted before the ejection do not extend it.
  if (now < endpoint.ejected_until_ms) return;
  TimeMs time = kEjectBaseMs;
  for (uint32_t i = 0; i < endpoint.ejections && time < kEjectMaxMs; ++i) {
    time *= 2;
  }
  endpoint.ejected_until_ms = now + std::min(time, kEjectMaxMs);
  endpoint.ejections++;
  endpoint.failures = 0;
  endpoint.probing = true;
}

bool EndpointTable::MayEject(const Endpoint& endpoint, TimeMs now) const {
  // When more than half of a service's endpoints fail, the cause is not the
  // endpoints, and ejecting them would only remove capacity.
  size_t ejected = 1;
  const auto found = this->by_service.find(endpoint.vm.service);
  if (found == this->by_service.end()) return false;
  const std::vector<std::string>& ids = found->second;
  for (const std::string& id : ids) {
    if (now < this->rows.at(id).ejected_until_ms) ejected++;
  }
  return ejected * 2 <= ids.size();
}

bool EndpointTable::Serves(const std::string& service, TimeMs now) const {
  const auto found = this->by_service.find(service);
  if (found == this->by_service.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](const std::string& id) {
                       return !this->IsLeaving(this->rows.at(id), now);
                     });
}

}  // namespace dotterelcove
