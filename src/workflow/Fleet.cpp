#include "workflow/Fleet.h"

#include <utility>

namespace dotterelcove::workflow {

bool IsUsable(const Worker& worker, TimeMs now_ms) {
  return worker.listed && worker.synced && worker.reachable &&
         worker.recorded && !worker.info.draining && worker.orphans.empty() &&
         now_ms >= worker.record.quarantined_until_ms;
}

Resources SizeOnWorker(const StepSpec& step) {
  Resources size = step.size;
  if (step.filler) size.milli_cores = 0;
  return size;
}

void AddRun(Worker& worker, const std::string& name, PlacedRun run) {
  worker.used = worker.used + run.size;
  run.task.job->placed++;
  worker.runs[name] = run;
}

void RemoveRun(Worker& worker, const std::string& name) {
  const auto found = worker.runs.find(name);
  if (found == worker.runs.end()) return;
  worker.used = worker.used - found->second.size;
  found->second.task.job->placed--;
  worker.runs.erase(found);
}

}  // namespace dotterelcove::workflow
