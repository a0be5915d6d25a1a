/// Decision core of the scheduler: takes submissions and reports of workers
/// into its tables and turns them into commands once per tick. It does no I/O
/// and reads no clock; time is a parameter, and the same input gives the same
/// output.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/NameTable.h"
#include "dotterelcove/Types.h"

namespace dotterelcove::core {

/// What is known of a worker apart from its state.
struct WorkerSpec {
  std::string id;
  std::string zone;
  std::string rack;
  Resources capacity;
};

enum class WorkerState : uint8_t {
  /// Fenced under the current epoch; tasks may be placed on it.
  kUsable,
  /// Its tasks continue, no new one is placed.
  kDraining,
  /// No contact. No new task is placed; its tasks stay allocated there.
  kUnreachable,
  /// Its lease has expired, so its tasks have ended.
  kLost,
};
inline constexpr auto kWorkerStateNames =
    MakeNameTable<WorkerState>({{WorkerState::kUsable, "usable"},
                                {WorkerState::kDraining, "draining"},
                                {WorkerState::kUnreachable, "unreachable"},
                                {WorkerState::kLost, "lost"}});

/// A job as submitted.
struct JobSpec {
  std::string id;
  std::string team;
  /// "service/kind"; usage estimates are learned per workload.
  std::string workload;
  RequestClass request_class = RequestClass::kBatch;
  Resources size;
  uint32_t tasks = 1;
  bool gang = false;
  bool idempotent = true;
  /// Declared run time of a task, 0 for unknown or unbounded.
  TimeMs duration_ms = 0;
  /// Time by which the job must start, 0 for none. A job that has not started
  /// by then ends as kNotRun.
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
  /// Start `task` on `worker`. All members of a gang start in one tick.
  kStart,
  /// Ask the worker to checkpoint the task and then to end it.
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
  /// No task of it ever ran: refused, shed, cancelled or past its start-by
  /// time.
  kNotRun,
  /// A non-idempotent task may have run, with unknown result.
  kUnknown,
  /// Cancelled after something ran.
  kCancelled,
};

/// What the caller of Tick must carry out; fields that a kind does not need
/// stay empty.
struct Command {
  CommandKind kind = CommandKind::kStart;
  TaskRef task;
  std::string worker;
  Resources size;
  JobEnd end = JobEnd::kDone;
  std::string message;
  /// For a shed job: delay before it may be submitted again.
  TimeMs retry_after_ms = 0;
};

/// Answer to a submission.
struct SubmitDecision {
  bool accepted = true;
  /// Reason of a refusal: can never run, overload, unknown team.
  std::string message;
  /// For a job that can never run: the largest size near the requested one that
  /// could.
  Resources nearest;
  TimeMs retry_after_ms = 0;
};

/// Policy parameters; the defaults come from docs/measurements.md.
struct CoreOptions {
  /// How much later a batch job is ordered per level of its work, see OrderOf.
  TimeMs ageing_step_ms = 60'000;
  /// Queued jobs of all classes and teams together.
  uint32_t max_queued = 50'000;
  /// Consecutive failures after which a worker is quarantined.
  uint32_t quarantine_failures = 3;
  /// Share of the workers that may be quarantined at a time, but at least one.
  double max_quarantine_share = 0.1;
  /// Time from the quarantine of a worker to the first probe.
  TimeMs quarantine_probe_ms = 30'000;
  /// A failed attempt ends an idempotent job once its task has this many
  /// failures, refused starts included.
  uint32_t max_attempts = 5;
  uint32_t cancellations_per_tick = 1'000;
  /// Shortest time from one reservation to the next. Each reservation keeps
  /// capacity idle, so this trades packing against the waiting time of gangs.
  TimeMs min_reservation_interval_ms = 300'000;
  /// Switches that disable single mechanisms for measurements; all are on in
  /// production.
  bool preemption = true;
  bool reservations = true;
  bool size_learning = true;
  bool retry_backoff = true;
  bool spreading = true;
};

/// State of a job and why it waits, for the operator's "explain".
struct JobExplanation {
  bool found = false;
  std::string state;
  std::string reason;
  std::vector<std::string> workers;
};

/// Totals of a cell.
struct CellStats {
  /// Jobs in queues.
  uint64_t queued = 0;
  /// Tasks that may occupy a worker.
  uint64_t running = 0;
  uint64_t workers_usable = 0;
  uint64_t workers_quarantined = 0;
  /// Capacity of the usable workers.
  Resources capacity;
  /// Allocations on all workers, whatever their state.
  Resources allocated;
};

/// All tables of one partition.
struct Cell;
struct CellDeleter {
  void operator()(Cell* cell) const;
};
using CellPtr = std::unique_ptr<Cell, CellDeleter>;

CellPtr MakeCell(CoreOptions options);

/// Sets the quota of a team. Once a quota is set, jobs of unknown teams are
/// refused.
void SetQuota(Cell& cell, const std::string& team, const Resources& quota);

/// Adds a worker (unreachable until its state is set), or changes its spec.
void AddWorker(Cell& cell, const WorkerSpec& spec);
/// Sets the state of a known worker; a lost worker's tasks end in the next
/// tick.
void SetWorkerState(Cell& cell, const std::string& worker, WorkerState state,
                    TimeMs now);

/// Checks whether a job can ever run and whether the queues have room for it,
/// then queues it. A job that is known already is accepted without effect.
SubmitDecision Submit(Cell& cell, const JobSpec& spec, TimeMs now);
/// Cancels a job; its running tasks get stop commands.
void Cancel(Cell& cell, const std::string& job, TimeMs now);

/// After a takeover: a task of a submitted job is on this worker. Returns false
/// when the job or worker is unknown, or when the member has ended, is
/// elsewhere or is in another attempt; the caller must then stop the task on
/// the worker.
bool AdoptTask(Cell& cell, const TaskRef& task, const std::string& worker,
               TimeMs started_ms);
/// After a takeover: the member has succeeded and is not run again.
void AdoptEnded(Cell& cell, const std::string& job, uint32_t member);
/// After a takeover: a task may be on `worker`, which has not answered yet. The
/// member is not started again until the task ends or the worker is lost.
void AdoptUncertain(Cell& cell, const TaskRef& task, const std::string& worker);

/// Reports from workers. A start or end of an attempt that is not the current
/// one has no effect.
void TaskStarted(Cell& cell, const TaskRef& task, TimeMs now);
void TaskEnded(Cell& cell, const TaskRef& task, TaskEnd end, TimeMs now);
/// Records what a running task used; the report may arrive late.
void ReportUsage(Cell& cell, const TaskRef& task, const Resources& used,
                 TimeMs now);

/// Runs all systems once and appends commands.
void Tick(Cell& cell, TimeMs now, std::vector<Command>& commands);

JobExplanation Explain(const Cell& cell, const std::string& job, TimeMs now);
CellStats Stats(const Cell& cell);

}  // namespace dotterelcove::core
