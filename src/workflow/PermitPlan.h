/// Which workers to request permits for and which process sends the request.
/// Designed for a permit authority that handles one call at a time per calling
/// VM and takes half a second for a slow one.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "workflow/Placement.h"
#include "workflow/Ports.h"

namespace dotterelcove::workflow {

/// Maximum number of workers in one request.
inline constexpr size_t kMaxWorkersPerRequest = 30;
/// Requests that take longer than this are slow: they never queue behind
/// another request, and some processes are kept free of them for quick
/// requests.
inline constexpr TimeMs kSlowRequestMs = 150;
/// Maximum number of processes kept free of slow requests.
inline constexpr size_t kProcessesForQuickRequests = 2;

/// A process that can send requests to the permit authority. `slow` and
/// `outstanding` count its requests in flight.
struct PermitClient {
  std::string name;
  PermitPort request;
  TimeMs busy_until_ms = 0;
  uint32_t slow = 0;
  uint32_t outstanding = 0;
};
using PermitClients = std::map<std::string, PermitClient>;

TimeMs RequestCostMs(const PermitTerms& terms, size_t workers);

/// A worker and its free processors, in thousandths, at some time.
struct WorkerRoom {
  const Worker* worker = nullptr;
  int64_t milli_cores = 0;
};
/// Usable workers, those with the most free processors first.
using RoomOrder = std::vector<WorkerRoom>;
RoomOrder OrderByRoom(const Fleet& fleet, TimeMs now_ms);

/// The workers to request permits for, given the number of tasks of a step that
/// cannot be placed with the current tickets. Empty if no request could help
/// now. `room` may be older than the latest placements, but not than the last
/// end of a run.
std::vector<std::string> ChooseWorkersToRequest(const RoomOrder& room,
                                                const PlacementNeed& need,
                                                uint32_t tasks);

/// The process to send the request through, or nullptr if all are too busy.
PermitClient* ChoosePermitClient(PermitClients& permit_clients, TimeMs cost_ms,
                                 TimeMs now_ms);

}  // namespace dotterelcove::workflow
