#include "scheduler/WorkerPool.h"

#include <algorithm>
#include <utility>

#include "base/Clock.h"
#include "scheduler/JobRecords.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

// A start that is unanswered for this long is resolved by a fence. If the
// worker never received it, an urgent task can then still start elsewhere in
// time.
constexpr int64_t kMaxCallTimeoutMs = 1'000;
constexpr int64_t kCallsPerLease = 4;
constexpr int64_t kRefusalBaseMs = 200;
constexpr int64_t kRefusalMaxMs = 30'000;
// Reciprocal of the assumed bound on the relative difference of two clock
// rates, see docs/design.md 3.4.
constexpr int64_t kClockRateErrorDivisor = 1'000;

}  // namespace

WorkerPool::WorkerPool(Services& services, RecordWriter& writer, uint64_t epoch,
                       WorkerPoolCallbacks callbacks)
    : services(services),
      writer(writer),
      epoch(epoch),
      taken_over_ms(MonotonicMs()),
      callbacks(std::move(callbacks)),
      random(MakeSystemRandom()) {}

WorkerPool::Worker& WorkerPool::Add(const Vm& vm, bool used_before) {
  Worker& worker = this->workers[vm.id];
  worker.used_before = used_before;
  if (used_before) worker.row = RowState::kPresent;
  const std::string id = vm.id;
  WorkerSessionOptions options;
  options.vm = vm;
  options.epoch = this->epoch;
  options.lease_ms = this->services.settings.timing.worker_lease_ms;
  options.call_timeout_ms =
      std::min(kMaxCallTimeoutMs, options.lease_ms / kCallsPerLease);
  // An earlier owner that cannot reach the store stops renewing once it has
  // heard no other scheduler for peer_silence_ms, or has learned of this owner;
  // see WorkerPoolCallbacks::may_renew.
  options.initial_lease_end_ms =
      used_before ? this->taken_over_ms + options.lease_ms +
                        options.lease_ms / kClockRateErrorDivisor +
                        this->services.settings.timing.peer_silence_ms
                  : this->taken_over_ms;
  WorkerSessionCallbacks session;
  session.fenced = [this, id](const FenceReply& reply) {
    this->OnFenced(id, reply);
  };
  session.ended = [this, id](const EndedTask& task) {
    this->OnEnded(id, task);
  };
  session.usage = [this, id](const std::vector<TaskUsage>& usage) {
    this->callbacks.usage(id, usage);
  };
  session.state_changed = [this, id](SessionState state) {
    this->OnSessionState(id, state);
  };
  session.higher_epoch = this->callbacks.higher_epoch;
  session.may_renew = this->callbacks.may_renew;
  worker.session = std::make_unique<WorkerSession>(
      this->services.loop, this->services.http, options, std::move(session));
  worker.refusal_timer =
      std::make_unique<Timer>(this->services.loop, [this, id] {
        this->workers.at(id).refusing = false;
        this->Update(id);
      });
  this->callbacks.changed(vm, core::WorkerState::kUnreachable);
  worker.session->Open();
  return worker;
}

void WorkerPool::OnFenced(const std::string& id, const FenceReply& reply) {
  this->services.events.Add("worker_fenced", {"", "", id, this->epoch});
  this->callbacks.fenced(id, reply);
  for (const EndedTask& task : reply.ended) this->OnEnded(id, task);
  Worker& worker = this->workers.at(id);
  if (worker.answered) return;
  worker.answered = true;
  this->callbacks.resolved(worker.used_before &&
                           worker.row_incarnation != reply.incarnation);
}

void WorkerPool::OnEnded(const std::string& id, const EndedTask& task) {
  WorkerSession* const source = this->Find(id);
  this->callbacks.ended(
      id, task,
      [this, id, alive = std::weak_ptr<bool>(this->alive),
       incarnation = source->incarnation(), sequence = task.sequence] {
        if (alive.expired()) return;
        WorkerSession* const session = this->Find(id);
        if (session != nullptr) session->Acknowledge(incarnation, sequence);
      });
}

void WorkerPool::AddUsed(const UsedWorkerRow& row) {
  if (this->workers.contains(row.vm.id)) return;
  Worker& worker = this->Add(row.vm, true);
  // Counts as listed until the platform's VM list has been read.
  worker.listed = true;
  worker.row_incarnation = row.incarnation;
}

void WorkerPool::SetVmList(const std::vector<Vm>& vms) {
  std::set<std::string> listed;
  for (const Vm& vm : vms) {
    if (vm.role != VmRole::kWorker) continue;
    listed.insert(vm.id);
    auto found = this->workers.find(vm.id);
    if (found == this->workers.end()) {
      if (vm.state == VmState::kLeaving) continue;
      this->Add(vm, false).listed = true;
      continue;
    }
    found->second.listed = true;
    const Vm& known = found->second.session->vm();
    const bool same = known.address == vm.address && known.state == vm.state &&
                      known.zone == vm.zone && known.rack == vm.rack &&
                      known.capacity == vm.capacity;
    found->second.session->SetVm(vm);
    if (!same) this->callbacks.changed(vm, found->second.reported);
    this->Update(vm.id);
  }
  std::vector<std::string> removable;
  for (auto& [id, worker] : this->workers) {
    if (listed.contains(id)) continue;
    worker.listed = false;
    // A worker that is no longer listed is removed only once it is known to
    // hold no task; until then the list may be wrong.
    if (worker.session->state() == SessionState::kLapsed &&
        worker.row == RowState::kAbsent) {
      removable.push_back(id);
      continue;
    }
    this->Update(id);
  }
  for (const std::string& id : removable) this->workers.erase(id);
}

bool WorkerPool::Drain(const std::string& worker) {
  const auto found = this->workers.find(worker);
  if (found == this->workers.end()) return false;
  found->second.drained = true;
  this->Update(worker);
  return true;
}

void WorkerPool::ReportRefusal(const std::string& worker) {
  const auto found = this->workers.find(worker);
  if (found == this->workers.end() || found->second.refusing) return;
  found->second.refusing = true;
  found->second.refusal_timer->StartAfter(BackoffMs(
      this->random, found->second.refusals++, kRefusalBaseMs, kRefusalMaxMs));
  this->Update(worker);
}

void WorkerPool::ReportStarted(const std::string& worker) {
  const auto found = this->workers.find(worker);
  if (found != this->workers.end()) found->second.refusals = 0;
}

WorkerSession* WorkerPool::Find(const std::string& worker) const {
  const auto found = this->workers.find(worker);
  return found == this->workers.end() ? nullptr : found->second.session.get();
}

core::WorkerState WorkerPool::StateOf(const std::string& worker) const {
  const auto found = this->workers.find(worker);
  return found == this->workers.end() ? core::WorkerState::kLost
                                      : found->second.reported;
}

std::vector<std::string> WorkerPool::ids() const {
  std::vector<std::string> ids;
  for (const auto& [id, worker] : this->workers) ids.push_back(id);
  return ids;
}

std::set<std::string> WorkerPool::Unanswered() const {
  std::set<std::string> unanswered;
  for (const auto& [id, worker] : this->workers) {
    if (!worker.used_before || worker.answered) continue;
    if (worker.session->state() == SessionState::kLapsed) continue;
    unanswered.insert(id);
  }
  return unanswered;
}

void WorkerPool::OnSessionState(const std::string& id, SessionState state) {
  Log(LogLevel::kInfo, "worker_session",
      {F("worker", id), F("state", NameOf(kSessionStateNames, state))});
  this->services.events.Add("worker_session", {"", "", id, this->epoch},
                            std::string(NameOf(kSessionStateNames, state)));
  Worker& worker = this->workers.at(id);
  const bool row_valid =
      worker.row != RowState::kAbsent &&
      worker.row_incarnation == worker.session->incarnation();
  if (state == SessionState::kReachable && !row_valid) this->WriteRow(id);
  this->Update(id);
  if (state != SessionState::kLapsed) return;
  if (worker.row != RowState::kAbsent) this->RemoveRow(id);
  this->callbacks.resolved(worker.used_before && !worker.answered);
}

void WorkerPool::WriteRow(const std::string& id) {
  Worker& worker = this->workers.at(id);
  worker.row = RowState::kWriting;
  worker.row_incarnation = worker.session->incarnation();
  TablePut put;
  put.key = UsedWorkerKey(this->services.settings.partition, id);
  put.value =
      ToRow(UsedWorkerRow{worker.session->vm(), worker.session->incarnation()});
  this->writer.Put(std::move(put), true,
                   [this, id, alive = std::weak_ptr<bool>(this->alive),
                    change = ++worker.row_change](WriteStatus status) {
                     if (alive.expired() || status != WriteStatus::kCommitted)
                       return;
                     const auto found = this->workers.find(id);
                     if (found == this->workers.end()) return;
                     if (found->second.row_change != change) return;
                     found->second.row = RowState::kPresent;
                     this->Update(id);
                   });
}

void WorkerPool::RemoveRow(const std::string& id) {
  Worker& worker = this->workers.at(id);
  worker.row = RowState::kAbsent;
  worker.row_change++;
  TablePut put;
  put.key = UsedWorkerKey(this->services.settings.partition, id);
  put.remove = true;
  this->writer.Put(std::move(put), true, [](WriteStatus) {});
}

core::WorkerState WorkerPool::Evaluate(const Worker& worker) const {
  switch (worker.session->state()) {
    case SessionState::kLapsed:
      return core::WorkerState::kLost;
    case SessionState::kUnanswered:
    case SessionState::kUnreachable:
      return core::WorkerState::kUnreachable;
    case SessionState::kReachable:
      break;
  }
  if (worker.row != RowState::kPresent) return core::WorkerState::kUnreachable;
  const bool leaving = worker.drained || worker.refusing || !worker.listed ||
                       worker.session->vm().state == VmState::kLeaving;
  return leaving ? core::WorkerState::kDraining : core::WorkerState::kUsable;
}

void WorkerPool::Update(const std::string& id) {
  Worker& worker = this->workers.at(id);
  const core::WorkerState state = this->Evaluate(worker);
  if (state == worker.reported) return;
  worker.reported = state;
  this->callbacks.changed(worker.session->vm(), state);
}

}  // namespace dotterelcove
