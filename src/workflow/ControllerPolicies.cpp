// The configuration of the queues, applied to the jobs that they hold. A job is
// stored with the policy of its acceptance, which counts only until a later one
// is known, and for a queue that the configuration has dropped.
#include <utility>

#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"

namespace dotterelcove::workflow {

void AdoptPolicy(const Controller& c, Job& job) {
  JobSpec& spec = job.spec;
  const auto found = c.policies.find(spec.queue);
  if (found == c.policies.end()) return;
  // Another daemon may have accepted the job under a later version.
  if (c.policy_version < spec.policy_version) return;
  const std::string earlier = std::exchange(spec.policy, found->second).service;
  spec.policy_version = c.policy_version;
  UpdateObjective(job);
  if (spec.policy.service == earlier) return;
  LogAlways(LogLevel::kInfo, "job_moved_to_service",
            {F("job", spec.id), F("queue", spec.queue), F("from", earlier),
             F("to", spec.policy.service), F("config", c.policy_version),
             F("runs", job.placed.size())});
  job.has_moved = true;
  job.changes++;
}

void ApplyPolicies(Controller& c) {
  for (const auto& [id, job] : c.jobs.jobs) {
    AdoptPolicy(c, *job);
    // A successor has to know the service if the queue is dropped afterwards.
    if (job->has_moved && !IsFinal(job->phase)) c.dirty.insert(job.get());
  }
  FlushProgress(c);
}

void UpdatePolicies(Controller& c, std::map<std::string, QueuePolicy> policies,
                    uint64_t version) {
  c.policies = std::move(policies);
  c.policy_version = version;
  c.awaits_configuration = false;
  if (c.loaded) ApplyPolicies(c);
  TryAllSteps(c);
  RequestSchedule(c);
}

}  // namespace dotterelcove::workflow
