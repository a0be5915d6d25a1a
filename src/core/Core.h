/// The decision core: tables in, commands out, each tick. No socket, no clock,
/// no store; time is a parameter, and the same input gives the same output.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/NameTable.h"
#include "dotterelcove/Types.h"

namespace dotterelcove::core {

struct WorkerSpec {
  std::string id;
  std::string zone;
  std::string rack;
  Resources capacity;
};

enum class WorkerState : uint8_t {
  /// Fenced under the present epoch; tasks may be placed.
  kUsable,
  /// Leaving: its tasks go on, none is added.
  kDraining,
  /// No contact: none is added, its tasks stay where they are.
  kUnreachable,
  /// Its lease has expired: its tasks have ended there.
  kLost,
};
inline constexpr auto kWorkerStateNames =
    MakeNameTable<WorkerState>({{WorkerState::kUsable, "usable"},
                                {WorkerState::kDraining, "draining"},
                                {WorkerState::kUnreachable, "unreachable"},
                                {WorkerState::kLost, "lost"}});

struct JobSpec {
  std::string id;
  std::string team;
  /// "service/kind"; usage estimates are learned per this name.
  std::string workload;
  RequestClass request_class = RequestClass::kBatch;
  Resources size;
  uint32_t tasks = 1;
  bool gang = false;
  bool idempotent = true;
  /// Declared run time of a task, 0 for unknown or unbounded.
  TimeMs duration_ms = 0;
  /// Time after which the job need not start any more, 0 for none.
  TimeMs start_by_ms = 0;
};

/// One attempt to run one member of a job.
struct TaskRef {
  std::string job;
  uint32_t member = 0;
  uint32_t attempt = 0;
  friend bool operator==(const TaskRef&, const TaskRef&) = default;
};

/// How an attempt ended.
enum class TaskEnd : uint8_t {
  kSucceeded,
  kFailed,
  /// The worker refused the start; nothing ran.
  kNotStarted,
  /// Preempted after a checkpoint or a stop.
  kPreempted,
  kCancelled,
  /// The worker's lease expired while the task may have run there.
  kLost,
};
inline constexpr auto kTaskEndNames =
    MakeNameTable<TaskEnd>({{TaskEnd::kSucceeded, "succeeded"},
                            {TaskEnd::kFailed, "failed"},
                            {TaskEnd::kNotStarted, "not_started"},
                            {TaskEnd::kPreempted, "preempted"},
                            {TaskEnd::kCancelled, "cancelled"},
                            {TaskEnd::kLost, "lost"}});

enum class CommandKind : uint8_t {
  /// Start `task` on `worker`. The members of a gang come in one batch.
  kStart,
  /// Ask the worker to checkpoint and then end the task.
  kCheckpoint,
  kThrottle,
  kResume,
  kStop,
  /// The job ended; `end` and `message` tell how.
  kJobEnded,
};
inline constexpr auto kCommandKindNames =
    MakeNameTable<CommandKind>({{CommandKind::kStart, "start"},
                                {CommandKind::kCheckpoint, "checkpoint"},
                                {CommandKind::kThrottle, "throttle"},
                                {CommandKind::kResume, "resume"},
                                {CommandKind::kStop, "stop"},
                                {CommandKind::kJobEnded, "job_ended"}});

/// How a job ended.
enum class JobEnd : uint8_t {
  kDone,
  /// Ran and failed for good.
  kFailed,
  /// Nothing of it ever ran: refused, shed, cancelled or too late.
  kNotRun,
  /// A non-idempotent task may have run and its end cannot be known.
  kUnknown,
  /// Cancelled after something ran.
  kCancelled,
};

struct Command {
  CommandKind kind = CommandKind::kStart;
  TaskRef task;
  std::string worker;
  Resources size;
  JobEnd end = JobEnd::kDone;
  std::string message;
  /// For a shed job: when to try again.
  TimeMs retry_after_ms = 0;
};

/// Answer to a submission.
struct SubmitDecision {
  bool accepted = true;
  /// Why not: can never run, overload, unknown team.
  std::string message;
  /// The largest shape near the requested one that could run.
  Resources nearest;
  TimeMs retry_after_ms = 0;
};

/// Policy parameters; the defaults come from docs/measurements.md.
struct CoreOptions {
  TimeMs ageing_step_ms = 60'000;
  uint32_t max_queued = 50'000;
  uint32_t quarantine_failures = 3;
  double max_quarantine_share = 0.1;
  TimeMs quarantine_probe_ms = 30'000;
  uint32_t max_attempts = 5;
  uint32_t cancellations_per_tick = 1'000;
  /// Shortest time from one reservation to the next. Each keeps capacity idle,
  /// so this trades packing against the wait of gangs.
  TimeMs min_reservation_interval_ms = 300'000;
  /// Switches for measurements of single mechanisms; all are on in production.
  bool preemption = true;
  bool reservations = true;
  bool size_learning = true;
  bool retry_backoff = true;
  bool spreading = true;
};

/// Position of a job, for the operator's "explain".
struct JobExplanation {
  bool found = false;
  std::string state;
  std::string reason;
  std::vector<std::string> workers;
};

struct CellStats {
  uint64_t queued = 0;
  uint64_t running = 0;
  uint64_t workers_usable = 0;
  uint64_t workers_quarantined = 0;
  Resources capacity;
  Resources allocated;
};

/// All tables of one partition.
struct Cell;
struct CellDeleter {
  void operator()(Cell* cell) const;
};
using CellPtr = std::unique_ptr<Cell, CellDeleter>;

CellPtr MakeCell(CoreOptions options);

void SetQuota(Cell& cell, const std::string& team, const Resources& quota);

/// Adds a worker (unreachable until its state is set), or changes its spec.
void AddWorker(Cell& cell, const WorkerSpec& spec);
void SetWorkerState(Cell& cell, const std::string& worker, WorkerState state,
                    TimeMs now);

/// Checks a job against what could ever run, and queues it.
SubmitDecision Submit(Cell& cell, const JobSpec& spec, TimeMs now);
/// Ends a job; its running tasks get stop commands.
void Cancel(Cell& cell, const std::string& job, TimeMs now);

/// After a take-over: the task of an already submitted job is on this worker.
/// Returns false when the job or worker is unknown or the member is elsewhere;
/// the caller must then stop it there.
bool AdoptTask(Cell& cell, const TaskRef& task, const std::string& worker,
               TimeMs started_ms);
/// After a take-over: members that have ended need not run again.
void AdoptEnded(Cell& cell, const std::string& job, uint32_t member);
/// After a take-over: a task may be on `worker`, which has not answered yet.
/// The member is not started again until the task ends or the worker is lost.
void AdoptUncertain(Cell& cell, const TaskRef& task, const std::string& worker);

void TaskStarted(Cell& cell, const TaskRef& task, TimeMs now);
void TaskEnded(Cell& cell, const TaskRef& task, TaskEnd end, TimeMs now);
/// A delayed report of what a running task used.
void ReportUsage(Cell& cell, const TaskRef& task, const Resources& used,
                 TimeMs now);

/// Runs all systems once and appends commands.
void Tick(Cell& cell, TimeMs now, std::vector<Command>& commands);

JobExplanation Explain(const Cell& cell, const std::string& job, TimeMs now);
CellStats Stats(const Cell& cell);

}  // namespace dotterelcove::core
