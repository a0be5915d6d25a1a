#include "scheduler/Adoption.h"

#include <algorithm>
#include <utility>

#include "base/Clock.h"
#include "scheduler/JobRecords.h"

namespace dotterelcove {
namespace {

bool EndedWithoutResult(const ReportedTask& task) {
  return task.ended.has_value() && task.ended->end != WorkerTaskEnd::kSucceeded;
}

}  // namespace

Adoption::Adoption(JobTable& jobs, CellDriver& driver, WorkerPool& pool,
                   std::function<void(Job&)> open)
    : jobs(jobs), driver(driver), pool(pool), open(std::move(open)) {}

bool Adoption::has_unresolved_workers() const {
  return !this->all_workers_resolved;
}

bool Adoption::HoldOrOpen(Job& job) {
  if (this->all_workers_resolved || this->AllMembersReported(job)) {
    this->Release(job);
    return false;
  }
  job.phase = JobPhase::kHeld;
  this->held_jobs.push_back(job.submit.job);
  return true;
}

void Adoption::OnFenced(const std::string& worker, const FenceReply& reply) {
  this->driver.Reconcile(worker, reply);
  const TimeMs now = MonotonicMs();
  for (const HeldTask& task : reply.held) {
    if (this->driver.HasTask(task.task.id)) continue;
    this->AddReportedTask(worker, task.task, now - task.running_ms, nullptr);
  }
}

void Adoption::OnEnded(const std::string& worker, const EndedTask& task,
                       const Acknowledge& acknowledge) {
  if (this->driver.HasTask(task.task.id)) {
    this->driver.OnEnded(worker, task, acknowledge);
    return;
  }
  this->held_acknowledgements[task.task.id] = acknowledge;
  this->AddReportedTask(worker, task.task, MonotonicMs(), &task);
}

Job* Adoption::FindOrRebuild(const WorkerTask& task) {
  Job* const job = this->jobs.Find(task.job);
  if (job != nullptr) return job;
  wire::SubmitT submit;
  if (!UnpackSubmit(task.descriptor, submit) || submit.job != task.job) {
    return nullptr;
  }
  // The deadline in the descriptor is relative to an unknown time. It limits
  // only the start, and this task has started.
  submit.deadline_ms = 0;
  Job& rebuilt = this->jobs.Add(std::move(submit), MonotonicMs());
  rebuilt.phase = JobPhase::kHeld;
  this->held_jobs.push_back(task.job);
  return &rebuilt;
}

void Adoption::AddReportedTask(const std::string& worker,
                               const WorkerTask& task, TimeMs started_ms,
                               const EndedTask* ended) {
  const auto acknowledge = [this, &task] {
    const auto found = this->held_acknowledgements.find(task.id);
    if (found == this->held_acknowledgements.end()) return;
    const Acknowledge call = std::move(found->second);
    this->held_acknowledgements.erase(found);
    call();
  };
  Job* const job = this->FindOrRebuild(task);
  const bool is_awaited = job != nullptr && job->phase == JobPhase::kHeld &&
                          task.member < job->members.size() &&
                          !job->members[task.member].ended;
  if (!is_awaited) {
    // Its job or member has ended, or the job was released and the member runs
    // elsewhere.
    if (ended != nullptr) {
      acknowledge();
      return;
    }
    WorkerSession* const session = this->pool.Find(worker);
    if (session != nullptr) session->Control(task.id, ControlAction::kStop);
    return;
  }
  job->may_have_run = true;
  ReportedTask found;
  found.worker = worker;
  found.task = task;
  found.started_ms = started_ms;
  if (ended != nullptr) found.ended = *ended;
  // A task that was reported as running may end before its job is released.
  std::erase_if(job->reported_tasks, [&task](const ReportedTask& earlier) {
    return earlier.task.id == task.id;
  });
  job->reported_tasks.push_back(std::move(found));
  if (this->all_workers_resolved || this->AllMembersReported(*job))
    this->Release(*job);
}

bool Adoption::AllMembersReported(const Job& job) const {
  for (uint32_t member = 0; member < job.members.size(); ++member) {
    if (job.members[member].ended) continue;
    const bool found = std::any_of(
        job.reported_tasks.begin(), job.reported_tasks.end(),
        [member](const ReportedTask& task) {
          return task.task.member == member && !EndedWithoutResult(task);
        });
    if (!found) return false;
  }
  return true;
}

void Adoption::OnWorkerResolved(bool history_lost) {
  if (history_lost) this->any_history_lost = true;
  if (this->all_workers_resolved || !this->pool.Unanswered().empty()) return;
  this->all_workers_resolved = true;
  const std::vector<std::string> ids = std::move(this->held_jobs);
  this->held_jobs.clear();
  for (const std::string& id : ids) {
    Job* const job = this->jobs.Find(id);
    if (job != nullptr && job->phase == JobPhase::kHeld) this->Release(*job);
  }
}

void Adoption::Release(Job& job) {
  const std::string id = job.submit.job;
  // A member that no worker reported may have run on a worker that lost its
  // history. The outcome of a non-idempotent job is then unknown.
  const bool unknown = this->any_history_lost && !job.submit.idempotent &&
                       !this->AllMembersReported(job);
  const std::vector<ReportedTask> found = std::move(job.reported_tasks);
  job.reported_tasks.clear();
  if (unknown) {
    job.may_have_run = true;
    job.phase = JobPhase::kOpen;
    this->driver.Decide(job, core::JobEnd::kUnknown,
                        "a worker that may have run it cannot tell any more");
  } else {
    this->open(job);
  }
  // The job may have been refused and removed.
  this->Replay(this->jobs.Find(id), found);
}

void Adoption::Replay(Job* job, std::vector<ReportedTask> found) {
  if (job != nullptr) {
    for (uint32_t member = 0; member < job->members.size(); ++member) {
      if (job->members[member].ended) this->driver.AdoptEnded(*job, member);
    }
  }
  // Running and succeeded attempts come first; earlier attempts of a member
  // that ended without a result no longer matter.
  std::stable_sort(found.begin(), found.end(),
                   [](const ReportedTask& a, const ReportedTask& b) {
                     return EndedWithoutResult(a) < EndedWithoutResult(b);
                   });
  for (const ReportedTask& task : found) {
    Acknowledge acknowledge = [] {};
    const auto held = this->held_acknowledgements.find(task.task.id);
    if (held != this->held_acknowledgements.end()) {
      acknowledge = std::move(held->second);
      this->held_acknowledgements.erase(held);
    }
    const bool adopted = job != nullptr && this->driver.Adopt(*job, task);
    if (task.ended.has_value()) {
      // If the task was not adopted, this only acknowledges it.
      this->driver.OnEnded(task.worker, *task.ended, acknowledge);
      continue;
    }
    if (adopted) continue;
    WorkerSession* const session = this->pool.Find(task.worker);
    if (session != nullptr) {
      session->Control(task.task.id, ControlAction::kStop);
    }
  }
}

}  // namespace dotterelcove
