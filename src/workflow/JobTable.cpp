#include "workflow/JobTable.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "workflow/Ordering.h"

namespace dotterelcove::workflow {
namespace {

/// Maximum number of open occurrences of one job, and of their tasks.
constexpr uint32_t kMaxOpenOccurrences = 64;
constexpr uint32_t kMaxOpenTasks = kMaxTasksOfAJob;

uint32_t MaxOpenOccurrences(const JobSpec& spec) {
  const uint32_t tasks = std::max(CountTasks(spec), 1U);
  return std::clamp(kMaxOpenTasks / tasks, 1U, kMaxOpenOccurrences);
}

/// How many occurrences a predecessor may have added beyond those that it has
/// stored: the store may have been away while many were open and completed.
uint32_t MaxOccurrencesAhead(const JobSpec& spec) {
  constexpr uint32_t kTimesOpen = 10;
  const uint32_t tasks = std::max(CountTasks(spec), 1U);
  return std::max(kTimesOpen * kMaxOpenTasks / tasks, MaxOpenOccurrences(spec));
}

bool ParseNumber(std::string_view& text, uint32_t& value) {
  if (text.empty() || text.front() != '.') return false;
  text.remove_prefix(1);
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc()) return false;
  text.remove_prefix(static_cast<size_t>(end - text.data()));
  return true;
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

Occurrence MakeOccurrence(const JobSpec& spec) {
  Occurrence occurrence;
  for (const StepSpec& step : spec.steps) {
    occurrence.steps.emplace_back();
    AddTasks(occurrence.steps.back(), step.count);
  }
  return occurrence;
}

bool AddDueOccurrences(Job& job, int64_t wall_ms) {
  const JobSpec& spec = job.spec;
  if (spec.occurrences == 0) {
    if (job.next_occurrence > 0) return false;
    job.occurrences.emplace(job.next_occurrence++, MakeOccurrence(spec));
    return true;
  }
  const uint32_t most_open = MaxOpenOccurrences(spec);
  const uint32_t first = job.next_occurrence;
  while (job.next_occurrence < spec.occurrences) {
    const int64_t due_wall_ms =
        spec.first_start_wall_ms + job.next_occurrence * spec.interval_ms;
    if (due_wall_ms > wall_ms) break;
    if (job.next_occurrence - job.occurrences_done >= most_open) break;
    job.occurrences.emplace(job.next_occurrence++, MakeOccurrence(spec));
  }
  return job.next_occurrence > first;
}

bool AddOccurrencesUpTo(Job& job, uint32_t number) {
  if (number >= job.spec.occurrences || number < job.next_occurrence) {
    return false;
  }
  if (number - job.next_occurrence >= MaxOccurrencesAhead(job.spec)) {
    return false;
  }
  while (job.next_occurrence <= number) {
    job.occurrences.emplace(job.next_occurrence++, MakeOccurrence(job.spec));
  }
  return true;
}

void DropCompleted(Job& job) {
  if (job.spec.occurrences == 0) return;
  const bool any =
      std::any_of(job.occurrences.begin(), job.occurrences.end(),
                  [](const auto& entry) { return entry.second.complete; });
  if (!any) return;
  std::set<uint32_t> in_use;
  for (const RunLocation& run : job.placed) {
    TaskName name;
    if (ParseTaskName(run.task, name)) in_use.insert(name.occurrence);
  }
  std::erase_if(job.occurrences, [&](const auto& entry) {
    return entry.second.complete && !in_use.contains(entry.first);
  });
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
