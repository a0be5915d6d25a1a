// Maintenance waves: drains VMs within each wave's cap, records and sends the
// orders, and reports the progress of each wave to the operator.
#include <algorithm>
#include <utility>

#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"
#include "workflow/Disruption.h"

namespace dotterelcove::workflow {
namespace {

/// Interval between reads of the VM list while a wave is in progress.
constexpr TimeMs kVmListIntervalMs = 400;
constexpr TimeMs kOrderRetryMs = 400;
constexpr TimeMs kReportRetryMs = 500;

bool IsOpen(const WaveState& state) { return !state.completed; }

void SetPhase(Controller& c, const WaveState& state, const std::string& name,
              WaveVm& vm, VmPhase phase) {
  Log(LogLevel::kInfo, "maintenance_phase",
      {F("wave", state.wave.number), F("vm", name),
       F("from", NameOf(kVmPhaseNames, vm.phase)),
       F("to", NameOf(kVmPhaseNames, phase)),
       F("after_ms", c.runtime.now() - vm.since_ms),
       F("list_age_ms", c.runtime.now() - c.maintenance.vms_asked_ms)});
  vm.phase = phase;
  vm.since_ms = c.runtime.now();
  vm.in_flight = false;
}

Worker* WorkerOf(Controller& c, const std::string& vm) {
  const auto listed = c.maintenance.vms.find(vm);
  if (listed == c.maintenance.vms.end()) return nullptr;
  return FindWorker(c.fleet, listed->second.worker);
}

/// The worker that an order for the VM would end now, if one is known.
WorkerIncarnation FindTarget(Controller& c, const std::string& vm) {
  const Worker* worker = WorkerOf(c, vm);
  if (worker == nullptr) return {};
  return {worker->info.id, worker->info.incarnation};
}

bool IsTarget(const WaveVm& vm, const Worker& worker) {
  return vm.target ==
         WorkerIncarnation{worker.info.id, worker.info.incarnation};
}

WaveRecord MakeRecord(const WaveState& state) {
  WaveRecord record;
  record.completed = state.completed;
  for (const auto& [name, vm] : state.vms) {
    const bool done = vm.phase == VmPhase::kDone;
    const bool ordered =
        vm.phase == VmPhase::kOrdered || vm.phase == VmPhase::kDown || done;
    if (!ordered) continue;
    record.ordered.insert(name);
    if (done) record.done.insert(name);
    if (!vm.target.id.empty()) record.targets[name] = vm.target;
  }
  return record;
}

void RecordWave(Controller& c, const WaveState& state,
                std::function<void(Controller&)> done) {
  c.log->Commit({{kMaintenanceTable, std::to_string(state.wave.number),
                  EncodeWaveRecord(MakeRecord(state))}},
                {}, Guard(c, std::move(done)));
}

/// Calls `use` with the VM of a wave, if both still exist.
void WithVm(Controller& c, uint64_t wave, const std::string& name,
            const std::function<void(WaveState&, WaveVm&)>& use) {
  const auto state = c.maintenance.waves.find(wave);
  if (state == c.maintenance.waves.end()) return;
  const auto vm = state->second.vms.find(name);
  if (vm != state->second.vms.end()) use(state->second, vm->second);
}

/// The order was confirmed: its maintenance has begun, or was already done. In
/// both cases the worker that it was meant for has ended with its runs. The end
/// of a later worker becomes known by syncs and the worker list only.
void OnMaintenanceConfirmed(Controller& c, WaveState& state,
                            const std::string& name, WaveVm& vm) {
  SetPhase(c, state, name, vm, VmPhase::kDown);
  Worker* worker = FindWorker(c.fleet, vm.target.id);
  if (worker == nullptr || !IsTarget(vm, *worker)) return;
  // A run that no sync has listed may yet begin on the next incarnation.
  MarkRunsLost(c, *worker,
               {RunLoss::kWorkerLeft, LossEvidence::kMaintenanceOrder},
               RunSet::kListed);
  worker->reachable = false;
  worker->synced = false;
}

void OnOrderAnswer(Controller& c, WaveState& state, const std::string& name,
                   WaveVm& vm, VmOrderStatus status) {
  vm.in_flight = false;
  vm.next_order_ms = c.runtime.now() + kOrderRetryMs;
  Log(LogLevel::kInfo, "maintenance_ordered",
      {F("wave", state.wave.number), F("vm", name),
       F("status", NameOf(kVmOrderStatusNames, status)), F("epoch", c.epoch),
       F("target", vm.target.id), F("incarnation", vm.target.incarnation)});
  switch (status) {
    case VmOrderStatus::kOk:
      OnMaintenanceConfirmed(c, state, name, vm);
      return;
    case VmOrderStatus::kFenced:
      c.fenced();
      return;
    case VmOrderStatus::kNotInWave:
      SetPhase(c, state, name, vm, VmPhase::kGone);
      return;
    case VmOrderStatus::kBusy:
    case VmOrderStatus::kRefused:
    case VmOrderStatus::kUnknown:
      // An unanswered order may still be carried out. It is repeated until its
      // outcome is known, and meanwhile its VM counts against the cap.
      return;
  }
}

void SendOrder(Controller& c, uint64_t wave, const std::string& name) {
  // Another owner may have sent one with a higher token.
  if (IsSuspended(c)) {
    WithVm(c, wave, name, [](WaveState&, WaveVm& vm) { vm.in_flight = false; });
    return;
  }
  c.vm_port.maintain(
      {name, wave, c.epoch},
      Guard(c, [wave, name](Controller& self, VmOrderStatus status) {
        WithVm(self, wave, name, [&](WaveState& state, WaveVm& vm) {
          OnOrderAnswer(self, state, name, vm, status);
        });
      }));
}

/// Records the order and its target before it is sent, so that a successor
/// resolves it before it takes another VM down, and does not take a later
/// worker of the VM for the one that the order ended.
void BeginOrder(Controller& c, WaveState& state, const std::string& name,
                WaveVm& vm) {
  SetPhase(c, state, name, vm, VmPhase::kOrdered);
  vm.target = FindTarget(c, name);
  vm.in_flight = true;
  const uint64_t wave = state.wave.number;
  RecordWave(c, state,
             [wave, name](Controller& self) { SendOrder(self, wave, name); });
}

/// Stops the tasks on a worker whose VM is about to go down, if they can be
/// moved with little loss and cannot end within `left_ms`.
void DrainWorker(Controller& c, Worker& worker, TimeMs left_ms) {
  std::vector<std::string> names;
  for (const auto& [name, run] : worker.runs) {
    if (run.stop_wanted || run.gang != 0) continue;
    const StepSpec& spec = SpecOf(run.task);
    if (!spec.long_running && !spec.checkpoints) continue;
    const TaskState& task = TaskOf(run.task);
    const TimeMs remaining_ms = spec.estimate_ms * (100 - task.percent) / 100;
    if (!spec.long_running && remaining_ms < left_ms) continue;
    names.push_back(name);
  }
  for (const std::string& name : names) {
    const TaskRef task = worker.runs.at(name).task;
    // Each stop immediately counts against the allowance of its step.
    if (!MayInterrupt(SpecOf(task), StepOf(task))) continue;
    StopRun(c, worker, name, "vm_maintenance");
  }
}

void AdvanceDrain(Controller& c, WaveState& state, const std::string& name,
                  WaveVm& vm) {
  Worker* worker = WorkerOf(c, name);
  if (worker == nullptr) {
    BeginOrder(c, state, name, vm);
    return;
  }
  worker->maintenance_planned = true;
  const TimeMs limit_ms = DrainLimitMs(state.wave, c.options.maintenance_ms);
  const TimeMs left_ms = limit_ms - (c.runtime.now() - vm.since_ms);
  DrainWorker(c, *worker, left_ms);
  const bool may_go =
      worker->runs.empty() || (left_ms <= 0 && MayInterruptAll(*worker));
  if (may_go) BeginOrder(c, state, name, vm);
}

/// Records that the maintenance of the VM is over, so that a successor does not
/// repeat its order.
void EndMaintenance(Controller& c, const WaveState& state,
                    const std::string& name, WaveVm& vm) {
  SetPhase(c, state, name, vm, VmPhase::kDone);
  RecordWave(c, state, [](Controller&) {});
}

/// Applies the listed state of a VM, if the list was requested after the
/// current phase of the VM began.
void ApplyList(Controller& c, const WaveState& state, const std::string& name,
               WaveVm& vm) {
  const Maintenance& maintenance = c.maintenance;
  if (vm.in_flight || maintenance.vms_asked_ms <= vm.since_ms) return;
  const auto listed = maintenance.vms.find(name);
  const bool exists = listed != maintenance.vms.end();
  switch (vm.phase) {
    case VmPhase::kDone:
    case VmPhase::kGone:
      return;
    case VmPhase::kDown:
      if (!exists || listed->second.state == VmState::kUp) {
        EndMaintenance(c, state, name, vm);
      }
      return;
    case VmPhase::kWaiting:
    case VmPhase::kDraining:
    case VmPhase::kOrdered:
      if (!exists) SetPhase(c, state, name, vm, VmPhase::kGone);
      return;
  }
}

void AdvanceVm(Controller& c, WaveState& state, const std::string& name,
               WaveVm& vm) {
  if (vm.phase == VmPhase::kDraining) AdvanceDrain(c, state, name, vm);
  const bool repeat = vm.phase == VmPhase::kOrdered && !vm.in_flight &&
                      c.runtime.now() >= vm.next_order_ms;
  if (repeat) {
    vm.in_flight = true;
    SendOrder(c, state.wave.number, name);
  }
  ApplyList(c, state, name, vm);
}

void OnReported(Controller& c, WaveState& state, WaveReport report,
                bool stored) {
  const uint64_t wave = state.wave.number;
  Log(LogLevel::kInfo, "wave_reported",
      {F("wave", wave), F("state", NameOf(kWaveReportNames, report)),
       F("stored", stored)});
  if (!stored) {
    c.runtime.after(kReportRetryMs, Guard(c, [wave](Controller& later) {
                      later.maintenance.waves.at(wave).report_in_flight = false;
                    }));
    return;
  }
  state.report_in_flight = false;
  state.running_reported = true;
  if (report != WaveReport::kCompleted) return;
  state.completed = true;
  RecordWave(c, state, [](Controller&) {});
}

void ReportWave(Controller& c, WaveState& state, WaveReport report) {
  if (state.report_in_flight) return;
  state.report_in_flight = true;
  const uint64_t wave = state.wave.number;
  c.vm_port.report(wave, report,
                   Guard(c, [wave, report](Controller& self, bool stored) {
                     const auto found = self.maintenance.waves.find(wave);
                     if (found == self.maintenance.waves.end()) return;
                     OnReported(self, found->second, report, stored);
                   }));
}

void AdvanceWave(Controller& c, WaveState& state) {
  if (!state.running_reported) ReportWave(c, state, WaveReport::kRunning);
  for (auto& [name, vm] : state.vms) AdvanceVm(c, state, name, vm);
  const auto next = ChooseNextVm(state, c.maintenance.vms, c.fleet);
  if (next) {
    SetPhase(c, state, *next, state.vms.at(*next), VmPhase::kDraining);
  }
  if (IsOver(state)) ReportWave(c, state, WaveReport::kCompleted);
}

void ReadVms(Controller& c) {
  Maintenance& maintenance = c.maintenance;
  const TimeMs now_ms = c.runtime.now();
  if (maintenance.list_in_flight || now_ms < maintenance.next_list_ms) return;
  maintenance.list_in_flight = true;
  maintenance.next_list_ms = now_ms + kVmListIntervalMs;
  c.vm_port.list(Guard(c, [now_ms](Controller& self,
                                   const std::optional<VmList>& list) {
    self.maintenance.list_in_flight = false;
    if (!list) {
      Log(LogLevel::kWarning, "vm_list_unreadable",
          {F("age_ms", self.runtime.now() - self.maintenance.vms_asked_ms)});
      return;
    }
    self.maintenance.vms = *list;
    self.maintenance.vms_asked_ms = now_ms;
  }));
}

/// The worker that the wave is about to take down with the VM, or has taken
/// down, if any. While the outcome of an order is not known, it may still take
/// down a worker that has come after its target.
const Worker* FindPlanned(Controller& c, const std::string& name,
                          const WaveVm& vm) {
  if (vm.phase == VmPhase::kDraining || vm.phase == VmPhase::kOrdered) {
    return WorkerOf(c, name);
  }
  if (vm.phase != VmPhase::kDown) return nullptr;
  const Worker* target = FindWorker(c.fleet, vm.target.id);
  return target != nullptr && IsTarget(vm, *target) ? target : nullptr;
}

/// Makes workers usable again whose VM no wave is about to take down.
void ReleaseWorkers(Controller& c) {
  std::set<std::string> planned;
  for (const auto& [number, state] : c.maintenance.waves) {
    for (const auto& [name, vm] : state.vms) {
      const Worker* worker = FindPlanned(c, name, vm);
      if (worker != nullptr) planned.insert(worker->info.id);
    }
  }
  for (auto& [id, worker] : c.fleet.workers) {
    worker.maintenance_planned = planned.contains(id);
  }
}

}  // namespace

void CheckMaintenance(Controller& c) {
  if (!c.loaded || !c.vm_port.list) return;
  auto& waves = c.maintenance.waves;
  const bool any = std::any_of(waves.begin(), waves.end(), [](const auto& it) {
    return IsOpen(it.second);
  });
  if (!any) return;
  ReadVms(c);
  if (c.maintenance.vms_asked_ms < 0) return;
  for (auto& [number, state] : waves) {
    if (IsOpen(state)) AdvanceWave(c, state);
  }
  ReleaseWorkers(c);
}

void UpdateWaves(Controller& c, const std::vector<MaintenanceWave>& waves) {
  if (!c.loaded) {
    c.early_waves = waves;
    return;
  }
  for (const MaintenanceWave& wave : waves) {
    if (c.maintenance.waves.contains(wave.number)) continue;
    const auto record = c.maintenance.records.find(wave.number);
    const bool known = record != c.maintenance.records.end();
    c.maintenance.waves[wave.number] = MakeWaveState(
        wave, known ? record->second : WaveRecord(), c.runtime.now());
    Log(LogLevel::kInfo, "wave_requested",
        {F("wave", wave.number), F("vms", wave.vms.size()), F("cap", wave.cap),
         F("duration_ms", wave.duration_ms),
         F("completed", known && record->second.completed)});
  }
}

}  // namespace dotterelcove::workflow
