#include "workflow/JobTable.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "workflow/Ordering.h"

namespace dotterelcove::workflow {
namespace {

/// Maximum number of open occurrences of one job.
constexpr uint32_t kMaxOpenOccurrences = 64;

bool ParseNumber(std::string_view& text, uint32_t& value) {
  if (text.empty() || text.front() != '.') return false;
  text.remove_prefix(1);
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc()) return false;
  text.remove_prefix(static_cast<size_t>(end - text.data()));
  return true;
}

Occurrence MakeOccurrence(const JobSpec& spec) {
  Occurrence occurrence;
  for (const StepSpec& step : spec.steps) {
    occurrence.steps.emplace_back();
    AddTasks(occurrence.steps.back(), step.count);
  }
  return occurrence;
}

}  // namespace

std::string MakeStepName(const Job& job, uint32_t occurrence, uint32_t step) {
  return job.spec.id + "." + std::to_string(occurrence) + "." +
         std::to_string(step);
}

std::string MakeTaskName(const TaskRef& ref) {
  return MakeStepName(*ref.job, ref.occurrence, ref.step) + "." +
         std::to_string(ref.index);
}

bool ParseTaskName(std::string_view text, TaskName& name) {
  const size_t dot = text.find('.');
  if (dot == std::string_view::npos) return false;
  name.job = std::string(text.substr(0, dot));
  text.remove_prefix(dot);
  return ParseNumber(text, name.occurrence) && ParseNumber(text, name.step) &&
         ParseNumber(text, name.index) && text.empty();
}

void AddTasks(StepState& step, uint32_t count) {
  step.tasks.resize(count);
  step.waiting = count;
}

void SetPhase(StepState& step, TaskState& task, TaskPhase phase) {
  if (task.phase == TaskPhase::kWaiting) step.waiting--;
  if (phase == TaskPhase::kWaiting) step.waiting++;
  task.phase = phase;
}

Job* FindJob(JobTable& table, const std::string& id) {
  const auto found = table.jobs.find(id);
  return found == table.jobs.end() ? nullptr : found->second.get();
}

TaskRef FindTask(JobTable& table, const TaskName& name) {
  Job* job = FindJob(table, name.job);
  if (job == nullptr) return {};
  const auto found = job->occurrences.find(name.occurrence);
  if (found == job->occurrences.end()) return {};
  if (name.step >= found->second.steps.size()) return {};
  if (name.index >= found->second.steps[name.step].tasks.size()) return {};
  return {job, name.occurrence, name.step, name.index};
}

void UpdateObjective(Job& job) {
  const QueuePolicy& policy = job.spec.policy;
  job.objective_ms =
      static_cast<TimeMs>(policy.stretch *
                          static_cast<double>(job.critical_path_ms)) +
      policy.target_ms;
}

std::unique_ptr<Job> MakeJob(JobSpec spec, TimeMs now_ms, int64_t wall_ms) {
  auto job = std::make_unique<Job>();
  job->spec = std::move(spec);
  job->critical_path_ms = CriticalPathMs(job->spec);
  SetExpectedMs(*job, StatedMs(job->spec));
  const TimeMs age_ms =
      std::max<int64_t>(wall_ms - job->spec.accepted_wall_ms, 0);
  job->accepted_ms = now_ms - age_ms;
  UpdateObjective(*job);
  AddDueOccurrences(*job, wall_ms);
  return job;
}

namespace {

uint32_t NextOccurrence(const Job& job) {
  return job.occurrences.empty() ? 0 : job.occurrences.rbegin()->first + 1;
}

}  // namespace

bool AddDueOccurrences(Job& job, int64_t wall_ms) {
  if (job.spec.occurrences == 0) {
    if (!job.occurrences.empty()) return false;
    job.occurrences.emplace(0, MakeOccurrence(job.spec));
    return true;
  }
  bool added = false;
  while (true) {
    const uint32_t next = NextOccurrence(job);
    if (next >= job.spec.occurrences) return added;
    const int64_t due_wall_ms =
        job.spec.first_start_wall_ms + next * job.spec.interval_ms;
    if (due_wall_ms > wall_ms) return added;
    if (job.occurrences.size() - job.occurrences_done >= kMaxOpenOccurrences) {
      return added;
    }
    job.occurrences.emplace(next, MakeOccurrence(job.spec));
    added = true;
  }
}

bool AddOccurrencesUpTo(Job& job, uint32_t number) {
  if (number >= job.spec.occurrences) return false;
  for (uint32_t next = NextOccurrence(job); next <= number; ++next) {
    job.occurrences.emplace(next, MakeOccurrence(job.spec));
  }
  return true;
}

bool IsStepReady(const Job& job, const Occurrence& occurrence, uint32_t step) {
  for (const uint32_t before : job.spec.steps[step].after) {
    if (occurrence.steps[before].done < job.spec.steps[before].count) {
      return false;
    }
  }
  return true;
}

}  // namespace dotterelcove::workflow
