#include "workflow/PermitPlan.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dotterelcove::workflow {
namespace {

/// Maximum time that a quick request may queue for a process.
constexpr TimeMs kMaxQuickWaitMs = 400;

struct Candidate {
  const Worker* worker = nullptr;
  /// Known to be allowed from an earlier answer.
  bool allowed = false;
  int64_t room_tasks = 0;
};

int64_t TasksThatFit(const Worker& worker, const PlacementNeed& need) {
  const Resources size = SizeOnWorker(*need.step);
  const Resources free = FreeOf(worker);
  int64_t fit = PlacesWithinLimit(worker, need);
  if (size.milli_cores > 0) {
    fit = std::min(fit, free.milli_cores / size.milli_cores);
  }
  if (size.memory_mb > 0) fit = std::min(fit, free.memory_mb / size.memory_mb);
  return std::max<int64_t>(fit, 0);
}

/// Upper limit of the tasks that fit on a worker with so many free processors.
int64_t MostTasksOn(int64_t free_milli_cores, const PlacementNeed& need) {
  const StepSpec& step = *need.step;
  const int64_t limit =
      step.max_per_worker == 0 ? step.count : step.max_per_worker;
  const int64_t size = SizeOnWorker(step).milli_cores;
  return size > 0 ? std::min(limit, free_milli_cores / size) : limit;
}

}  // namespace

TimeMs RequestCostMs(const PermitTerms& terms, size_t workers) {
  return static_cast<TimeMs>(
      terms.decision_ms + terms.per_worker_ms * static_cast<double>(workers));
}

RoomOrder OrderByRoom(const Fleet& fleet, TimeMs now_ms) {
  RoomOrder order;
  order.reserve(fleet.workers.size());
  for (const auto& [id, worker] : fleet.workers) {
    if (!IsUsable(worker, now_ms)) continue;
    order.push_back({&worker, FreeOf(worker).milli_cores});
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const WorkerRoom& a, const WorkerRoom& b) {
                     return a.milli_cores > b.milli_cores;
                   });
  return order;
}

std::vector<std::string> ChooseWorkersToRequest(const RoomOrder& room,
                                                const PlacementNeed& need,
                                                uint32_t tasks) {
  const StepPermits& permits = need.state->permits;
  const int64_t milli_cores = SizeOnWorker(*need.step).milli_cores;
  std::vector<Candidate> candidates;
  // No worker is known to be allowed, so the room alone decides.
  const bool is_first = permits.permissions.empty();
  int64_t least_room = std::numeric_limits<int64_t>::max();
  for (const auto& [worker, free_milli_cores] : room) {
    // With hundreds of waiting steps, most of the order has no room for them.
    if (free_milli_cores < milli_cores) break;
    const bool is_full = is_first && candidates.size() >= kMaxWorkersPerRequest;
    if (is_full && MostTasksOn(free_milli_cores, need) <= least_room) break;
    if (FreeOf(*worker).milli_cores < milli_cores) continue;
    const Permission permission = PermissionFor(permits, worker->slot);
    if (permission == Permission::kDenied) continue;
    if (!HasRoom(*worker, need)) continue;
    if (!IsUsable(*worker, need.now_ms)) continue;
    if (!IsEligible(*worker, *need.job, *need.step)) continue;
    if (HasTicket(*need.state, *worker, need.now_ms)) continue;
    candidates.push_back({worker, permission == Permission::kGranted,
                          TasksThatFit(*worker, need)});
    if (candidates.size() <= kMaxWorkersPerRequest) {
      least_room = std::min(least_room, candidates.back().room_tasks);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     if (a.allowed != b.allowed) return a.allowed;
                     return a.room_tasks > b.room_tasks;
                   });
  // Workers known to be allowed count in full, others by a conservative
  // estimate of the fraction that is granted.
  constexpr double kExpectedShare = 0.3;
  constexpr double kSpareFactor = 2.0;
  std::vector<std::string> names;
  double expected = 0;
  for (const Candidate& candidate : candidates) {
    if (names.size() >= kMaxWorkersPerRequest) break;
    if (expected >= kSpareFactor * tasks + 1) break;
    names.push_back(candidate.worker->info.id);
    expected += static_cast<double>(candidate.room_tasks) *
                (candidate.allowed ? 1.0 : kExpectedShare);
  }
  return names;
}

PermitClient* ChoosePermitClient(PermitClients& permit_clients, TimeMs cost_ms,
                                 TimeMs now_ms) {
  const bool slow = cost_ms > kSlowRequestMs;
  size_t slow_clients = 0;
  PermitClient* best = nullptr;
  for (auto& [name, client] : permit_clients) {
    if (client.slow > 0) ++slow_clients;
    if (slow && client.outstanding > 0) continue;
    if (best != nullptr && client.busy_until_ms >= best->busy_until_ms)
      continue;
    best = &client;
  }
  if (best == nullptr) return nullptr;
  const size_t reserved =
      std::min(kProcessesForQuickRequests, (permit_clients.size() + 2) / 4);
  if (slow && slow_clients + reserved >= permit_clients.size() &&
      slow_clients > 0) {
    return nullptr;
  }
  if (!slow && best->busy_until_ms > now_ms + kMaxQuickWaitMs) return nullptr;
  return best;
}

}  // namespace dotterelcove::workflow
