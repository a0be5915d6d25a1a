#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/CellModelDays.h"
#include "workflow/Disruption.h"
#include "workflow/Maintenance.h"

namespace dotterelcove::model {
namespace {

using workflow::VmOrderStatus;
using workflow::VmState;
using workflow::WaveReport;

constexpr TimeMs kDownMs = 2'000;

/// Model of a VM service: VM "vm-ID" runs worker ID. Records the orders and
/// reports it received.
struct VmService {
  struct Begin {
    std::string vm;
    TimeMs at_ms = 0;
    size_t down_before = 0;
  };
  VmService(Cell& cell, workflow::MaintenanceWave wave)
      : cell(cell), wave(std::move(wave)) {}

  Cell& cell;
  workflow::MaintenanceWave wave;
  std::map<std::string, uint64_t> tokens;
  std::map<std::string, TimeMs> down_until_ms;
  std::map<std::string, TimeMs> begun_ms;
  std::vector<Begin> begins;
  std::vector<WaveReport> reports;
  /// If positive, every second order is not answered and is carried out after
  /// this delay.
  TimeMs late_ms = 0;
  uint32_t orders = 0;
};

void EndDowntime(VmService& service) {
  for (auto it = service.down_until_ms.begin();
       it != service.down_until_ms.end();) {
    if (service.cell.time.now_ms < it->second) {
      ++it;
      continue;
    }
    RestartWorker(service.cell, it->first.substr(3));
    it = service.down_until_ms.erase(it);
  }
}

VmOrderStatus Maintain(VmService& service,
                       const workflow::MaintenanceOrder& order) {
  EndDowntime(service);
  uint64_t& token = service.tokens[order.vm];
  if (order.token < token) return VmOrderStatus::kFenced;
  token = order.token;
  if (service.begun_ms.contains(order.vm)) return VmOrderStatus::kOk;
  const std::string worker = order.vm.substr(3);
  if (!service.cell.workers.at(worker).up) return VmOrderStatus::kBusy;
  service.begins.push_back(
      {order.vm, service.cell.time.now_ms, service.down_until_ms.size()});
  service.begun_ms[order.vm] = service.cell.time.now_ms;
  service.down_until_ms[order.vm] = service.cell.time.now_ms + kDownMs;
  CrashWorker(service.cell, worker);
  return VmOrderStatus::kOk;
}

workflow::VmList ListVms(VmService& service) {
  EndDowntime(service);
  workflow::VmList list;
  for (const auto& [id, worker] : service.cell.workers) {
    const std::string vm = "vm-" + id;
    workflow::VmInfo& info = list[vm];
    info.worker = id;
    info.state = service.down_until_ms.contains(vm) ? VmState::kInMaintenance
                                                    : VmState::kUp;
  }
  return list;
}

workflow::VmPort MakePort(VmService& service) {
  constexpr TimeMs kAnswerMs = 10;
  workflow::VmPort port;
  port.list =
      [&service](
          const std::function<void(std::optional<workflow::VmList>)>& done) {
        service.cell.time.After(kAnswerMs,
                                [&service, done] { done(ListVms(service)); });
      };
  port.maintain = [&service](const workflow::MaintenanceOrder& order,
                             const std::function<void(VmOrderStatus)>& done) {
    const bool late = service.late_ms > 0 && service.orders++ % 2 == 0;
    if (late) {
      service.cell.time.After(service.late_ms,
                              [&service, order] { Maintain(service, order); });
      service.cell.time.After(kSecond,
                              [done] { done(VmOrderStatus::kUnknown); });
      return;
    }
    service.cell.time.After(
        kAnswerMs, [&service, order, done] { done(Maintain(service, order)); });
  };
  port.report = [&service](uint64_t, WaveReport report,
                           const std::function<void(bool)>& done) {
    service.cell.time.After(kAnswerMs, [&service, report, done] {
      service.reports.push_back(report);
      done(true);
    });
  };
  return port;
}

/// Connects every owner of the cell to the service and gives it the service's
/// one wave.
void Connect(Cell& cell, VmService& service) {
  cell.configure_owner = [&service](workflow::Controller& c) {
    c.vm_port = MakePort(service);
    c.options.maintenance_ms = kDownMs;
    c.early_waves = {service.wave};
  };
}

workflow::MaintenanceWave MakeWave(uint32_t vms, uint32_t cap) {
  workflow::MaintenanceWave wave;
  wave.number = 7;
  wave.cap = cap;
  wave.duration_ms = 40 * kSecond;
  for (uint32_t i = 0; i < vms; ++i) {
    wave.vms.push_back("vm-w" + std::to_string(i));
  }
  return wave;
}

void ExpectCompletedWithinCap(const VmService& service) {
  for (const VmService::Begin& begin : service.begins) {
    cr_expect_lt(begin.down_before, service.wave.cap, "%s", begin.vm.c_str());
  }
  cr_expect_eq(service.begins.size(), service.wave.vms.size());
  cr_assert_not(service.reports.empty());
  cr_expect(service.reports.back() == WaveReport::kCompleted);
  ExpectNoViolations(service.cell, true);
}

/// Expects that at each interruption of a task of the long-running job `id` at
/// most `disruption_allowance` of its tasks are not running.
void ExpectAllowanceKept(const Cell& cell, const std::string& id) {
  const workflow::StepSpec& step = cell.jobs.at(id).spec.steps.front();
  size_t interruptions = 0;
  for (const RunRecord& ended : cell.run_records) {
    if (ended.task.substr(0, id.size()) != id || ended.end_ms < 0) continue;
    ++interruptions;
    uint32_t running = 0;
    for (const RunRecord& other : cell.run_records) {
      const bool runs = other.begin_ms <= ended.end_ms &&
                        (other.end_ms < 0 || other.end_ms > ended.end_ms);
      if (runs && other.task.substr(0, id.size()) == id) ++running;
    }
    cr_expect_geq(running + step.disruption_allowance, step.count, "at %lld",
                  static_cast<long long>(ended.end_ms));
  }
  cr_expect_gt(interruptions, 0U);
}

/// Submits a long-running job of which `allowance` tasks may be unavailable at
/// the same time, and returns its id.
std::string SubmitLongRunningJob(Cell& cell, uint32_t tasks,
                                 uint32_t allowance) {
  workflow::JobSpec spec = MakeChain(cell, 1, tasks, {2'000, 500, 0}, 1'000);
  spec.steps.front().long_running = true;
  spec.steps.front().disruption_allowance = allowance;
  Submit(cell, 0, spec);
  return spec.id;
}

/// Submits short jobs, so that the VM with the least work to lose changes
/// constantly.
void SubmitShortJobs(Cell& cell, TimeMs until_ms) {
  constexpr TimeMs kEveryMs = 150;
  for (TimeMs at_ms = kEveryMs; at_ms < until_ms; at_ms += kEveryMs) {
    cell.time.After(at_ms, [&cell] {
      const auto tasks = static_cast<uint32_t>(UniformInt(cell.random, 1, 4));
      Submit(cell, 0, MakeChain(cell, 1, tasks, {3'000, 500, 0}, 900));
    });
  }
}

/// Submits tasks that outlast the drain of a VM, so that each worker has some
/// at any time.
void SubmitLongTasks(Cell& cell, TimeMs until_ms) {
  constexpr TimeMs kEveryMs = 250;
  constexpr TimeMs kRunMs = 2'500;
  for (TimeMs at_ms = 0; at_ms < until_ms; at_ms += kEveryMs) {
    cell.time.After(at_ms, [&cell] {
      Submit(cell, 0, MakeChain(cell, 1, 2, {3'000, 500, 0}, kRunMs));
    });
  }
}

}  // namespace

// Guards against a wave that takes more VMs down than its cap allows, or
// interrupts more tasks of a long-running job than its allowance, and against
// one that never ends.
Test(Maintenance, wave_keeps_its_cap_and_the_allowance, .init = DiscardLogs) {
  // The shorter wave leaves no time to drain a VM before its order.
  for (const TimeMs duration_ms : {40 * kSecond, 4 * kSecond}) {
    Cell cell({.workers = 8, .failure_share = 0});
    VmService service(cell, MakeWave(5, 2));
    service.wave.duration_ms = duration_ms;
    Connect(cell, service);
    cell.time.RunUntil(2 * kSecond);
    const std::string job = SubmitLongRunningJob(cell, 14, 1);
    cell.time.RunUntil(80 * kSecond);
    ExpectCompletedWithinCap(service);
    ExpectAllowanceKept(cell, job);
  }
}

// Guards against a new owner that takes a second VM down while an order of its
// predecessor may still be carried out.
Test(Maintenance, takeover_during_a_wave_keeps_its_cap, .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    Cell cell({.workers = 8, .seed = seed, .failure_share = 0});
    VmService service(cell, MakeWave(4, 1));
    service.late_ms = 4 * kSecond;
    Connect(cell, service);
    const auto kill_at_ms = static_cast<TimeMs>(seed) * 300 + 1'600;
    SubmitShortJobs(cell, kill_at_ms + 8 * kSecond);
    cell.time.RunUntil(kill_at_ms);
    const int owner = FindOwner(cell);
    if (owner >= 0) KillDaemon(cell, owner);
    cell.time.RunUntil(120 * kSecond);
    ExpectCompletedWithinCap(service);
  }
}

// Guards against tasks that run twice after a takeover in a wave: the new owner
// repeated the orders of VMs that were done, took the confirmations for the end
// of the workers that had come since, and started their tasks elsewhere.
Test(Maintenance, takeovers_during_a_wave_run_nothing_twice,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    Cell cell({.workers = 8, .seed = seed, .failure_share = 0});
    VmService service(cell, MakeWave(4, 1));
    Connect(cell, service);
    const auto first_kill_ms = static_cast<TimeMs>(seed) * 700 + 5 * kSecond;
    const TimeMs second_kill_ms = first_kill_ms + 4 * kSecond;
    cell.time.RunUntil(2 * kSecond);
    SubmitLongTasks(cell, second_kill_ms + 4 * kSecond);
    for (const TimeMs kill_ms : {first_kill_ms, second_kill_ms}) {
      cell.time.RunUntil(kill_ms);
      const int owner = FindOwner(cell);
      cr_assert_geq(owner, 0);
      KillDaemon(cell, owner);
      cell.time.RunUntil(kill_ms + 2 * kSecond);
      StartDaemon(cell, owner);
    }
    cell.time.RunUntil(120 * kSecond);
    ExpectCompletedWithinCap(service);
  }
}

// Guards against a wave that waits forever for a VM that no longer exists.
Test(Maintenance, vms_that_are_gone_do_not_hold_up_the_wave,
     .init = DiscardLogs) {
  Cell cell({.workers = 6, .failure_share = 0});
  VmService service(cell, MakeWave(2, 1));
  service.wave.vms.push_back("vm-w99");
  Connect(cell, service);
  cell.time.RunUntil(60 * kSecond);
  cr_expect_eq(service.begins.size(), 2U);
  cr_assert_not(service.reports.empty());
  cr_expect(service.reports.back() == WaveReport::kCompleted);
}

// Guards against a wave that starts over after a takeover because its stored
// record cannot be decoded.
Test(Maintenance, record_survives_a_round_trip) {
  workflow::WaveRecord record;
  record.ordered = {"vm-1", "vm-2"};
  record.targets["vm-2"] = {"w2", 5};
  record.done = {"vm-1"};
  record.completed = true;
  const auto read =
      workflow::DecodeWaveRecord(workflow::EncodeWaveRecord(record));
  cr_assert(read.has_value());
  cr_expect(read->ordered == record.ordered);
  cr_expect(read->targets == record.targets);
  cr_expect(read->done == record.done);
  cr_expect(read->completed);
  // Written by a version that knew neither targets nor VMs that are done.
  const auto older = workflow::DecodeWaveRecord(
      R"({"ordered": ["vm-1"], "completed": false})");
  cr_assert(older.has_value());
  cr_expect(older->ordered.contains("vm-1"));
  cr_expect(older->done.empty());
  cr_expect_not(workflow::DecodeWaveRecord("[]").has_value());
}

// Guards against draining VMs for longer than the duration of the wave allows.
Test(Maintenance, drain_ends_in_time_for_the_wave) {
  workflow::MaintenanceWave wave = MakeWave(4, 1);
  wave.duration_ms = 20 * kSecond;
  cr_expect_eq(workflow::DrainLimitMs(wave, kDownMs), 1'750);
  wave.duration_ms = 4 * kSecond;
  cr_expect_eq(workflow::DrainLimitMs(wave, kDownMs), 0);
}

}  // namespace dotterelcove::model
