// The scheduling pass: collects waiting steps, sorts them and places their
// tasks.
#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"
#include "workflow/Ordering.h"
#include "workflow/Preemption.h"

namespace dotterelcove::workflow {
namespace {

/// Delay before a pass, so that a burst of events is handled in one pass.
constexpr TimeMs kPassDelayMs = 2;
/// The pause after a pass is at least this multiple of its duration. Otherwise
/// an owner short of processor time would spend all of it on passes, while
/// answers wait until they count as lost.
constexpr TimeMs kPassPauseFactor = 3;
struct WaitingStep {
  OrderKey key;
  Job* job = nullptr;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  StepPlanning planning = StepPlanning::kPlace;
  /// Its memo held at the beginning of the pass. The tasks are looked up once
  /// there is room for any.
  bool has_memo = false;
  std::vector<uint32_t> tasks;
  /// `Job::changes` when it was collected: a start may be refused at once.
  uint64_t job_changes = 0;
  /// The rest of what Waiting says.
  TimeMs retry_ms = 0;
  bool is_repeatable = true;
};

/// The waiting tasks of a step.
struct Waiting {
  /// Those that may be placed now. A gang waits as a whole.
  std::vector<uint32_t> ready;
  /// When the next one may be placed, or may be placed on more workers.
  TimeMs retry_ms = std::numeric_limits<TimeMs>::max();
  /// Whether only what a memo covers decides about their placement. It does not
  /// cover suspects, of which the fleet takes a limited number at a time.
  bool is_repeatable = true;
};

Waiting FindWaiting(const Job& job, const StepSpec& spec,
                    const StepState& state, TimeMs now_ms) {
  Waiting waiting;
  for (uint32_t i = 0; i < state.tasks.size(); ++i) {
    const TaskState& task = state.tasks[i];
    if (task.phase != TaskPhase::kWaiting) continue;
    if (!task.crashes.empty()) {
      waiting.is_repeatable = false;
      if (job.has_unstored_crashes) continue;
    }
    if (now_ms < task.avoid_until_ms) {
      waiting.retry_ms = std::min(waiting.retry_ms, task.avoid_until_ms);
    }
    if (now_ms >= task.not_before_ms) {
      waiting.ready.push_back(i);
    } else {
      waiting.retry_ms = std::min(waiting.retry_ms, task.not_before_ms);
    }
  }
  if (spec.gang && waiting.ready.size() < state.tasks.size()) {
    waiting.ready.clear();
  }
  return waiting;
}

/// Leaves out tasks of which an orphaned run has not ended yet. `step` refers
/// to any task of the step.
void RemoveOrphanedTasks(const Controller& c, const TaskRef& step,
                         std::vector<uint32_t>& ready) {
  if (c.orphaned.empty()) return;
  const size_t removed = std::erase_if(ready, [&](uint32_t index) {
    return c.orphaned.contains(
        MakeTaskName({step.job, step.occurrence, step.step, index}));
  });
  if (removed > 0 && SpecOf(step).gang) ready.clear();
}

/// Whether more work waits for the service than it can do soon.
bool IsOverloaded(const Controller& c, const std::string& service) {
  // Shorter backlogs come and go with the arrivals of single large jobs.
  constexpr TimeMs kOverloadMs = 1'000;
  const auto found = c.backlog_ms.find(service);
  return found != c.backlog_ms.end() && found->second > kOverloadMs;
}

/// Looks up the tasks that are ready.
void FillTasks(const Controller& c, const TaskRef& ref,
               const SchedulePass& pass, WaitingStep& step) {
  Waiting waiting =
      FindWaiting(*ref.job, SpecOf(ref), StepOf(ref), pass.now_ms);
  RemoveOrphanedTasks(c, ref, waiting.ready);
  step.tasks = std::move(waiting.ready);
  step.retry_ms = waiting.retry_ms;
  step.is_repeatable = waiting.is_repeatable;
}

/// Adds the step if the pass has to do something for it.
void CollectStep(Controller& c, SchedulePass& pass, const TaskRef& ref,
                 std::vector<WaitingStep>& steps) {
  Job& job = *ref.job;
  StepState& state = StepOf(ref);
  WaitingStep step;
  step.has_memo = HoldsMemo(c, pass, job, state);
  if (step.has_memo) {
    step.planning = PlanMemoized(c, pass, ref);
    if (step.planning == StepPlanning::kSkip) return;
  } else {
    state.memo = PlacementMemo();
    FillTasks(c, ref, pass, step);
    if (step.tasks.empty()) {
      if (step.is_repeatable) SetMemo(c, state, job.changes, step.retry_ms);
      return;
    }
  }
  step.job = &job;
  step.job_changes = job.changes;
  step.occurrence = ref.occurrence;
  step.step = ref.step;
  step.key = OrderKeyOf(c, pass, ref);
  steps.push_back(std::move(step));
}

/// Adds those of the job's waiting steps for which the pass has to do
/// something; returns whether later passes have to look at the job again
/// without a further event.
bool CollectJob(Controller& c, SchedulePass& pass, Job& job,
                std::vector<WaitingStep>& steps) {
  DropCompleted(job);
  if (job.spec.occurrences > 0) AddDueOccurrences(job, pass.wall_ms);
  bool is_watched = job.next_occurrence < job.spec.occurrences;
  bool has_later_steps = false;
  for (auto& [number, occurrence] : job.occurrences) {
    if (occurrence.complete) continue;
    for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
      StepState& state = occurrence.steps[i];
      if (state.done == state.tasks.size()) continue;
      if (!IsStepReady(job, occurrence, i)) {
        has_later_steps = true;
        continue;
      }
      if (state.ready_since_ms < 0) state.ready_since_ms = pass.now_ms;
      if (state.waiting == 0) continue;
      is_watched = true;
      ServiceOf(c, pass, job.spec.policy.service).waiting_work +=
          job.spec.steps[i].size.milli_cores * job.spec.steps[i].estimate_ms *
          state.waiting;
      CollectStep(c, pass, {&job, number, i, 0}, steps);
    }
  }
  if (has_later_steps) pass.with_later_steps.push_back(&job);
  return is_watched || has_later_steps;
}

std::string TicketFor(const StepState& state, const Worker& worker) {
  const Ticket* ticket = FindTicket(state.permits, worker.slot);
  return ticket == nullptr ? std::string() : ticket->text;
}

/// One entry of the log line of a step, with what decided it: the processors
/// that were free on the worker, the age of its last report, the part of the
/// fencing token that identifies its incarnation, the age of the entry that its
/// labels are from and, for a step with a limit per worker, the number of its
/// runs that were believed to be there.
std::string DescribePlacement(const Controller& c, const PlacementNeed& need,
                              uint32_t index, uint32_t run,
                              const Worker& worker) {
  std::string text = std::to_string(index);
  text += ':' + std::to_string(run);
  text += '@' + worker.info.id;
  text += '/' + std::to_string(FreeOf(worker).milli_cores);
  text += '/' + std::to_string(c.runtime.now() - worker.clock_read_ms);
  text += '/' + std::to_string(worker.token_increment);
  text += '/' + std::to_string(need.now_ms - worker.entry_read_ms);
  if (need.step->max_per_worker == 0) return text;
  return text + '/' + std::to_string(HeldRunsOfStep(worker, *need.state));
}

/// One line tells all tasks of a step that a pass has placed, so that none has
/// to be left out in a burst.
void LogPlaced(const Controller& c, const WaitingStep& step,
               const std::string& tasks, uint32_t unplaced) {
  if (tasks.empty()) return;
  const StepState& state =
      step.job->occurrences.at(step.occurrence).steps[step.step];
  const StepSpec& spec = step.job->spec.steps[step.step];
  LogAlways(
      LogLevel::kInfo, "tasks_placed",
      {F("step", MakeStepName(*step.job, step.occurrence, step.step)),
       F("tasks", tasks), F("unplaced", unplaced), F("epoch", c.epoch),
       F("waited_ms", c.runtime.now() - state.ready_since_ms),
       F("requires", spec.required_label), F("limit", spec.max_per_worker)});
}

/// Places the gang if all its tasks fit; returns the number of tasks that do
/// not.
uint32_t PlaceGang(Controller& c, const WaitingStep& step,
                   const Candidates& candidates, const PlacementNeed& need) {
  const auto workers = ChooseGang(candidates, need, need.step->count);
  if (!workers) return need.step->count;
  const StepState& state = *need.state;
  // All members get the same run number and the same checkpoint.
  uint32_t run = 0;
  for (const TaskState& task : state.tasks)
    run = std::max(run, NextRun(c, task));
  const std::string checkpoint = state.tasks.front().checkpoint;
  const uint64_t gang = (c.next_gang++ << 1U);
  std::string placed;
  for (uint32_t i = 0; i < need.step->count; ++i) {
    Worker* worker = (*workers)[i];
    if (i > 0) placed += ' ';
    placed += DescribePlacement(c, need, i, run, *worker);
    PlaceTask(c, {{step.job, step.occurrence, step.step, i},
                  worker,
                  run,
                  checkpoint,
                  TicketFor(state, *worker),
                  gang});
  }
  LogPlaced(c, step, placed, 0);
  return 0;
}

/// How many more of the workers in use may get a suspect now.
size_t CountFreeProbations(const Fleet& fleet, TimeMs now_ms) {
  size_t in_use = 0;
  size_t on_probation = 0;
  for (const auto& [id, worker] : fleet.workers) {
    if (!worker.reachable) continue;
    ++in_use;
    if (IsOnProbation(worker, now_ms)) ++on_probation;
  }
  const size_t limit = MaxProbations(in_use);
  return limit - std::min(limit, on_probation);
}

/// Places suspects one by one, each on the worker with the least work to lose.
/// Their number at a time is limited, so that they never take the whole fleet
/// down. Returns the number of those that found no room.
uint32_t PlaceSuspects(Controller& c, const WaitingStep& step,
                       const std::vector<uint32_t>& suspects,
                       const Candidates& candidates, PlacementNeed need) {
  size_t left = CountFreeProbations(c.fleet, need.now_ms);
  uint32_t unplaced = 0;
  std::string placed;
  for (const uint32_t index : suspects) {
    if (left == 0) break;
    const TaskState& task = need.state->tasks[index];
    need.avoid = need.now_ms < task.avoid_until_ms ? &task.avoid : nullptr;
    Worker* worker = ChooseLeastAtRisk(candidates, need);
    if (worker == nullptr) {
      unplaced++;
      continue;
    }
    left--;
    const uint32_t run = NextRun(c, task);
    if (!placed.empty()) placed += ' ';
    placed += DescribePlacement(c, need, index, run, *worker);
    PlaceTask(c, {{step.job, step.occurrence, step.step, index},
                  worker,
                  run,
                  task.checkpoint,
                  TicketFor(*need.state, *worker),
                  0});
  }
  LogPlaced(c, step, placed, unplaced);
  return unplaced;
}

/// Places the tasks that fit; returns the number of those that do not.
uint32_t PlaceTasks(Controller& c, const WaitingStep& step,
                    const Candidates& candidates, const PlacementNeed& need) {
  std::vector<uint32_t> suspects;
  std::vector<uint32_t> others;
  for (const uint32_t index : step.tasks) {
    const TaskRef task{step.job, step.occurrence, step.step, index};
    (IsSuspect(task) ? suspects : others).push_back(index);
  }
  uint32_t without_room = 0;
  if (!suspects.empty()) {
    without_room = PlaceSuspects(c, step, suspects, candidates, need);
  }
  const StepPlan plan = PlanStep(candidates, need, others);
  std::string placed;
  for (const PlannedTask& planned : plan.placed) {
    const TaskState& task = need.state->tasks[planned.index];
    const uint32_t run = NextRun(c, task);
    if (!placed.empty()) placed += ' ';
    placed += DescribePlacement(c, need, planned.index, run, *planned.worker);
    PlaceTask(c, {{step.job, step.occurrence, step.step, planned.index},
                  planned.worker,
                  run,
                  task.checkpoint,
                  TicketFor(*need.state, *planned.worker),
                  0});
  }
  LogPlaced(c, step, placed, plan.unplaced);
  return plan.unplaced + without_room;
}

/// Preempts runs to make room for urgent tasks that could not be placed. Work
/// beyond its account's share, and late work in an overloaded service, must not
/// cost other work what it has done.
void Preempt(Controller& c, const WaitingStep& step, const PlacementNeed& need,
             uint32_t tasks) {
  StepState& state = step.job->occurrences.at(step.occurrence).steps[step.step];
  if (need.now_ms < state.next_preemption_ms) return;
  state.next_preemption_ms = need.now_ms + kPreemptionPauseMs;
  if (step.key.is_late || step.key.is_beyond_share) return;
  if (state.memo.preemption != PreemptionOutlook::kUnknown) return;
  const Candidates candidates = FindCandidates(c.fleet, need);
  const std::vector<Victim> victims = ChooseVictims(candidates, need, tasks);
  if (victims.empty()) {
    state.memo.preemption = HasRoomAfterStops(candidates, need)
                                ? PreemptionOutlook::kRoomPending
                                : PreemptionOutlook::kNoVictims;
  }
  for (const Victim& victim : victims) {
    if (Worker* worker = FindWorker(c.fleet, victim.worker)) {
      StopRun(c, *worker, victim.task, "preempted");
    }
  }
}

/// Requests permits for the tasks if the queue requires them.
void RequestPermitsFor(Controller& c, SchedulePass& pass,
                       const WaitingStep& step, const PlacementNeed& need,
                       uint32_t tasks) {
  if (!step.job->spec.policy.permits.required) return;
  RequestPermits(c, pass, {step.job, step.occurrence, step.step, 0}, need,
                 tasks);
}

/// Places what fits; returns the number of tasks that do not.
uint32_t PlaceWaiting(Controller& c, const WaitingStep& step,
                      const Candidates& candidates, const PlacementNeed& need) {
  return need.step->gang ? PlaceGang(c, step, candidates, need)
                         : PlaceTasks(c, step, candidates, need);
}

/// Places those of the step's waiting tasks that have room in the reserves
/// only, as long as the service is little used; returns the number of tasks
/// that still have none. `need` has no reserve.
uint32_t PlaceInReserve(Controller& c, SchedulePass& pass,
                        const WaitingStep& step, const Candidates& candidates,
                        const PlacementNeed& need, size_t limit) {
  WaitingStep rest = step;
  std::erase_if(rest.tasks, [&](uint32_t index) {
    return need.state->tasks[index].phase != TaskPhase::kWaiting;
  });
  const size_t waiting = rest.tasks.size();
  if (waiting > limit) rest.tasks.resize(limit);
  const size_t tried = rest.tasks.size();
  const size_t placed = tried - PlaceWaiting(c, rest, candidates, need);
  ReserveCoresOf(c, pass, need.job->policy.service) -=
      static_cast<int64_t>(placed) * need.step->size.milli_cores;
  return static_cast<uint32_t>(waiting - placed);
}

/// Places the step's tasks, of which `ready` were ready, and remembers what
/// hindered it; returns the number of tasks that have no room. Takes the
/// reserve from `need` if the step may use it.
uint32_t TryPlacement(Controller& c, SchedulePass& pass,
                      const WaitingStep& step, PlacementNeed& need,
                      StepState& state, uint32_t ready) {
  c.load.searches++;
  const Candidates candidates = FindCandidates(c.fleet, need);
  if (!c.run_times.fit.kinds.empty()) {
    need.speed = MakeSpeedNeed(candidates, *step.job, step.step,
                               step.key.latest_start_ms, pass.now_ms);
  }
  uint32_t unplaced = PlaceWaiting(c, step, candidates, need);
  uint32_t tried_in_reserve = 0;
  if (unplaced > 0 && need.reserve > 0) {
    const size_t limit = CountReserveTasks(c, pass, need);
    if (limit > 0) {
      need.reserve = 0;
      const uint32_t before = unplaced;
      unplaced = PlaceInReserve(c, pass, step, candidates, need, limit);
      if (unplaced == before) {
        tried_in_reserve =
            static_cast<uint32_t>(std::min<size_t>(limit, before));
      }
    }
  }
  if (unplaced == 0 || !step.is_repeatable) return unplaced;
  const auto tried = static_cast<uint32_t>(step.tasks.size());
  state.memo.ready = ready - (tried - unplaced);
  state.memo.tried = unplaced;
  state.memo.unplaced = unplaced;
  state.memo.tried_in_reserve = tried_in_reserve;
  SetMemo(c, state, step.job_changes, step.retry_ms);
  return unplaced;
}

/// Drops the memo of a step that is to be placed. What is known of its
/// preemption holds on if it does not depend on the number of its tasks.
void DropMemo(PlacementMemo& memo) {
  const bool no_victims = memo.preemption == PreemptionOutlook::kNoVictims;
  memo = PlacementMemo();
  if (no_victims) memo.preemption = PreemptionOutlook::kNoVictims;
}

/// Remembers a step of which the quota lets nothing start, so that its tasks
/// are not looked up in each pass. It is tried once the quota does.
void RememberQuota(const Controller& c, const WaitingStep& step,
                   StepState& state, uint32_t ready) {
  state.memo.tried = 0;
  if (step.has_memo || !step.is_repeatable) return;
  state.memo.ready = ready;
  state.memo.unplaced = ready;
  SetMemo(c, state, step.job_changes, step.retry_ms);
}

void PlaceStep(Controller& c, SchedulePass& pass, WaitingStep& step) {
  const TaskRef ref{step.job, step.occurrence, step.step, 0};
  StepState& state = StepOf(ref);
  PlacementNeed need = NeedOf(pass, ref);
  const ServicePass& totals = ServiceOf(c, pass, need.job->policy.service);
  if (totals.first_skipped && *totals.first_skipped < step.key) {
    ReserveCoresOf(c, pass, need.job->policy.service);
  }
  const uint32_t ready = step.has_memo
                             ? state.memo.ready
                             : static_cast<uint32_t>(step.tasks.size());
  const uint32_t startable = CountStartable(c, pass, ref, ready);
  if (startable == 0) {
    RememberQuota(c, step, state, ready);
    return;
  }
  if (!IsOwnershipConfirmed(c, *step.job)) {
    // Permits take as long as the commit that confirms the ownership.
    RequestPermitsFor(c, pass, step, need, startable);
    return;
  }
  // Earlier steps may have taken the room.
  const bool has_room =
      step.planning == StepPlanning::kPlace &&
      (!step.has_memo || MayHaveRoom(c, pass, need, startable));
  uint32_t unplaced = 0;
  if (has_room) {
    if (step.has_memo) {
      DropMemo(state.memo);
      FillTasks(c, ref, pass, step);
    }
    step.tasks.resize(std::min<size_t>(step.tasks.size(), startable));
    unplaced = TryPlacement(c, pass, step, need, state, ready);
  } else {
    unplaced = std::min(state.memo.unplaced, startable);
    if (need.reserve > 0 && CountReserveTasks(c, pass, need) > 0) {
      need.reserve = 0;
    }
  }
  if (unplaced == 0) return;
  pass.unplaced += unplaced;
  RequestPermitsFor(c, pass, step, need, unplaced);
  if (need.job->policy.priority == 0 && !need.step->gang) {
    Preempt(c, step, need, unplaced);
  }
}

/// The waiting steps of all watched jobs for which the pass has to do
/// something, in the order in which they are placed. Jobs without any waiting
/// step are no longer watched.
std::vector<WaitingStep> CollectSteps(Controller& c, SchedulePass& pass) {
  std::vector<WaitingStep> steps;
  const bool is_recovering = IsRecovering(c);
  for (auto it = c.watched.begin(); it != c.watched.end();) {
    Job& job = *it->second;
    const bool is_held = is_recovering && MustWaitForRecovery(c, job);
    const bool is_watched =
        !IsFinal(job.phase) && (is_held || CollectJob(c, pass, job, steps));
    it = is_watched ? std::next(it) : c.watched.erase(it);
  }
  std::sort(steps.begin(), steps.end(),
            [](const WaitingStep& a, const WaitingStep& b) {
              if (a.key != b.key) return a.key < b.key;
              return std::tie(a.job->spec.id, a.occurrence, a.step) <
                     std::tie(b.job->spec.id, b.occurrence, b.step);
            });
  return steps;
}

/// Records how long each service would take for the work that waited when this
/// pass began.
void UpdateBacklogs(Controller& c, const SchedulePass& pass) {
  c.backlog_ms.clear();
  for (const auto& [service, totals] : pass.services) {
    if (totals.waiting_work == 0) continue;
    int64_t milli_cores = 0;
    for (const auto& [id, worker] : c.fleet.workers) {
      if (worker.info.service != service || !worker.listed) continue;
      milli_cores += worker.info.capacity.milli_cores;
    }
    c.backlog_ms[service] =
        totals.waiting_work / std::max<int64_t>(milli_cores, 1);
  }
}

void RunSchedule(Controller& c) {
  c.schedule_wanted = false;
  if (!c.loaded || c.awaits_configuration || IsSuspended(c)) return;
  RecordFleet(c);
  SchedulePass pass;
  pass.now_ms = c.runtime.now();
  pass.wall_ms = c.runtime.wall_ms();
  c.pass_number++;
  pass.changes = TakeChanges(c.fleet, pass.now_ms);
  std::vector<WaitingStep> steps = CollectSteps(c, pass);
  pass.is_placing = true;
  for (WaitingStep& step : steps) PlaceStep(c, pass, step);
  for (Job* job : pass.with_later_steps) PrefetchPermits(c, pass, *job);
  UpdateBacklogs(c, pass);
  const TimeMs end_ms = c.runtime.now();
  const TimeMs took_ms = end_ms - pass.now_ms;
  c.next_pass_ms = end_ms + kPassPauseFactor * took_ms;
  c.load.passes++;
  c.load.pass_ms += took_ms;
  c.load.max_pass_ms = std::max(c.load.max_pass_ms, took_ms);
  c.load.waiting_steps = steps.size() + pass.skipped;
  c.load.unplaced_tasks = pass.unplaced;
}

}  // namespace

bool MustWaitForRecovery(const Controller& c, const Job& job) {
  if (job.version > c.takeover_version || !IsRecovering(c)) return false;
  return std::any_of(
      c.recovery_pending.begin(), c.recovery_pending.end(),
      [&](const auto& worker) { return job.version <= worker.second; });
}

bool IsOwnershipConfirmed(const Controller& c, const Job& job) {
  return job.version <= c.log->row().version;
}

void WatchJob(Controller& c, Job& job) {
  job.changes++;
  KeepWatching(c, job);
}

void KeepWatching(Controller& c, Job& job) {
  c.watched[job.spec.id] = &job;
  RequestSchedule(c);
}

void TryAllSteps(Controller& c) { c.pass_number++; }

OrderKey OrderKeyOf(const Controller& c, const SchedulePass& pass,
                    const TaskRef& step) {
  const OrderTime time{pass.now_ms, pass.wall_ms,
                       IsOverloaded(c, step.job->spec.policy.service)};
  return MakeOrderKey(*step.job, step.occurrence, step.step, time);
}

void RequestSchedule(Controller& c) {
  if (c.schedule_wanted || c.stopped) return;
  c.schedule_wanted = true;
  const TimeMs pause_ms = c.next_pass_ms - c.runtime.now();
  c.runtime.after(std::max(kPassDelayMs, pause_ms),
                  Guard(c, [](Controller& self) { RunSchedule(self); }));
}

}  // namespace dotterelcove::workflow
