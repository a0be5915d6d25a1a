#include "workflow/StepPermits.h"

#include <algorithm>
#include <utility>

namespace dotterelcove::workflow {
namespace {

/// Index of the worker's ticket, or the number of tickets if there is none.
size_t IndexOf(const std::vector<Ticket>& tickets, uint32_t slot) {
  const auto found =
      std::find_if(tickets.begin(), tickets.end(),
                   [slot](const Ticket& each) { return each.slot == slot; });
  return static_cast<size_t>(found - tickets.begin());
}

void SetPermission(StepPermits& permits, uint32_t slot, Permission permission) {
  if (permits.permissions.size() <= slot) {
    permits.permissions.resize(slot + 1, Permission::kUnknown);
  }
  permits.permissions[slot] = permission;
}

}  // namespace

Permission PermissionFor(const StepPermits& permits, uint32_t slot) {
  return slot < permits.permissions.size() ? permits.permissions[slot]
                                           : Permission::kUnknown;
}

const Ticket* FindTicket(const StepPermits& permits, uint32_t slot) {
  if (PermissionFor(permits, slot) != Permission::kGranted) return nullptr;
  const size_t index = IndexOf(permits.tickets, slot);
  return index < permits.tickets.size() ? &permits.tickets[index] : nullptr;
}

void AddTicket(StepPermits& permits, Ticket ticket) {
  SetPermission(permits, ticket.slot, Permission::kGranted);
  const size_t index = IndexOf(permits.tickets, ticket.slot);
  if (index == permits.tickets.size()) permits.tickets.emplace_back();
  permits.tickets[index] = std::move(ticket);
}

void RemoveExpired(StepPermits& permits, TimeMs now_ms) {
  std::erase_if(permits.tickets, [now_ms](const Ticket& ticket) {
    return ticket.valid_until_ms <= now_ms;
  });
}

void AddDenial(StepPermits& permits, uint32_t slot) {
  SetPermission(permits, slot, Permission::kDenied);
}

void ExpireTicket(StepPermits& permits, uint32_t slot) {
  const size_t index = IndexOf(permits.tickets, slot);
  if (index < permits.tickets.size()) permits.tickets[index].valid_until_ms = 0;
}

}  // namespace dotterelcove::workflow
