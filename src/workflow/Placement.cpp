#include "workflow/Placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <string_view>
#include <utility>

#include "workflow/Ordering.h"

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

/// A run is expected to meet its objective if this multiple of its expected run
/// time is left. Run times scatter, and the order and the report take time too.
constexpr double kSpeedMargin = 1.25;

bool HasTimeFor(const SpeedNeed& need, double kind_factor) {
  return kSpeedMargin * kind_factor * static_cast<double>(need.expected_ms) <=
         static_cast<double>(need.left_ms);
}

/// Lower is better: the slowest kind that is fast enough, or else the fastest.
double SpeedScore(const Worker& worker, const SpeedNeed& need) {
  // Outweighs the best-fit score, which is at most 1.3 and usually differs by
  // less than 1 between workers, and no other part of the score.
  constexpr double kWeight = 1.5;
  const double position =
      (worker.kind_factor - need.fastest) / (need.slowest - need.fastest);
  return HasTimeFor(need, worker.kind_factor) ? kWeight * (1 - position)
                                              : kWeight * (1 + position);
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
  if (need.speed.expected_ms > 0) score += SpeedScore(worker, need.speed);
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
  if (worker.info.service != job.policy.service) return false;
  if (step.required_label.empty()) return true;
  return worker.info.labels.contains(step.required_label);
}

namespace {

bool IsUsableFor(const Ticket& ticket, const Worker& worker, TimeMs now_ms) {
  return ticket.incarnation == worker.info.incarnation &&
         ticket.valid_until_ms > now_ms + kTicketMarginMs;
}

}  // namespace

bool HasTicket(const StepState& state, const Worker& worker, TimeMs now_ms) {
  const Ticket* ticket = FindTicket(state.permits, worker.slot);
  return ticket != nullptr && IsUsableFor(*ticket, worker, now_ms);
}

namespace {

/// The processors of the worker that the task has to leave free. A task that
/// would not fit beside the reserve even if the worker were idle need not: it
/// could run on no worker of that size.
int64_t ReserveOn(const Worker& worker, const PlacementNeed& need,
                  const Resources& size) {
  const int64_t all = worker.info.capacity.milli_cores;
  const auto reserve =
      static_cast<int64_t>(need.reserve * static_cast<double>(all));
  return size.milli_cores > all - reserve ? 0 : reserve;
}

}  // namespace

uint32_t PlacesWithinLimit(const Worker& worker, const PlacementNeed& need) {
  const uint32_t limit = need.step->max_per_worker;
  if (limit == 0) return need.step->count;
  return limit - std::min(limit, HeldRunsOfStep(worker, *need.state));
}

bool HasRoom(const Worker& worker, const PlacementNeed& need) {
  if (IsOnProbation(worker, need.now_ms)) return false;
  const Resources size = SizeOnWorker(*need.step);
  Resources free = FreeOf(worker);
  free.milli_cores -= ReserveOn(worker, need, size);
  return Fits(size, free) && PlacesWithinLimit(worker, need) > 0;
}

namespace {

bool IsCandidate(const Worker& worker, const PlacementNeed& need) {
  return IsUsable(worker, need.now_ms) &&
         IsEligible(worker, *need.job, *need.step);
}

}  // namespace

Candidates FindCandidates(Fleet& fleet, const PlacementNeed& need) {
  Candidates candidates;
  if (!need.job->policy.permits.required) {
    for (auto& [id, worker] : fleet.workers) {
      if (IsCandidate(worker, need)) candidates.push_back(&worker);
    }
    return candidates;
  }
  for (const Ticket& ticket : need.state->permits.tickets) {
    Worker* worker = fleet.by_slot[ticket.slot];
    if (worker == nullptr) continue;
    // Most tickets of a step that has waited for long have expired.
    if (!IsUsableFor(ticket, *worker, need.now_ms)) continue;
    if (IsCandidate(*worker, need)) candidates.push_back(worker);
  }
  return candidates;
}

SpeedNeed MakeSpeedNeed(const Candidates& candidates, const Job& job,
                        uint32_t step, TimeMs latest_start_ms, TimeMs now_ms) {
  const StepSpec& spec = job.spec.steps[step];
  if (spec.long_running || spec.filler || candidates.empty()) return {};
  SpeedNeed need;
  const auto [fastest, slowest] =
      std::minmax_element(candidates.begin(), candidates.end(),
                          [](const Worker* a, const Worker* b) {
                            return a->kind_factor < b->kind_factor;
                          });
  need.fastest = (*fastest)->kind_factor;
  need.slowest = (*slowest)->kind_factor;
  if (need.fastest >= need.slowest) return {};
  need.expected_ms = job.expected_ms[step];
  need.left_ms = latest_start_ms + need.expected_ms - now_ms;
  if (HasTimeFor(need, need.fastest)) return need;
  // Too late for the objective; what is left of the job's value counts.
  need.left_ms += (kLateFactor - 1) * job.objective_ms;
  return HasTimeFor(need, need.fastest) ? need : SpeedNeed();
}

int64_t CoresBelowUse(const Fleet& fleet, const std::string& service,
                      double use) {
  int64_t used = 0;
  int64_t all = 0;
  for (const auto& [id, worker] : fleet.workers) {
    if (worker.info.service != service || !worker.listed) continue;
    used += worker.used.milli_cores;
    all += worker.info.capacity.milli_cores;
  }
  return static_cast<int64_t>(use * static_cast<double>(all)) - used;
}

Worker* ChooseWorker(const Candidates& candidates, const PlacementNeed& need) {
  Worker* best = nullptr;
  double best_score = std::numeric_limits<double>::infinity();
  for (Worker* worker : candidates) {
    if (!HasRoom(*worker, need)) continue;
    if (need.avoid != nullptr && need.avoid->contains(worker->info.id)) {
      continue;
    }
    const double score = Score(*worker, need);
    if (score >= best_score) continue;
    best = worker;
    best_score = score;
  }
  return best;
}

namespace {

/// The work that is lost if the worker crashes, in core-milliseconds.
int64_t WorkAtRisk(const Worker& worker, TimeMs now_ms) {
  // A task that lasts, or a gang, is interrupted for about this long.
  constexpr TimeMs kInterruptionMs = 5'000;
  int64_t work = 0;
  for (const auto& [name, run] : worker.runs) {
    const StepSpec& spec = SpecOf(run.task);
    const bool is_costly = spec.long_running || spec.gang;
    const TimeMs ran_ms = std::max<TimeMs>(now_ms - run.placed_ms, 0);
    work += std::max<int64_t>(spec.size.milli_cores, 1) *
            (is_costly ? kInterruptionMs : ran_ms);
  }
  return work;
}

}  // namespace

Worker* ChooseLeastAtRisk(const Candidates& candidates,
                          const PlacementNeed& need) {
  Worker* best = nullptr;
  // Where all runs have survived their start, a crash shows who is to blame.
  std::pair<bool, int64_t> least{true, std::numeric_limits<int64_t>::max()};
  for (Worker* worker : candidates) {
    if (!HasRoom(*worker, need)) continue;
    if (need.avoid != nullptr && need.avoid->contains(worker->info.id)) {
      continue;
    }
    const std::pair<bool, int64_t> risk{!HaveAllSurvivedStart(*worker),
                                        WorkAtRisk(*worker, need.now_ms)};
    if (risk >= least) continue;
    best = worker;
    least = risk;
  }
  return best;
}

StepPlan PlanStep(const Candidates& candidates, PlacementNeed need,
                  const std::vector<uint32_t>& waiting) {
  StepPlan plan;
  bool full = false;
  for (const uint32_t index : waiting) {
    const TaskState& task = need.state->tasks[index];
    const bool avoids = need.now_ms < task.avoid_until_ms;
    need.avoid = avoids ? &task.avoid : nullptr;
    Worker* worker = full ? nullptr : ChooseWorker(candidates, need);
    if (worker == nullptr) {
      // The other tasks have the same size and differ only in the workers that
      // they avoid.
      full = full || !avoids;
      plan.unplaced++;
      continue;
    }
    ReserveFor(*worker, *need.step, *need.state);
    plan.placed.push_back({index, worker});
  }
  for (const PlannedTask& task : plan.placed) {
    ReleaseFor(*task.worker, *need.step, *need.state);
  }
  return plan;
}

namespace {

std::optional<std::vector<Worker*>> ChooseAll(const Candidates& candidates,
                                              const PlacementNeed& need,
                                              uint32_t count) {
  std::vector<uint32_t> members(count);
  std::iota(members.begin(), members.end(), 0U);
  const StepPlan plan = PlanStep(candidates, need, members);
  if (plan.unplaced > 0) return std::nullopt;
  std::vector<Worker*> chosen;
  for (const PlannedTask& task : plan.placed) chosen.push_back(task.worker);
  return chosen;
}

}  // namespace

std::optional<std::vector<Worker*>> ChooseGang(const Candidates& candidates,
                                               const PlacementNeed& need,
                                               uint32_t count) {
  if (!need.step->same_rack) return ChooseAll(candidates, need, count);
  std::map<std::string_view, Candidates> racks;
  for (Worker* worker : candidates) racks[worker->info.rack].push_back(worker);
  for (const auto& [rack, workers] : racks) {
    auto chosen = ChooseAll(workers, need, count);
    if (chosen) return chosen;
  }
  return std::nullopt;
}

}  // namespace dotterelcove::workflow
