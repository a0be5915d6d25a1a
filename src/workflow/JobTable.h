/// In-memory state of the jobs of a cell, kept by its owner.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "accounts/Quota.h"
#include "base/NameTable.h"
#include "workflow/Crashes.h"
#include "workflow/StepPermits.h"
#include "workflow/Workflow.h"

namespace dotterelcove::workflow {

/// The phase of a job that callers see.
enum class JobPhase : uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled
};
inline constexpr auto kJobPhaseNames =
    MakeNameTable<JobPhase>({{JobPhase::kQueued, "queued"},
                             {JobPhase::kRunning, "running"},
                             {JobPhase::kCompleted, "completed"},
                             {JobPhase::kFailed, "failed"},
                             {JobPhase::kCancelled, "cancelled"}});

inline bool IsFinal(JobPhase phase) {
  return phase != JobPhase::kQueued && phase != JobPhase::kRunning;
}

enum class TaskPhase : uint8_t {
  /// Not on any worker.
  kWaiting,
  /// A start was sent and not answered yet.
  kStarting,
  kRunning,
  /// A stop was sent; the task still occupies its worker.
  kStopping,
  kDone,
};
inline constexpr auto kTaskPhaseNames =
    MakeNameTable<TaskPhase>({{TaskPhase::kWaiting, "waiting"},
                              {TaskPhase::kStarting, "starting"},
                              {TaskPhase::kRunning, "running"},
                              {TaskPhase::kStopping, "stopping"},
                              {TaskPhase::kDone, "done"}});

struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the last start, 0 before the first.
  uint32_t run = 0;
  /// Number of the last run whose end has been taken into account.
  uint32_t ended_run = 0;
  /// Numbers of the runs that failed. A set of run numbers counts each end
  /// once, in whichever order owners receive them.
  std::set<uint32_t> failed_runs;
  /// Its runs during which their worker crashed.
  TaskCrashes crashes;
  /// Worker that holds it, empty while waiting or done.
  std::string worker;
  /// Latest checkpoint, empty for none.
  std::string checkpoint;
  TimeMs started_ms = 0;
  /// Completed share of the work in percent as last reported by the worker, and
  /// when that last changed.
  int percent = 0;
  TimeMs progress_ms = 0;
  /// Workers on which a run of this task failed or stalled, or that crashed
  /// under it. They are skipped only until `avoid_until_ms`, because there may
  /// be no other eligible worker.
  std::set<std::string> avoid;
  TimeMs avoid_until_ms = 0;
  /// Not placed before this time.
  TimeMs not_before_ms = 0;
};

/// Whether runs may have to be preempted for a step.
enum class PreemptionOutlook : uint8_t {
  kUnknown,
  /// No candidate has runs that could make room for a task.
  kNoVictims,
  /// Runs that are being stopped leave enough room.
  kRoomPending,
};

/// What the last pass that tried to place a step has found. While it holds, a
/// pass need not try again, see src/workflow/PassChanges.h.
struct PlacementMemo {
  /// The last pass in which it held, 0 for none.
  uint64_t pass = 0;
  /// `Job::changes` and `StepState::waiting` at that time.
  uint64_t job_changes = 0;
  uint32_t waiting = 0;
  /// Tasks that could have been placed if there had been room, and those of
  /// them that the quota of the account allowed.
  uint32_t ready = 0;
  uint32_t tried = 0;
  /// Tasks that found no room; 0 if none was ready.
  uint32_t unplaced = 0;
  /// How many of them might have used the reserves but found no room there
  /// either.
  uint32_t tried_in_reserve = 0;
  /// When the first task that has to wait may be placed, or may be placed on
  /// more workers.
  TimeMs retry_ms = 0;
  PreemptionOutlook preemption = PreemptionOutlook::kUnknown;
  /// No worker with room is left for which a permit could be requested.
  bool has_none_to_request = false;
};

struct StepState {
  std::vector<TaskState> tasks;
  uint32_t done = 0;
  /// Number of tasks in the phase `kWaiting`, kept by SetPhase().
  uint32_t waiting = 0;
  PlacementMemo memo;
  StepPermits permits;
  /// When runs may be preempted for the step again.
  TimeMs next_preemption_ms = 0;
  TimeMs ready_since_ms = -1;
};

/// One execution of the steps; a recurring job has several.
struct Occurrence {
  std::vector<StepState> steps;
  bool complete = false;
};

struct Worker;

/// Where a run occupies a worker. A worker outlives the runs on it.
struct RunLocation {
  Worker* worker = nullptr;
  std::string task;
};

struct Job {
  JobSpec spec;
  JobPhase phase = JobPhase::kQueued;
  /// The phase that is stored, so that callers may see it.
  JobPhase committed_phase = JobPhase::kQueued;
  /// What its account has running, null for a job without an account.
  accounts::AccountUsage* usage = nullptr;
  /// Whether it was within its account's share when it was admitted; true
  /// without an account. A new owner counts by the times of acceptance.
  bool is_within_share = true;
  /// The open occurrences, and complete ones until DropCompleted(). All other
  /// numbers below `next_occurrence` are complete.
  std::map<uint32_t, Occurrence> occurrences;
  /// Number of the first occurrence that has not been added.
  uint32_t next_occurrence = 0;
  uint32_t occurrences_done = 0;
  bool cancel_requested = false;
  /// A task of the job has started at some time.
  bool started = false;
  /// Its queue was sent to another service after it was accepted.
  bool has_moved = false;
  /// Store version at which it was accepted.
  uint64_t version = 0;
  /// Number of events that may let its steps be placed differently: tasks wait
  /// again, permits were granted or denied, crashes were recorded or stored.
  uint64_t changes = 0;
  /// Progress has changed since the last commit.
  bool dirty = false;
  /// Crashes under its tasks are not stored yet. Those tasks wait until they
  /// are, so that no owner starts them more often than allowed.
  bool has_unstored_crashes = false;
  /// The commit of the job's outcome is pending or in flight.
  bool closing = false;
  bool closed = false;
  /// Its runs that occupy a worker.
  std::vector<RunLocation> placed;
  TimeMs accepted_ms = 0;
  TimeMs critical_path_ms = 0;
  /// Run time to expect of each step's tasks on a typical worker: the stated
  /// one until another has been learnt.
  std::vector<TimeMs> expected_ms;
  /// Critical path from each step to the end, by the expected run times.
  std::vector<TimeMs> remaining_paths_ms;
  TimeMs objective_ms = 0;
  TimeMs closed_ms = 0;
};

/// Reference to one task. A job is not erased while a worker holds a reference
/// to it.
struct TaskRef {
  Job* job = nullptr;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;
};

/// A task's name split into its parts.
struct TaskName {
  std::string job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;
};

std::string MakeStepName(const Job& job, uint32_t occurrence, uint32_t step);
std::string MakeTaskName(const TaskRef& ref);
/// Returns false for text that names no task.
bool ParseTaskName(std::string_view text, TaskName& name);

inline const StepSpec& SpecOf(const TaskRef& ref) {
  return ref.job->spec.steps[ref.step];
}
inline TimeMs ExpectedMs(const TaskRef& ref) {
  return ref.job->expected_ms[ref.step];
}
inline StepState& StepOf(const TaskRef& ref) {
  return ref.job->occurrences.at(ref.occurrence).steps[ref.step];
}
inline TaskState& TaskOf(const TaskRef& ref) {
  return StepOf(ref).tasks[ref.index];
}

/// Gives a new step its tasks, all waiting.
void AddTasks(StepState& step, uint32_t count);
void SetPhase(StepState& step, TaskState& task, TaskPhase phase);

struct JobTable {
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs;
};

Job* FindJob(JobTable& table, const std::string& id);
/// The task `name` refers to, or a reference without a job.
TaskRef FindTask(JobTable& table, const TaskName& name);

/// Creates the state of a job that has not started.
std::unique_ptr<Job> MakeJob(JobSpec spec, TimeMs now_ms, int64_t wall_ms);

/// Computes the job's objective from its policy.
void UpdateObjective(Job& job);

/// One occurrence with all its tasks waiting.
Occurrence MakeOccurrence(const JobSpec& spec);

/// Adds the occurrences that are due at `wall_ms`, as far as the number of open
/// ones allows; returns whether any was added.
bool AddDueOccurrences(Job& job, int64_t wall_ms);

/// Adds the occurrences up to `number` that are missing, whether due or not;
/// returns false for one that is complete, that the job does not have, or that
/// no owner can have begun.
bool AddOccurrencesUpTo(Job& job, uint32_t number);

/// Forgets the complete occurrences of a recurring job that no run refers to.
/// They would cost memory and time for as long as the job recurs.
void DropCompleted(Job& job);

/// Whether every step that `step` depends on is done.
bool IsStepReady(const Job& job, const Occurrence& occurrence, uint32_t step);

}  // namespace dotterelcove::workflow
