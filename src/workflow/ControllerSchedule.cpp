// The scheduling pass: collects waiting steps, sorts them and places their
// tasks.
#include <algorithm>
#include <utility>

#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"
#include "workflow/Ordering.h"
#include "workflow/Preemption.h"

namespace dotterelcove::workflow {
namespace {

/// Delay before a pass, so that a burst of events is handled in one pass.
constexpr TimeMs kPassDelayMs = 2;
/// Pause before the next permit request of a step.
constexpr TimeMs kUrgentRequestPauseMs = 60;
constexpr TimeMs kRequestPauseMs = 250;
/// Permits of the next step are requested this much earlier than the request
/// takes before the step can start.
constexpr TimeMs kPrefetchMarginMs = 150;
/// Work that is neither urgent nor long-running (priority number above 1)
/// leaves this fraction of each worker free, so that urgent work fits without
/// preemption.
constexpr double kUrgentReserve = 0.06;

struct WaitingStep {
  OrderKey key;
  Job* job = nullptr;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  std::vector<uint32_t> tasks;
};

/// Whether a worker that has not answered yet may still hold a task of the job,
/// which is the case if the job was accepted before the worker was cordoned.
bool MustWaitForRecovery(const Controller& c, const Job& job) {
  if (!job.from_predecessor || !IsRecovering(c)) return false;
  return std::any_of(
      c.recovery_pending.begin(), c.recovery_pending.end(),
      [&](const auto& worker) { return job.version <= worker.second; });
}

/// Tasks of the step that may be placed now. A gang waits as a whole.
std::vector<uint32_t> FindWaiting(const StepSpec& spec, const StepState& state,
                                  TimeMs now_ms) {
  std::vector<uint32_t> waiting;
  if (state.done == state.tasks.size()) return waiting;
  for (uint32_t i = 0; i < state.tasks.size(); ++i) {
    const TaskState& task = state.tasks[i];
    const bool ready =
        task.phase == TaskPhase::kWaiting && now_ms >= task.not_before_ms;
    if (ready) waiting.push_back(i);
  }
  if (spec.gang && waiting.size() < state.tasks.size()) waiting.clear();
  return waiting;
}

void CollectJob(Controller& c, Job& job, std::vector<WaitingStep>& steps) {
  const TimeMs now_ms = c.runtime.now();
  const int64_t wall_ms = c.runtime.wall_ms();
  if (job.spec.occurrences > 0) AddDueOccurrences(job, wall_ms);
  for (auto& [number, occurrence] : job.occurrences) {
    if (occurrence.complete) continue;
    for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
      StepState& state = occurrence.steps[i];
      if (state.done == state.tasks.size()) continue;
      if (!IsStepReady(job, occurrence, i)) continue;
      if (state.ready_since_ms < 0) state.ready_since_ms = now_ms;
      WaitingStep step;
      step.tasks = FindWaiting(job.spec.steps[i], state, now_ms);
      if (step.tasks.empty()) continue;
      step.job = &job;
      step.occurrence = number;
      step.step = i;
      step.key = MakeOrderKey(job, number, i, now_ms, wall_ms);
      steps.push_back(std::move(step));
    }
  }
}

std::map<std::string, uint32_t> CountOnWorkers(const StepState& state) {
  std::map<std::string, uint32_t> counts;
  for (const TaskState& task : state.tasks) {
    if (!task.worker.empty()) counts[task.worker]++;
  }
  return counts;
}

void OnPermits(Controller& c, const PermitRequest& request, TaskRef ref,
               const std::string& job_id, const std::string& client, bool slow,
               TimeMs asked_ms, const PermitAnswer& answer) {
  const auto asked = c.permit_clients.find(client);
  if (asked != c.permit_clients.end()) {
    asked->second.outstanding--;
    if (slow) asked->second.slow--;
    if (asked->second.outstanding == 0) asked->second.busy_until_ms = 0;
  }
  RequestSchedule(c);
  Job* job = FindJob(c.jobs, job_id);
  if (job == nullptr || job != ref.job) return;
  StepState& state = StepOf(ref);
  state.requests--;
  if (c.observe) c.observe("permit", c.runtime.now() - asked_ms);
  Log(LogLevel::kInfo, "permits_answered",
      {F("step", request.step),
       F("status", NameOf(kPermitStatusNames, answer.status)),
       F("named", request.workers.size()), F("allowed", answer.grants.size()),
       F("asked_by", client), F("took_ms", c.runtime.now() - asked_ms)});
  if (answer.status != PermitStatus::kOk) {
    state.next_request_ms = c.runtime.now() + kRequestPauseMs;
    return;
  }
  std::map<std::string, std::string> granted;
  for (const PermitGrant& grant : answer.grants) {
    granted[grant.worker] = grant.ticket;
  }
  // Half a round trip may have passed since the ticket was issued.
  constexpr TimeMs kAnswerAgeMs = 20;
  for (const std::string& id : request.workers) {
    const auto grant = granted.find(id);
    if (grant == granted.end()) {
      state.denied.insert(id);
      continue;
    }
    Ticket& ticket = state.tickets[id];
    ticket.text = grant->second;
    ticket.valid_until_ms = c.runtime.now() + answer.validity_ms - kAnswerAgeMs;
    const auto worker = c.fleet.find(id);
    if (worker != c.fleet.end()) {
      ticket.incarnation = worker->second.info.incarnation;
    }
  }
}

/// Sends a permit request for the step unless one is in flight or could not
/// help.
void RequestPermits(Controller& c, const TaskRef& ref,
                    const PlacementNeed& need, uint32_t tasks) {
  StepState& state = StepOf(ref);
  const TimeMs now_ms = c.runtime.now();
  if (state.requests > 0 || now_ms < state.next_request_ms) return;
  PermitRequest request;
  request.workers = ChooseWorkersToRequest(c.fleet, need, tasks);
  const bool urgent = ref.job->spec.policy.priority == 0;
  const TimeMs pause_ms = urgent ? kUrgentRequestPauseMs : kRequestPauseMs;
  if (request.workers.empty()) {
    state.next_request_ms = now_ms + pause_ms;
    return;
  }
  request.step = MakeStepName(*ref.job, ref.occurrence, ref.step);
  const TimeMs cost_ms =
      RequestCostMs(ref.job->spec.policy.permits, request.workers.size());
  PermitClient* client = ChoosePermitClient(c.permit_clients, cost_ms, now_ms);
  if (client == nullptr) return;
  std::string client_name;
  for (const auto& [name, each] : c.permit_clients) {
    if (&each == client) client_name = name;
  }
  const bool slow = cost_ms > kSlowRequestMs;
  client->busy_until_ms = std::max(client->busy_until_ms, now_ms) + cost_ms;
  client->outstanding++;
  if (slow) client->slow++;
  state.requests++;
  state.next_request_ms = now_ms + pause_ms;
  c.stats.requests++;
  client->request(
      request, Guard(c, [request, ref, id = ref.job->spec.id, client_name, slow,
                         now_ms](Controller& self, const PermitAnswer& answer) {
        OnPermits(self, request, ref, id, client_name, slow, now_ms, answer);
      }));
}

std::string TicketFor(const StepState& state, const Worker& worker) {
  const auto found = state.tickets.find(worker.info.id);
  return found == state.tickets.end() ? std::string() : found->second.text;
}

void PlaceGang(Controller& c, const WaitingStep& step,
               const PlacementNeed& need) {
  StepState& state = step.job->occurrences.at(step.occurrence).steps[step.step];
  const auto workers = ChooseGang(c.fleet, need, need.step->count);
  if (!workers) {
    if (step.job->spec.policy.permits.required) {
      RequestPermits(c, {step.job, step.occurrence, step.step, 0}, need,
                     need.step->count);
    }
    return;
  }
  // All members get the same run number and the same checkpoint.
  uint32_t run = 0;
  for (const TaskState& task : state.tasks)
    run = std::max(run, NextRun(c, task));
  const std::string checkpoint = state.tasks.front().checkpoint;
  const uint64_t gang = (c.next_gang++ << 1U);
  for (uint32_t i = 0; i < need.step->count; ++i) {
    Worker* worker = (*workers)[i];
    PlaceTask(c, {{step.job, step.occurrence, step.step, i},
                  worker,
                  run,
                  checkpoint,
                  TicketFor(state, *worker),
                  gang});
  }
}

/// Preempts runs to make room for urgent tasks that could not be placed.
void Preempt(Controller& c, const PlacementNeed& need, uint32_t tasks) {
  for (const Victim& victim : ChooseVictims(c.fleet, need, tasks)) {
    const auto worker = c.fleet.find(victim.worker);
    if (worker == c.fleet.end()) continue;
    StopRun(c, worker->second, victim.task, "preempted");
  }
}

void PlaceStep(Controller& c, const WaitingStep& step) {
  Job& job = *step.job;
  StepState& state = job.occurrences.at(step.occurrence).steps[step.step];
  const StepSpec& spec = job.spec.steps[step.step];
  std::map<std::string, uint32_t> on_worker = CountOnWorkers(state);
  PlacementNeed need;
  need.job = &job.spec;
  need.step = &spec;
  need.state = &state;
  need.on_worker = &on_worker;
  need.now_ms = c.runtime.now();
  if (job.spec.policy.priority > 1) need.reserve = kUrgentReserve;
  if (spec.gang) {
    PlaceGang(c, step, need);
    return;
  }
  uint32_t unplaced = 0;
  for (const uint32_t index : step.tasks) {
    const TaskRef ref{&job, step.occurrence, step.step, index};
    TaskState& task = state.tasks[index];
    const bool avoids = need.now_ms < task.avoid_until_ms;
    need.avoid = avoids ? &task.avoid : nullptr;
    Worker* worker = ChooseWorker(c.fleet, need);
    if (worker == nullptr) {
      ++unplaced;
      // The other tasks have the same size and differ only in the workers they
      // avoid.
      if (!avoids) {
        unplaced = static_cast<uint32_t>(step.tasks.size()) -
                   (index - step.tasks.front());
        break;
      }
      continue;
    }
    PlaceTask(c, {ref, worker, NextRun(c, task), task.checkpoint,
                  TicketFor(state, *worker), 0});
    on_worker[worker->info.id]++;
  }
  if (unplaced == 0) return;
  need.avoid = nullptr;
  if (job.spec.policy.permits.required) {
    RequestPermits(c, {&job, step.occurrence, step.step, step.tasks.front()},
                   need, unplaced);
  }
  if (job.spec.policy.priority == 0) Preempt(c, need, unplaced);
}

/// The expected time until every task of the step has ended.
TimeMs RemainingStepMs(const StepSpec& spec, const StepState& state) {
  TimeMs longest_ms = 0;
  for (const TaskState& task : state.tasks) {
    if (task.phase == TaskPhase::kDone) continue;
    TimeMs remaining_ms = spec.estimate_ms;
    if (task.phase == TaskPhase::kRunning) {
      remaining_ms = spec.estimate_ms * (100 - task.percent) / 100;
    }
    longest_ms = std::max(longest_ms, remaining_ms);
  }
  return longest_ms;
}

/// Requests the permits of steps that can start soon.
void PrefetchPermits(Controller& c, Job& job) {
  if (!job.spec.policy.permits.required) return;
  for (auto& [number, occurrence] : job.occurrences) {
    if (occurrence.complete) continue;
    for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
      const StepSpec& spec = job.spec.steps[i];
      StepState& state = occurrence.steps[i];
      if (spec.after.empty() || state.ready_since_ms >= 0) continue;
      if (!state.tickets.empty() || state.requests > 0) continue;
      TimeMs begins_in_ms = 0;
      bool near = true;
      for (const uint32_t before : spec.after) {
        const StepState& earlier = occurrence.steps[before];
        near = near && IsStepReady(job, occurrence, before);
        begins_in_ms = std::max(
            begins_in_ms, RemainingStepMs(job.spec.steps[before], earlier));
      }
      const TimeMs cost_ms =
          RequestCostMs(job.spec.policy.permits, kMaxWorkersPerRequest);
      if (!near || begins_in_ms > cost_ms + kPrefetchMarginMs) continue;
      PlacementNeed need;
      need.job = &job.spec;
      need.step = &spec;
      need.state = &state;
      need.now_ms = c.runtime.now();
      RequestPermits(c, {&job, number, i, 0}, need, spec.count);
    }
  }
}

void RunSchedule(Controller& c) {
  c.schedule_wanted = false;
  if (!c.loaded || c.suspended) return;
  RecordFleet(c);
  std::vector<WaitingStep> steps;
  std::vector<Job*> open;
  for (const auto& [id, job] : c.jobs.jobs) {
    if (IsFinal(job->phase) || MustWaitForRecovery(c, *job)) continue;
    open.push_back(job.get());
    CollectJob(c, *job, steps);
  }
  std::sort(steps.begin(), steps.end(),
            [](const WaitingStep& a, const WaitingStep& b) {
              if (a.key != b.key) return a.key < b.key;
              return a.job->spec.id < b.job->spec.id;
            });
  for (const WaitingStep& step : steps) PlaceStep(c, step);
  for (Job* job : open) PrefetchPermits(c, *job);
}

}  // namespace

void RequestSchedule(Controller& c) {
  if (c.schedule_wanted || c.stopped) return;
  c.schedule_wanted = true;
  c.runtime.after(kPassDelayMs,
                  Guard(c, [](Controller& self) { RunSchedule(self); }));
}

}  // namespace dotterelcove::workflow
