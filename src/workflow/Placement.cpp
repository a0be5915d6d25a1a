#include "workflow/Placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dotterelcove::workflow {
namespace {

/// Minimum remaining validity of a ticket, so that the start order arrives
/// before it expires.
constexpr TimeMs kTicketMarginMs = 60;

bool HasLatencyObjective(const Worker& worker) {
  return std::any_of(worker.runs.begin(), worker.runs.end(),
                     [](const auto& entry) {
                       return SpecOf(entry.second.task).tail_target_ms > 0;
                     });
}

/// Best-fit score, lower is better: the fraction of the worker that stays free
/// after the task. Long-running tasks go to the emptiest worker instead,
/// because their load varies and the loss of one worker then affects fewer of
/// them.
double Score(const Worker& worker, const PlacementNeed& need) {
  const Resources remaining = FreeOf(worker) - SizeOnWorker(*need.step);
  const Resources& all = worker.info.capacity;
  const double cores =
      static_cast<double>(remaining.milli_cores) /
      static_cast<double>(std::max<int64_t>(all.milli_cores, 1));
  const double memory =
      static_cast<double>(remaining.memory_mb) /
      static_cast<double>(std::max<int64_t>(all.memory_mb, 1));
  constexpr double kSkewWeight = 0.3;
  double score = cores + kSkewWeight * std::abs(cores - memory);
  if (need.step->filler) {
    // Fillers are spread by the processors that all tasks, including fillers,
    // leave unused, and kept away from tasks with a latency objective.
    score += static_cast<double>(-worker.filler_milli_cores) /
             static_cast<double>(std::max<int64_t>(all.milli_cores, 1));
    if (HasLatencyObjective(worker)) score -= 1;
  }
  if (need.step->long_running || need.step->filler) score = -score;
  if (worker.health.slowness > kSlowWorker) score += 10;
  if (worker.health.failures_in_a_row > 0) score += 5;
  if (!need.step->data_rack.empty() &&
      worker.info.rack != need.step->data_rack) {
    score += 20;
  }
  return score;
}

}  // namespace

bool IsEligible(const Worker& worker, const JobSpec& job,
                const StepSpec& step) {
  if (worker.info.service != job.service) return false;
  if (step.required_label.empty()) return true;
  return worker.info.labels.contains(step.required_label);
}

bool HasTicket(const StepState& state, const Worker& worker, TimeMs now_ms) {
  const auto found = state.tickets.find(worker.info.id);
  if (found == state.tickets.end()) return false;
  return found->second.incarnation == worker.info.incarnation &&
         found->second.valid_until_ms > now_ms + kTicketMarginMs;
}

bool HasRoom(const Worker& worker, const PlacementNeed& need) {
  const Resources size = SizeOnWorker(*need.step);
  Resources free = FreeOf(worker);
  free.milli_cores -= static_cast<int64_t>(
      need.reserve * static_cast<double>(worker.info.capacity.milli_cores));
  if (!Fits(size, free)) return false;
  if (need.step->max_per_worker == 0 || need.on_worker == nullptr) return true;
  const auto found = need.on_worker->find(worker.info.id);
  return found == need.on_worker->end() ||
         found->second < need.step->max_per_worker;
}

Worker* ChooseWorker(Fleet& fleet, const PlacementNeed& need) {
  Worker* best = nullptr;
  double best_score = std::numeric_limits<double>::infinity();
  for (auto& [id, worker] : fleet) {
    if (!IsUsable(worker, need.now_ms)) continue;
    if (!IsEligible(worker, *need.job, *need.step)) continue;
    if (!need.rack.empty() && worker.info.rack != need.rack) continue;
    if (need.avoid != nullptr && need.avoid->contains(id)) continue;
    if (need.job->policy.permits.required &&
        !HasTicket(*need.state, worker, need.now_ms)) {
      continue;
    }
    if (!HasRoom(worker, need)) continue;
    const double score = Score(worker, need);
    if (score >= best_score) continue;
    best = &worker;
    best_score = score;
  }
  return best;
}

namespace {

std::optional<std::vector<Worker*>> ChooseOnRack(Fleet& fleet,
                                                 PlacementNeed need,
                                                 uint32_t count) {
  std::map<std::string, uint32_t> on_worker;
  if (need.on_worker != nullptr) on_worker = *need.on_worker;
  need.on_worker = &on_worker;
  const Resources size = SizeOnWorker(*need.step);
  std::vector<Worker*> chosen;
  for (uint32_t i = 0; i < count; ++i) {
    Worker* worker = ChooseWorker(fleet, need);
    if (worker == nullptr) break;
    worker->used = worker->used + size;
    on_worker[worker->info.id]++;
    chosen.push_back(worker);
  }
  // The capacity was reserved only to check whether all tasks fit.
  for (Worker* worker : chosen) worker->used = worker->used - size;
  if (chosen.size() < count) return std::nullopt;
  return chosen;
}

}  // namespace

std::optional<std::vector<Worker*>> ChooseGang(Fleet& fleet,
                                               const PlacementNeed& need,
                                               uint32_t count) {
  if (!need.step->same_rack) return ChooseOnRack(fleet, need, count);
  std::set<std::string> racks;
  for (const auto& [id, worker] : fleet) racks.insert(worker.info.rack);
  for (const std::string& rack : racks) {
    PlacementNeed on_rack = need;
    on_rack.rack = rack;
    auto chosen = ChooseOnRack(fleet, on_rack, count);
    if (chosen) return chosen;
  }
  return std::nullopt;
}

}  // namespace dotterelcove::workflow
