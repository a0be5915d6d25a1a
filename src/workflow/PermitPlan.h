/// Which workers to name to the permit authority and which process asks.
/// Answers an authority that takes one call at a time for each calling VM and
/// half a second for a slow one.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "workflow/Placement.h"
#include "workflow/Ports.h"

namespace dotterelcove::workflow {

/// Most workers named in one request.
inline constexpr size_t kMaxWorkersPerRequest = 30;
/// Requests longer than this are slow: they never wait behind one another and
/// leave some processes free for quick ones.
inline constexpr TimeMs kSlowRequestMs = 150;
/// Processes kept free of slow requests.
inline constexpr size_t kProcessesForQuickRequests = 2;

/// A process that can put requests to the authority.
struct PermitClient {
  PermitPort request;
  TimeMs busy_until_ms = 0;
  uint32_t slow = 0;
  uint32_t outstanding = 0;
};
using PermitClients = std::map<std::string, PermitClient>;

TimeMs RequestCostMs(const PermitTerms& terms, size_t workers);

/// Workers worth naming for tasks of a step that cannot be placed with the
/// tickets at hand; empty when a request could not help now.
std::vector<std::string> ChooseWorkersToRequest(const Fleet& fleet,
                                                const PlacementNeed& need,
                                                uint32_t tasks);

/// The process to ask through, or nullptr when all are too busy.
PermitClient* ChoosePermitClient(PermitClients& permit_clients, TimeMs cost_ms,
                                 TimeMs now_ms);

}  // namespace dotterelcove::workflow
