#include "scheduler/CellDriver.h"

#include <utility>

#include "base/Clock.h"
#include "scheduler/JobRecords.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

// While jobs and tasks start and end, a tick every few milliseconds keeps the
// latency of decisions low.
constexpr TimeMs kBusyTickMs = 5;
constexpr TimeMs kBusyAfterEventMs = 100;
// Ageing, probing and deadlines need no finer resolution, and a queue of
// waiting batch jobs must use little CPU time.
constexpr TimeMs kIdleTickMs = 100;
// Low bits of the attempt number sent to workers, which count the attempts
// under one owner. The bits above hold the owner's epoch, so that two owners
// never use the same task id.
constexpr uint32_t kAttemptBits = 12;
constexpr uint32_t kAttemptMask = (1U << kAttemptBits) - 1;
constexpr double kMsPerSecond = 1000.0;

std::string RefKey(const core::TaskRef& ref) {
  return MakeTaskId(ref.job, ref.member, ref.attempt);
}

core::TaskEnd ToCoreEnd(WorkerTaskEnd end, bool cancelled) {
  switch (end) {
    case WorkerTaskEnd::kSucceeded:
      return core::TaskEnd::kSucceeded;
    case WorkerTaskEnd::kFailed:
      return core::TaskEnd::kFailed;
    case WorkerTaskEnd::kStopped:
    case WorkerTaskEnd::kCheckpointed:
      return cancelled ? core::TaskEnd::kCancelled : core::TaskEnd::kPreempted;
    case WorkerTaskEnd::kLeaseExpired:
      return core::TaskEnd::kLost;
  }
  return core::TaskEnd::kLost;
}

}  // namespace

CellDriver::CellDriver(Services& services, JobTable& jobs, uint64_t epoch,
                       CellDriverCallbacks callbacks)
    : services(services),
      jobs(jobs),
      epoch(epoch),
      callbacks(std::move(callbacks)),
      core_cell(core::MakeCell({})),
      timer(services.loop, [this] { this->OnTick(); }) {}

void CellDriver::SetPool(WorkerPool& pool) { this->pool = &pool; }

void CellDriver::SetQuota(const std::string& team, const Resources& quota) {
  core::SetQuota(*this->core_cell, team, quota);
}

void CellDriver::SetWorker(const Vm& vm, core::WorkerState state) {
  core::WorkerSpec spec;
  spec.id = vm.id;
  spec.zone = vm.zone;
  spec.rack = vm.rack;
  spec.capacity = vm.capacity;
  core::AddWorker(*this->core_cell, spec);
  if (state == core::WorkerState::kLost) this->OnWorkerLost(vm.id);
  core::SetWorkerState(*this->core_cell, vm.id, state, MonotonicMs());
  this->Wake();
}

core::SubmitDecision CellDriver::Open(Job& job) {
  const TimeMs now = MonotonicMs();
  job.phase = JobPhase::kOpen;
  core::SubmitDecision decision =
      core::Submit(*this->core_cell, MakeJobSpec(job.submit, now), now);
  this->Wake();
  return decision;
}

void CellDriver::Cancel(Job& job) {
  job.cancelled = true;
  core::Cancel(*this->core_cell, job.submit.job, MonotonicMs());
  this->Wake();
}

void CellDriver::Decide(Job& job, core::JobEnd end, std::string message) {
  if (job.decision.has_value()) return;
  core::Command decision;
  decision.kind = core::CommandKind::kJobEnded;
  decision.task.job = job.submit.job;
  decision.end = end;
  decision.message = std::move(message);
  job.decision = std::move(decision);
  this->NotifyIfDecided(job);
}

void CellDriver::Wake() {
  this->last_event_ms = MonotonicMs();
  this->timer.StartAfter(0);
}

void CellDriver::StopPlacing() { this->placing = false; }

void CellDriver::OnTick() {
  if (!this->placing) return;
  this->commands.clear();
  core::Tick(*this->core_cell, MonotonicMs(), this->commands);
  // Executing a command must not append to the list; only core::Tick issues
  // commands.
  for (const core::Command& command : this->commands) this->Execute(command);
  if (!this->timer.active()) this->ScheduleTick();
}

void CellDriver::ScheduleTick() {
  const core::CellStats stats = core::Stats(*this->core_cell);
  if (stats.queued == 0 && stats.running == 0) return;
  const bool busy = stats.queued > 0 &&
                    MonotonicMs() - this->last_event_ms < kBusyAfterEventMs;
  this->timer.StartAfter(busy ? kBusyTickMs : kIdleTickMs);
}

void CellDriver::Execute(const core::Command& command) {
  switch (command.kind) {
    case core::CommandKind::kStart:
      this->StartOnWorker(command);
      return;
    case core::CommandKind::kCheckpoint:
      this->ControlOnWorker(command.task, ControlAction::kCheckpoint);
      return;
    case core::CommandKind::kThrottle:
      this->ControlOnWorker(command.task, ControlAction::kThrottle);
      return;
    case core::CommandKind::kResume:
      this->ControlOnWorker(command.task, ControlAction::kResume);
      return;
    case core::CommandKind::kStop:
      this->ControlOnWorker(command.task, ControlAction::kStop);
      return;
    case core::CommandKind::kJobEnded: {
      Job* const job = this->jobs.Find(command.task.job);
      if (job == nullptr || job->decision.has_value()) return;
      job->decision = command;
      this->NotifyIfDecided(*job);
      return;
    }
  }
}

uint32_t CellDriver::WireAttempt(uint32_t attempt) const {
  return (static_cast<uint32_t>(this->epoch) << kAttemptBits) |
         (attempt & kAttemptMask);
}

void CellDriver::StartOnWorker(const core::Command& command) {
  const TimeMs now = MonotonicMs();
  Job* const job = this->jobs.Find(command.task.job);
  WorkerSession* const session = this->pool->Find(command.worker);
  if (job == nullptr || session == nullptr ||
      session->state() != SessionState::kReachable) {
    core::TaskEnded(*this->core_cell, command.task, core::TaskEnd::kNotStarted,
                    now);
    this->Wake();
    return;
  }
  TaskEntry entry;
  entry.ref = command.task;
  entry.id = MakeTaskId(command.task.job, command.task.member,
                        this->WireAttempt(command.task.attempt));
  entry.worker = command.worker;
  entry.token = session->token();
  entry.incarnation = session->incarnation();
  entry.sent_ms = now;
  WorkerTask task;
  task.id = entry.id;
  task.job = command.task.job;
  task.member = command.task.member;
  task.attempt = this->WireAttempt(command.task.attempt);
  task.size = command.size;
  task.idempotent = job->submit.idempotent;
  if (!job->recorded) task.descriptor = PackSubmit(job->submit);
  job->tasks_on_workers++;
  const std::string id = entry.id;
  this->ids_by_ref[RefKey(entry.ref)] = id;
  this->entries[id] = std::move(entry);
  const std::string payload(job->submit.payload.begin(),
                            job->submit.payload.end());
  session->Start(task, payload,
                 [this, id, alive = std::weak_ptr<bool>(this->alive)](
                     const WorkerResult<NoReply>& result) {
                   if (!alive.expired()) this->OnStartAnswer(id, result);
                 });
  this->services.metrics.Count("placements_total");
}

void CellDriver::OnStartAnswer(const std::string& id,
                               const WorkerResult<NoReply>& result) {
  const auto found = this->entries.find(id);
  // A fence reply or the end of the task may have arrived first.
  if (found == this->entries.end() || found->second.confirmed) return;
  TaskEntry& entry = found->second;
  const std::string worker = entry.worker;
  if (result.status != WorkerStatus::kOk) {
    this->services.metrics.Count(
        "start_failures_total",
        {{"status", std::string(NameOf(kWorkerStatusNames, result.status))}});
  }
  switch (result.status) {
    case WorkerStatus::kOk:
    case WorkerStatus::kDuplicate:
      this->pool->ReportStarted(worker);
      this->Confirm(entry);
      return;
    case WorkerStatus::kStaleToken:
      if (result.highest.epoch > this->epoch) {
        this->callbacks.higher_epoch(result.highest.epoch);
        return;
      }
      this->EndTask(id, core::TaskEnd::kNotStarted);
      return;
    case WorkerStatus::kNoCapacity:
    case WorkerStatus::kRefused:
      // No capacity means that the worker holds a task unknown here; the fence
      // reply lists it.
      this->EndTask(id, core::TaskEnd::kNotStarted);
      this->pool->ReportRefusal(worker);
      if (result.status == WorkerStatus::kNoCapacity) {
        this->pool->Find(worker)->Refence();
      }
      return;
    case WorkerStatus::kNotSent:
      this->EndTask(id, core::TaskEnd::kNotStarted);
      this->pool->ReportRefusal(worker);
      this->pool->Find(worker)->Refence();
      return;
    case WorkerStatus::kUnknown:
      // Only a fence reply or the end of the lease determines the outcome.
      this->pool->Find(worker)->Refence();
      return;
  }
}

void CellDriver::Confirm(TaskEntry& entry) {
  const TimeMs now = MonotonicMs();
  entry.confirmed = true;
  core::TaskStarted(*this->core_cell, entry.ref, now);
  this->services.events.Add(
      "task_started", {entry.ref.job, entry.id, entry.worker, this->epoch});
  Job* const job = this->jobs.Find(entry.ref.job);
  if (job != nullptr) {
    if (!job->may_have_run) {
      const auto request_class =
          static_cast<RequestClass>(job->submit.request_class);
      this->services.metrics.ObserveSeconds(
          "wait_seconds",
          static_cast<double>(now - job->submitted_ms) / kMsPerSecond,
          {{"class", std::string(NameOf(kRequestClassNames, request_class))}});
    }
    job->may_have_run = true;
    job->last_worker = entry.worker;
  }
  if (!entry.pending_action.has_value()) return;
  WorkerSession* const session = this->pool->Find(entry.worker);
  if (session != nullptr) session->Control(entry.id, *entry.pending_action);
  entry.pending_action.reset();
}

void CellDriver::ControlOnWorker(const core::TaskRef& ref,
                                 ControlAction action) {
  const auto id = this->ids_by_ref.find(RefKey(ref));
  if (id == this->ids_by_ref.end()) return;
  TaskEntry& entry = this->entries.at(id->second);
  if (!entry.confirmed) {
    entry.pending_action = action;
    return;
  }
  WorkerSession* const session = this->pool->Find(entry.worker);
  if (session != nullptr) session->Control(entry.id, action);
}

void CellDriver::EndTask(const std::string& id, core::TaskEnd end) {
  core::TaskEnded(*this->core_cell, this->entries.at(id).ref, end,
                  MonotonicMs());
  this->RemoveTask(id, end);
}

void CellDriver::RemoveTask(const std::string& id, core::TaskEnd end) {
  const auto found = this->entries.find(id);
  const TaskEntry entry = std::move(found->second);
  this->entries.erase(found);
  const auto ref = this->ids_by_ref.find(RefKey(entry.ref));
  if (ref != this->ids_by_ref.end() && ref->second == id) {
    this->ids_by_ref.erase(ref);
  }
  this->services.events.Add("task_ended",
                            {entry.ref.job, id, entry.worker, this->epoch},
                            std::string(NameOf(core::kTaskEndNames, end)));
  this->Wake();
  Job* const job = this->jobs.Find(entry.ref.job);
  if (job == nullptr) return;
  job->tasks_on_workers--;
  this->NotifyIfDecided(*job);
}

void CellDriver::NotifyIfDecided(Job& job) {
  if (!job.decision.has_value() || job.tasks_on_workers > 0) return;
  if (job.phase == JobPhase::kEnding) return;
  this->callbacks.decided(job);
}

bool CellDriver::HasTask(const std::string& task) const {
  return this->entries.contains(task);
}

bool CellDriver::Adopt(Job& job, const ReportedTask& found) {
  if (this->entries.contains(found.task.id)) return true;
  TaskEntry entry;
  entry.ref = {found.task.job, found.task.member,
               found.task.attempt & kAttemptMask};
  entry.id = found.task.id;
  entry.worker = found.worker;
  WorkerSession* const session = this->pool->Find(found.worker);
  if (session == nullptr) return false;
  entry.token = session->token();
  entry.incarnation = session->incarnation();
  entry.sent_ms = found.started_ms;
  entry.confirmed = true;
  // The task has run, whether or not the core accepts it.
  job.may_have_run = true;
  if (!core::AdoptTask(*this->core_cell, entry.ref, entry.worker,
                       found.started_ms)) {
    return false;
  }
  job.last_worker = found.worker;
  job.tasks_on_workers++;
  this->ids_by_ref[RefKey(entry.ref)] = entry.id;
  this->entries[entry.id] = std::move(entry);
  this->Wake();
  return true;
}

void CellDriver::AdoptEnded(Job& job, uint32_t member) {
  core::AdoptEnded(*this->core_cell, job.submit.job, member);
}

void CellDriver::Reconcile(const std::string& worker, const FenceReply& reply) {
  WorkerSession* const session = this->pool->Find(worker);
  std::unordered_map<std::string, bool> present;
  for (const HeldTask& held : reply.held) present[held.task.id] = true;
  for (const EndedTask& ended : reply.ended) present[ended.task.id] = true;
  std::vector<std::string> absent;
  std::vector<std::string> unconfirmed;
  for (const auto& [id, entry] : this->entries) {
    if (entry.worker != worker) continue;
    if (present.contains(id)) {
      if (!entry.confirmed) unconfirmed.push_back(id);
      continue;
    }
    // A start under the current token may still be in flight.
    if (!entry.confirmed && !(entry.token < session->token())) continue;
    absent.push_back(id);
  }
  for (const std::string& id : unconfirmed) {
    this->Confirm(this->entries.at(id));
  }
  for (const std::string& id : absent) {
    const TaskEntry& entry = this->entries.at(id);
    const bool restarted = entry.incarnation != reply.incarnation;
    const bool may_have_run = entry.confirmed || restarted;
    if (may_have_run) {
      Job* const job = this->jobs.Find(entry.ref.job);
      if (job != nullptr) job->may_have_run = true;
    }
    this->EndTask(
        id, may_have_run ? core::TaskEnd::kLost : core::TaskEnd::kNotStarted);
  }
}

void CellDriver::OnWorkerLost(const std::string& worker) {
  std::vector<std::string> lost;
  for (const auto& [id, entry] : this->entries) {
    if (entry.worker == worker) lost.push_back(id);
  }
  for (const std::string& id : lost) {
    Job* const job = this->jobs.Find(this->entries.at(id).ref.job);
    if (job != nullptr) job->may_have_run = true;
    // The core ends the tasks of a lost worker by itself.
    this->RemoveTask(id, core::TaskEnd::kLost);
  }
}

void CellDriver::OnEnded(const std::string& worker, const EndedTask& task,
                         const Acknowledge& acknowledge) {
  const auto found = this->entries.find(task.task.id);
  if (found == this->entries.end() || found->second.worker != worker) {
    acknowledge();
    return;
  }
  if (!found->second.confirmed) this->Confirm(found->second);
  const core::TaskRef ref = found->second.ref;
  Job* const job = this->jobs.Find(ref.job);
  const bool cancelled = job != nullptr && job->cancelled;
  const core::TaskEnd end = ToCoreEnd(task.end, cancelled);
  const bool succeeded = end == core::TaskEnd::kSucceeded && job != nullptr &&
                         ref.member < job->members.size();
  if (!succeeded) {
    acknowledge();
  } else {
    job->members[ref.member] = {true, task.result};
    job->last_worker = worker;
    this->callbacks.member_succeeded(*job, ref.member, acknowledge);
  }
  this->EndTask(task.task.id, end);
}

void CellDriver::OnUsage(const std::vector<TaskUsage>& usage) {
  const TimeMs now = MonotonicMs();
  for (const TaskUsage& item : usage) {
    const auto found = this->entries.find(item.task);
    if (found == this->entries.end()) continue;
    core::ReportUsage(*this->core_cell, found->second.ref, item.used, now);
  }
}

}  // namespace dotterelcove
