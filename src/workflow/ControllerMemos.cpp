// What scheduling passes remember of the steps that have found no room, and the
// reserve for urgent work that this depends on.
#include <algorithm>

#include "workflow/ControllerInternal.h"

namespace dotterelcove::workflow {
namespace {

/// Work that is neither urgent nor long-running (priority number above 1)
/// leaves this fraction of each worker free, so that urgent work fits without
/// preemption.
constexpr double kUrgentReserve = 0.06;
/// While less than this fraction of a service's processors is in use, urgent
/// work has room without the reserve. Without this limit, a task could wait for
/// ever beside workers that are all half full.
constexpr double kReserveFromUse = 0.6;

}  // namespace

PlacementNeed NeedOf(const SchedulePass& pass, const TaskRef& step) {
  PlacementNeed need;
  need.job = &step.job->spec;
  need.step = &SpecOf(step);
  need.state = &StepOf(step);
  need.now_ms = pass.now_ms;
  if (need.job->policy.priority > 1) need.reserve = kUrgentReserve;
  return need;
}

ServicePass& ServiceOf(const Controller& c, SchedulePass& pass,
                       const std::string& service) {
  if (pass.last_service != nullptr && pass.last_service->first == service) {
    return pass.last_service->second;
  }
  const auto [found, is_new] = pass.services.try_emplace(service);
  if (is_new) {
    found->second.initial_reserve_cores =
        CoresBelowUse(c.fleet, service, kReserveFromUse);
  }
  pass.last_service = &*found;
  return found->second;
}

int64_t& ReserveCoresOf(const Controller& c, SchedulePass& pass,
                        const std::string& service) {
  ServicePass& totals = ServiceOf(c, pass, service);
  if (!totals.reserve_cores) {
    totals.reserve_cores = CoresBelowUse(c.fleet, service, kReserveFromUse);
  }
  return *totals.reserve_cores;
}

size_t CountReserveTasks(const Controller& c, SchedulePass& pass,
                         const PlacementNeed& need) {
  const std::string& service = need.job->policy.service;
  const int64_t milli_cores =
      pass.is_placing ? ReserveCoresOf(c, pass, service)
                      : ServiceOf(c, pass, service).initial_reserve_cores;
  if (milli_cores <= 0) return 0;
  if (need.step->gang) return need.step->count;
  const int64_t size = std::max<int64_t>(need.step->size.milli_cores, 1);
  // Rounded up: a task may be larger than what the reserves still give, and
  // where the rest is in use by tasks that do not end it would wait for ever.
  return static_cast<size_t>((milli_cores + size - 1) / size);
}

bool HoldsMemo(const Controller& c, const SchedulePass& pass, const Job& job,
               const StepState& state) {
  const PlacementMemo& memo = state.memo;
  return memo.pass + 1 == c.pass_number && memo.job_changes == job.changes &&
         memo.waiting == state.waiting && pass.now_ms < memo.retry_ms;
}

bool MayHaveRoom(const Controller& c, SchedulePass& pass, PlacementNeed need,
                 uint32_t startable) {
  const PlacementMemo& memo = need.state->memo;
  if (startable > memo.tried) return true;
  if (HasGainedRoom(pass.changes, need)) return true;
  if (need.reserve <= 0) return false;
  const size_t limit =
      std::min<size_t>(CountReserveTasks(c, pass, need), memo.unplaced);
  if (limit > memo.tried_in_reserve) return true;
  need.reserve = 0;
  return limit > 0 && HasGainedRoom(pass.changes, need);
}

namespace {

/// Whether permits have to be requested or runs preempted for a step that has
/// no room.
bool IsActionDue(const PlacementNeed& need, StepState& state) {
  StepPermits& permits = state.permits;
  if (need.job->policy.permits.required && permits.requests == 0 &&
      need.now_ms >= permits.next_request_ms) {
    if (!state.memo.has_none_to_request) return true;
    permits.next_request_ms = need.now_ms + RequestPauseMs(*need.job);
  }
  if (need.job->policy.priority != 0 || need.step->gang) return false;
  if (need.now_ms < state.next_preemption_ms) return false;
  if (state.memo.preemption == PreemptionOutlook::kUnknown) return true;
  state.next_preemption_ms = need.now_ms + kPreemptionPauseMs;
  return false;
}

}  // namespace

StepPlanning PlanMemoized(Controller& c, SchedulePass& pass,
                          const TaskRef& step) {
  StepState& state = StepOf(step);
  PlacementMemo& memo = state.memo;
  memo.pass = c.pass_number;
  if (memo.unplaced == 0) return StepPlanning::kSkip;
  const PlacementNeed need = NeedOf(pass, step);
  memo.preemption = UpdateOutlook(pass.changes, need, memo.preemption);
  if (memo.has_none_to_request && HasWorkerToRequest(pass.changes, need)) {
    memo.has_none_to_request = false;
  }
  // A step that waits for its account's quota holds back later work of the
  // account, so the quota is looked at in the order of the steps.
  if (step.job->usage != nullptr) return StepPlanning::kPlace;
  const uint32_t startable = memo.ready;
  if (MayHaveRoom(c, pass, need, startable)) return StepPlanning::kPlace;
  if (IsActionDue(need, state)) return StepPlanning::kRequest;
  ServicePass& totals = ServiceOf(c, pass, need.job->policy.service);
  if (need.reserve > 0 && totals.initial_reserve_cores > 0) {
    const OrderKey key = OrderKeyOf(c, pass, step);
    if (!totals.first_skipped || key < *totals.first_skipped) {
      totals.first_skipped = key;
    }
  }
  pass.unplaced += std::min(memo.unplaced, startable);
  pass.skipped++;
  return StepPlanning::kSkip;
}

void SetMemo(const Controller& c, StepState& state, uint64_t job_changes,
             TimeMs retry_ms) {
  state.memo.pass = c.pass_number;
  state.memo.job_changes = job_changes;
  state.memo.waiting = state.waiting;
  state.memo.retry_ms = retry_ms;
}

}  // namespace dotterelcove::workflow
