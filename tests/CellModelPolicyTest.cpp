// Changes of the queues' configuration on the simulated cell.
#include <criterion/criterion.h>

#include <algorithm>
#include <string>

#include "tests/CellModelDays.h"
#include "workflow/JobRows.h"

namespace dotterelcove::model {
namespace {

constexpr const char* kQueue = "queue";
constexpr const char* kOld = "old";
constexpr const char* kNew = "new";

workflow::QueuePolicy MakePolicy(const std::string& service) {
  workflow::QueuePolicy policy;
  policy.service = service;
  policy.attempts = 3;
  return policy;
}

/// Puts a configuration in force that sends the queue to the service; to none
/// if that is empty.
void Configure(Cell& cell, const std::string& service, uint64_t version) {
  std::map<std::string, workflow::QueuePolicy> policies;
  if (!service.empty()) policies[kQueue] = MakePolicy(service);
  cell.configure_owner = [policies, version](workflow::Controller& c) {
    workflow::UpdatePolicies(c, policies, version);
  };
  for (const auto& daemon : cell.daemons) {
    if (daemon->controller) cell.configure_owner(*daemon->controller);
  }
}

/// Gives the first worker to the old service and all others to the new one.
void SplitServices(Cell& cell) {
  bool is_first = true;
  for (auto& [id, worker] : cell.workers) {
    worker.info.service = is_first ? kOld : kNew;
    is_first = false;
  }
}

workflow::JobSpec MakeLastingJob(Cell& cell, const std::string& service) {
  workflow::JobSpec spec = MakeChain(cell, 1, 2, {1'000, 256, 0}, 400);
  spec.steps.front().long_running = true;
  spec.policy = MakePolicy(service);
  spec.policy_version = 1;
  return spec;
}

/// Number of the job's tasks that run on workers of the service.
size_t CountRunningAt(const Cell& cell, const std::string& job,
                      const std::string& service) {
  return static_cast<size_t>(std::count_if(
      cell.run_records.begin(), cell.run_records.end(),
      [&](const RunRecord& run) {
        return run.task.starts_with(job) && run.end_ms < 0 &&
               cell.workers.at(run.worker).info.service == service;
      }));
}

/// A cell with a lasting job that runs at the old service.
std::string StartAtOldService(Cell& cell) {
  SplitServices(cell);
  cell.time.RunUntil(2 * kSecond);
  Configure(cell, kOld, 1);
  const workflow::JobSpec spec = MakeLastingJob(cell, kOld);
  Submit(cell, 0, spec);
  cell.time.RunUntil(4 * kSecond);
  cr_assert_eq(CountRunningAt(cell, spec.id, kOld), 2U);
  return spec.id;
}

/// The workers of the old service are cut off until their leases have expired.
void LoseOldService(Cell& cell) {
  for (auto& [id, worker] : cell.workers) {
    if (worker.info.service == kOld) worker.partitioned = true;
  }
}

}  // namespace

// Guards against a job that is lost when its queue moves to another service and
// the workers of the earlier one leave.
Test(CellModelPolicies, job_follows_its_queue_to_another_service,
     .init = DiscardLogs) {
  Cell cell({.failure_share = 0});
  const std::string job = StartAtOldService(cell);
  Configure(cell, kNew, 2);
  cell.time.RunUntil(6 * kSecond);
  // Its runs go on.
  cr_expect_eq(CountRunningAt(cell, job, kOld), 2U);
  LoseOldService(cell);
  cell.time.RunUntil(20 * kSecond);
  cr_expect_eq(CountRunningAt(cell, job, kNew), 2U);
}

// Guards against a successor that takes the service which the job was stored
// with for the present one, while its queue is in the configuration and after
// that.
Test(CellModelPolicies, successor_knows_the_service_of_a_moved_queue,
     .init = DiscardLogs) {
  for (const bool is_dropped : {false, true}) {
    Cell cell({.failure_share = 0});
    const std::string job = StartAtOldService(cell);
    Configure(cell, kNew, 2);
    cell.time.RunUntil(5 * kSecond);
    if (is_dropped) Configure(cell, "", 3);
    cell.time.RunUntil(6 * kSecond);
    KillDaemon(cell, FindOwner(cell));
    cell.time.RunUntil(10 * kSecond);
    LoseOldService(cell);
    cell.time.RunUntil(25 * kSecond);
    cr_expect_eq(CountRunningAt(cell, job, kNew), 2U, "dropped %d", is_dropped);
  }
}

// Guards against a queue that moves and moves back while it has no owner.
Test(CellModelPolicies, queue_that_moved_back_keeps_its_service,
     .init = DiscardLogs) {
  Cell cell({.failure_share = 0});
  const std::string job = StartAtOldService(cell);
  Configure(cell, kNew, 2);
  KillDaemon(cell, FindOwner(cell));
  Configure(cell, kOld, 3);
  cell.time.RunUntil(15 * kSecond);
  cr_expect_eq(CountRunningAt(cell, job, kOld), 2U);
  cr_expect_eq(CountRunningAt(cell, job, kNew), 0U);
}

// Guards against an owner that sends a job back to the service of an earlier
// configuration than the one under which it was accepted.
Test(CellModelPolicies, earlier_configuration_does_not_overrule_a_later_one,
     .init = DiscardLogs) {
  Cell cell({.failure_share = 0});
  SplitServices(cell);
  cell.time.RunUntil(2 * kSecond);
  Configure(cell, kOld, 1);
  workflow::JobSpec spec = MakeLastingJob(cell, kNew);
  spec.policy_version = 2;
  Submit(cell, 0, spec);
  cell.time.RunUntil(4 * kSecond);
  cr_expect_eq(CountRunningAt(cell, spec.id, kNew), 2U);
  Configure(cell, kNew, 2);
  cell.time.RunUntil(6 * kSecond);
  cr_expect_eq(CountRunningAt(cell, spec.id, kNew), 2U);
}

// Guards against starts at a stored service by an owner that has not read the
// configuration yet.
Test(CellModelPolicies, nothing_starts_before_the_configuration_is_known,
     .init = DiscardLogs) {
  Cell cell({.failure_share = 0});
  cell.time.RunUntil(2 * kSecond);
  const int owner = FindOwner(cell);
  cr_assert_geq(owner, 0);
  cell.daemons[static_cast<size_t>(owner)]->controller->awaits_configuration =
      true;
  const workflow::JobSpec spec = MakeChain(cell, 1, 2, {1'000, 256, 0}, 400);
  Submit(cell, 0, spec);
  cell.time.RunUntil(4 * kSecond);
  cr_expect_eq(cell.run_records.size(), 0U);
  Configure(cell, "service", 1);
  cell.time.RunUntil(6 * kSecond);
  cr_expect_eq(cell.run_records.size(), 2U);
}

// Guards against a progress row that tells callers of a job which waits, but
// whose queue has moved, that it runs.
Test(CellModelPolicies, moved_job_is_queued_until_a_task_starts) {
  workflow::Job job;
  job.spec.policy = MakePolicy(kNew);
  job.spec.policy_version = 7;
  job.has_moved = true;
  const std::string row = EncodeProgress(job);
  cr_expect_not(workflow::HasStarted(row));
  workflow::Job read;
  cr_expect(ApplyProgress(row, read));
  cr_expect(read.has_moved);
  cr_expect_str_eq(read.spec.policy.service.c_str(), kNew);
  cr_expect_eq(read.spec.policy_version, 7U);
  job.started = true;
  cr_expect(workflow::HasStarted(EncodeProgress(job)));
}

}  // namespace dotterelcove::model
