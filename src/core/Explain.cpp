#include "core/Core.h"
#include "core/Placement.h"
#include "core/Queue.h"
#include "core/Tables.h"

namespace dotterelcove::core {
namespace {

std::string WaitingReason(const Cell& cell, const Job& job, TimeMs now) {
  const std::string waited =
      "waiting for " + std::to_string((now - job.submitted_ms) / 1000) + " s";
  if (job.restarting) return waited + "; the gang's other tasks are ending";
  if (!job.queued) return waited + " for the back-off after a failure";
  const Resources size = AllocationOf(cell, ShapeOf(job));
  std::string reason = waited;
  if (!IsWithinQuota(cell.teams[job.team], size)) {
    reason += "; team " + cell.teams[job.team].name + " is beyond its quota";
  }
  if (FindBestFit(cell, {size, CapacityScope::kUnreserved, kNone}) == kNone) {
    reason += "; no usable worker has enough free capacity";
  } else if (job.gang) {
    reason += "; not all gang members fit at once";
  }
  return reason;
}

}  // namespace

JobExplanation Explain(const Cell& cell, const std::string& id, TimeMs now) {
  JobExplanation explanation;
  const auto found = cell.job_by_id.find(id);
  if (found == cell.job_by_id.end()) return explanation;
  const Job& job = cell.jobs[found->second];
  explanation.found = true;
  for (const Member& member : job.members) {
    if (member.worker == kNone) continue;
    explanation.workers.push_back(cell.workers[member.worker].spec.id);
  }
  if (job.ending) {
    explanation.state = "ending";
    explanation.reason = job.message;
  } else if (job.active == 0 || (job.waiting > 0 && !job.gang)) {
    explanation.state = job.active > 0 ? "partly_running" : "waiting";
    explanation.reason = WaitingReason(cell, job, now);
  } else {
    explanation.state = "running";
    explanation.reason = std::to_string(job.active) + " of " +
                         std::to_string(job.members.size()) + " tasks run";
  }
  return explanation;
}

CellStats Stats(const Cell& cell) {
  CellStats stats;
  stats.queued = cell.queued_jobs;
  stats.running = cell.active_members;
  stats.workers_quarantined = cell.quarantined;
  for (const Worker& worker : cell.workers) {
    stats.allocated = stats.allocated + worker.allocated;
    if (worker.state != WorkerState::kUsable) continue;
    stats.workers_usable++;
    stats.capacity = stats.capacity + worker.spec.capacity;
  }
  return stats;
}

}  // namespace dotterelcove::core
