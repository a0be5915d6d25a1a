// Requests to the permit authority: for steps whose tasks wait, and ahead of
// time for steps that can start soon.
#include <algorithm>
#include <limits>
#include <memory>
#include <utility>

#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"

namespace dotterelcove::workflow {
namespace {

/// Pause before the next permit request of a step.
constexpr TimeMs kUrgentRequestPauseMs = 60;
constexpr TimeMs kRequestPauseMs = 250;
/// Pause while every process that could send a request is busy.
constexpr TimeMs kBusyPauseMs = 20;
/// Permits of the next step are requested this much earlier than the request
/// takes before the step can start.
constexpr TimeMs kPrefetchMarginMs = 150;
/// Interval at which the remaining time before a step is estimated.
constexpr TimeMs kPrefetchCheckMs = 40;

/// A request in flight. Shared by the copies of its callback, since a busy
/// owner sends a thousand requests a second, each with many workers.
struct SentRequest {
  PermitRequest request;
  /// The slots of its workers.
  std::vector<uint32_t> slots;
  TaskRef step;
  std::string job;
  std::string client;
  bool is_slow = false;
  TimeMs asked_ms = 0;
};

/// Records the answer for each worker of the request; returns whether there is
/// a ticket for one that has room for a task.
bool RecordAnswer(const Controller& c, const SentRequest& sent,
                  const PermitAnswer& answer, StepPermits& permits) {
  // Half a round trip may have passed since the ticket was issued.
  constexpr TimeMs kAnswerAgeMs = 20;
  const TimeMs valid_until_ms =
      c.runtime.now() + answer.validity_ms - kAnswerAgeMs;
  const std::vector<PermitGrant>& grants = answer.grants;
  if (!grants.empty()) RemoveExpired(permits, c.runtime.now());
  const Resources size = SizeOnWorker(SpecOf(sent.step));
  bool has_room = false;
  size_t next = 0;
  for (size_t i = 0; i < sent.slots.size(); ++i) {
    const Worker* worker = c.fleet.by_slot[sent.slots[i]];
    if (worker == nullptr) continue;
    // Grants are mostly in the order of the request.
    size_t tried = 0;
    while (tried < grants.size() &&
           grants[next].worker != sent.request.workers[i]) {
      next = (next + 1) % grants.size();
      ++tried;
    }
    if (tried == grants.size()) {
      AddDenial(permits, worker->slot);
      continue;
    }
    Ticket ticket;
    ticket.text = grants[next].ticket;
    ticket.valid_until_ms = valid_until_ms;
    ticket.incarnation = worker->info.incarnation;
    ticket.slot = worker->slot;
    AddTicket(permits, std::move(ticket));
    has_room = has_room || Fits(size, FreeOf(*worker));
  }
  return has_room;
}

void OnPermits(Controller& c, const SentRequest& sent,
               const PermitAnswer& answer) {
  const auto asked = c.permit_clients.find(sent.client);
  if (asked != c.permit_clients.end()) {
    asked->second.outstanding--;
    if (sent.is_slow) asked->second.slow--;
    if (asked->second.outstanding == 0) asked->second.busy_until_ms = 0;
  }
  Job* job = FindJob(c.jobs, sent.job);
  if (job == nullptr || job != sent.step.job) return;
  if (!job->occurrences.contains(sent.step.occurrence)) return;
  KeepWatching(c, *job);
  StepPermits& permits = StepOf(sent.step).permits;
  permits.requests--;
  const TimeMs now_ms = c.runtime.now();
  if (c.observe) c.observe("permit", now_ms - sent.asked_ms);
  Log(LogLevel::kInfo, "permits_answered",
      {F("step", sent.request.step),
       F("status", NameOf(kPermitStatusNames, answer.status)),
       F("named", sent.request.workers.size()),
       F("allowed", answer.grants.size()), F("asked_by", sent.client),
       F("took_ms", now_ms - sent.asked_ms)});
  if (answer.status != PermitStatus::kOk) {
    permits.next_request_ms = now_ms + kRequestPauseMs;
    return;
  }
  // A memo holds on without room: if it appears later, the pass sees that.
  if (RecordAnswer(c, sent, answer, permits)) job->changes++;
  if (answer.grants.empty()) return;
  StepOf(sent.step).memo.preemption = PreemptionOutlook::kUnknown;
}

const RoomOrder& RoomOf(Controller& c, SchedulePass& pass) {
  if (!pass.room) pass.room = OrderByRoom(c.fleet, pass.now_ms);
  return *pass.room;
}

}  // namespace

TimeMs RequestPauseMs(const JobSpec& job) {
  return job.policy.priority == 0 ? kUrgentRequestPauseMs : kRequestPauseMs;
}

void RequestPermits(Controller& c, SchedulePass& pass, const TaskRef& ref,
                    const PlacementNeed& need, uint32_t tasks) {
  StepPermits& permits = StepOf(ref).permits;
  const TimeMs now_ms = need.now_ms;
  if (permits.requests > 0 || now_ms < permits.next_request_ms) return;
  const PermitTerms& terms = ref.job->spec.policy.permits;
  permits.next_request_ms = now_ms + RequestPauseMs(ref.job->spec);
  // The search below is not worth its cost if no process can send the request.
  if (!pass.are_permit_clients_busy) {
    pass.are_permit_clients_busy =
        ChoosePermitClient(c.permit_clients, 0, now_ms) == nullptr;
  }
  if (pass.are_permit_clients_busy) {
    permits.next_request_ms = now_ms + kBusyPauseMs;
    return;
  }
  const auto sent = std::make_shared<SentRequest>();
  PermitRequest& request = sent->request;
  request.workers = ChooseWorkersToRequest(RoomOf(c, pass), need, tasks);
  if (request.workers.empty()) {
    // A gang may have room on some of the workers that it needs, and tickets
    // for these expire.
    PlacementMemo& memo = StepOf(ref).memo;
    memo.has_none_to_request =
        memo.pass == c.pass_number && !need.step->gang &&
        memo.retry_ms == std::numeric_limits<TimeMs>::max();
    return;
  }
  request.step = MakeStepName(*ref.job, ref.occurrence, ref.step);
  const TimeMs cost_ms = RequestCostMs(terms, request.workers.size());
  PermitClient* client = ChoosePermitClient(c.permit_clients, cost_ms, now_ms);
  if (client == nullptr) {
    permits.next_request_ms = now_ms + kBusyPauseMs;
    return;
  }
  for (const std::string& id : request.workers) {
    sent->slots.push_back(FindWorker(c.fleet, id)->slot);
  }
  sent->step = ref;
  sent->job = ref.job->spec.id;
  sent->client = client->name;
  sent->is_slow = cost_ms > kSlowRequestMs;
  sent->asked_ms = now_ms;
  client->busy_until_ms = std::max(client->busy_until_ms, now_ms) + cost_ms;
  client->outstanding++;
  if (sent->is_slow) client->slow++;
  permits.requests++;
  c.stats.requests++;
  client->request(
      request, Guard(c, [sent](Controller& self, const PermitAnswer& answer) {
        OnPermits(self, *sent, answer);
      }));
}

namespace {

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

}  // namespace

void PrefetchPermits(Controller& c, SchedulePass& pass, Job& job) {
  if (!job.spec.policy.permits.required) return;
  for (auto& [number, occurrence] : job.occurrences) {
    if (occurrence.complete) continue;
    for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
      const StepSpec& spec = job.spec.steps[i];
      StepState& state = occurrence.steps[i];
      if (spec.after.empty() || state.ready_since_ms >= 0) continue;
      StepPermits& permits = state.permits;
      if (!permits.tickets.empty() || permits.requests > 0) continue;
      if (pass.now_ms < permits.next_prefetch_ms) continue;
      permits.next_prefetch_ms = pass.now_ms + kPrefetchCheckMs;
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
      need.now_ms = pass.now_ms;
      RequestPermits(c, pass, {&job, number, i, 0}, need, spec.count);
    }
  }
}

}  // namespace dotterelcove::workflow
