/// The jobs of a cell in the memory of its owner.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/NameTable.h"
#include "workflow/Workflow.h"

namespace dotterelcove::workflow {

/// What callers are told about a job.
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
  /// A start was sent and its outcome is not known yet.
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
  /// Numbers of the runs that failed. Counting by number takes each end once,
  /// in whatever order owners learn of them.
  std::set<uint32_t> failed_runs;
  /// Worker that holds it, empty while waiting or done.
  std::string worker;
  /// Newest checkpoint, empty for none.
  std::string checkpoint;
  TimeMs started_ms = 0;
  /// Share of the work done as the worker last reported it, and when it last
  /// rose.
  int percent = 0;
  TimeMs progress_ms = 0;
  /// Workers on which a run of this task failed or made no progress. They are
  /// passed over until `avoid_until_ms` only: no other may be allowed.
  std::set<std::string> avoid;
  TimeMs avoid_until_ms = 0;
  /// Not placed before this time.
  TimeMs not_before_ms = 0;
};

/// A permit to start the tasks of one step on one worker.
struct Ticket {
  std::string text;
  TimeMs valid_until_ms = 0;
  /// Incarnation of the worker it was given for.
  uint64_t incarnation = 0;
};

struct StepState {
  std::vector<TaskState> tasks;
  uint32_t done = 0;
  /// Tickets by worker, and workers known not to be allowed.
  std::map<std::string, Ticket> tickets;
  std::set<std::string> denied;
  /// Requests to the permit authority that are under way.
  int requests = 0;
  TimeMs next_request_ms = 0;
  TimeMs ready_since_ms = -1;
};

/// One execution of the steps; a job that recurs has several.
struct Occurrence {
  std::vector<StepState> steps;
  bool complete = false;
};

struct Job {
  JobSpec spec;
  JobPhase phase = JobPhase::kQueued;
  /// The phase that is stored and may be told to callers.
  JobPhase committed_phase = JobPhase::kQueued;
  std::map<uint32_t, Occurrence> occurrences;
  uint32_t occurrences_done = 0;
  bool cancel_requested = false;
  /// A task of it has begun at some time.
  bool started = false;
  /// Stored before this owner took over, so that a worker may hold a task of
  /// it that this owner has not seen yet.
  bool from_predecessor = false;
  /// Version of the store at which it was accepted.
  uint64_t version = 0;
  /// Progress has changed since the last commit.
  bool dirty = false;
  /// A commit that ends the job is under way.
  bool closing = false;
  bool closed = false;
  /// Tasks that occupy a worker.
  uint32_t placed = 0;
  TimeMs accepted_ms = 0;
  TimeMs critical_path_ms = 0;
  TimeMs objective_ms = 0;
  TimeMs closed_ms = 0;
};

/// Points at one task. The job outlives every reference held by a worker.
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
inline StepState& StepOf(const TaskRef& ref) {
  return ref.job->occurrences.at(ref.occurrence).steps[ref.step];
}
inline TaskState& TaskOf(const TaskRef& ref) {
  return StepOf(ref).tasks[ref.index];
}

struct JobTable {
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs;
};

Job* FindJob(JobTable& table, const std::string& id);
/// The task `name` refers to, or a reference without a job.
TaskRef FindTask(JobTable& table, const TaskName& name);

/// Makes the state of a job that has not begun.
std::unique_ptr<Job> MakeJob(JobSpec spec, TimeMs now_ms, int64_t wall_ms);

/// Adds the occurrences that are due at `wall_ms`; returns whether any was.
bool AddDueOccurrences(Job& job, int64_t wall_ms);

/// Whether every step that `step` waits for has ended.
bool IsStepReady(const Job& job, const Occurrence& occurrence, uint32_t step);

}  // namespace dotterelcove::workflow
