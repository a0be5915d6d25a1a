#include "workflow/Fleet.h"

#include <utility>

namespace dotterelcove::workflow {
namespace {

int64_t FillerLoad(const PlacedRun& run) {
  const StepSpec& spec = SpecOf(run.task);
  return spec.filler ? spec.size.milli_cores : 0;
}

}  // namespace

bool IsUsable(const Worker& worker, TimeMs now_ms) {
  return worker.listed && worker.synced && worker.reachable &&
         !worker.overdue && worker.recorded && !worker.info.draining &&
         !worker.maintenance_planned && worker.orphans.empty() &&
         now_ms >= worker.health.quarantined_until_ms;
}

Resources SizeOnWorker(const StepSpec& step) {
  Resources size = step.size;
  if (step.filler) size.milli_cores = 0;
  return size;
}

void AddRun(Worker& worker, const std::string& name, PlacedRun run) {
  RemoveRun(worker, name);
  worker.used = worker.used + run.size;
  worker.filler_milli_cores += FillerLoad(run);
  run.task.job->placed.push_back({&worker, name});
  worker.runs[name] = run;
}

void RemoveRun(Worker& worker, const std::string& name) {
  const auto found = worker.runs.find(name);
  if (found == worker.runs.end()) return;
  worker.used = worker.used - found->second.size;
  worker.filler_milli_cores -= FillerLoad(found->second);
  std::erase_if(found->second.task.job->placed, [&](const RunLocation& at) {
    return at.worker == &worker && at.task == name;
  });
  worker.runs.erase(found);
}

}  // namespace dotterelcove::workflow
