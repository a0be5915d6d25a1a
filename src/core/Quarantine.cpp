#include "core/Quarantine.h"

#include <algorithm>

#include "core/Placement.h"
#include "core/Systems.h"

namespace dotterelcove::core {
namespace {

/// Bound of the delay between probes, as a multiple of quarantine_probe_ms; the
/// delay doubles with each failed probe.
constexpr TimeMs kMaxProbeFactor = 16;

/// Returns whether one more worker may be quarantined. At least one may, so
/// that small cells are protected too, but never the only worker.
bool HasQuarantineRoom(const Cell& cell) {
  const auto limit =
      static_cast<uint32_t>(cell.options.max_quarantine_share *
                            static_cast<double>(cell.workers.size()));
  return cell.quarantined < std::max<uint32_t>(limit, 1) &&
         cell.workers.size() > 1;
}

void DelayProbe(const Cell& cell, Worker& worker, TimeMs now) {
  worker.probe_started = false;
  worker.probe_delay_ms =
      std::min(worker.probe_delay_ms * 2,
               cell.options.quarantine_probe_ms * kMaxProbeFactor);
  worker.probe_at_ms = now + worker.probe_delay_ms;
}

}  // namespace

void CountFailure(Cell& cell, JobIndex job_index, WorkerIndex worker_index,
                  TimeMs now) {
  Job& job = cell.jobs[job_index];
  Workload& workload = cell.workloads[job.workload];
  Worker& worker = cell.workers[worker_index];
  const WorkerIndex previous_worker = job.failed_on;
  job.failed_on = worker_index;
  if (worker.quarantined) {
    if (worker.probe_started) DelayProbe(cell, worker, now);
    return;
  }
  if (job.at_fault || workload.at_fault || previous_worker == worker_index)
    return;
  if (previous_worker != kNone && worker.healthy) {
    job.at_fault = true;
    workload.at_fault = true;
    Worker& earlier = cell.workers[previous_worker];
    if (earlier.failures > 0) earlier.failures--;
    return;
  }
  worker.failures++;
  worker.healthy = false;
}

void CountSuccess(Cell& cell, JobIndex job, WorkerIndex worker_index) {
  cell.workloads[cell.jobs[job].workload].at_fault = false;
  Worker& worker = cell.workers[worker_index];
  worker.failures = 0;
  worker.healthy = true;
  if (!worker.quarantined) return;
  worker.quarantined = false;
  worker.probing = false;
  worker.probe_started = false;
  cell.quarantined--;
  cell.capacity_epoch++;
  Reindex(cell, worker_index);
}

void RunQuarantine(Cell& cell, TimeMs now, Commands& /*commands*/) {
  for (WorkerIndex index = 0; index < cell.workers.size(); ++index) {
    Worker& worker = cell.workers[index];
    if (worker.quarantined) {
      if (worker.probing || now < worker.probe_at_ms) continue;
      worker.probing = true;
      cell.capacity_epoch++;
      Reindex(cell, index);
      continue;
    }
    if (worker.failures < cell.options.quarantine_failures) continue;
    if (!HasQuarantineRoom(cell)) continue;
    worker.quarantined = true;
    worker.probing = false;
    worker.probe_started = false;
    worker.probe_delay_ms = cell.options.quarantine_probe_ms;
    worker.probe_at_ms = now + worker.probe_delay_ms;
    worker.failures = 0;
    cell.quarantined++;
    Reindex(cell, index);
  }
}

}  // namespace dotterelcove::core
