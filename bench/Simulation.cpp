#include "bench/Simulation.h"

#include <algorithm>
#include <memory>
#include <queue>

namespace dotterelcove::bench {
namespace {

using core::Command;
using core::CommandKind;
using core::TaskEnd;

enum class EventKind : uint8_t { kArrival, kTaskEnd, kUsage, kWorker };

struct Event {
  TimeMs at_ms = 0;
  uint64_t order = 0;
  EventKind kind = EventKind::kArrival;
  size_t job = 0;
  uint32_t member = 0;
  uint32_t attempt = 0;
  TaskEnd end = TaskEnd::kSucceeded;
  friend bool operator>(const Event& a, const Event& b) {
    if (a.at_ms != b.at_ms) return a.at_ms > b.at_ms;
    return a.order > b.order;
  }
};

struct RunningTask {
  bool running = false;
  uint32_t attempt = 0;
  TimeMs started_ms = 0;
  std::string worker;
};

struct JobState {
  bool started = false;
  bool ended = false;
  std::vector<RunningTask> members;
};

/// Actual resource usage of one worker since its last change.
struct WorkerUsage {
  int64_t milli_cores = 0;
  int64_t memory_mb = 0;
  Resources capacity;
  TimeMs since_ms = 0;
};

struct Simulation {
  const Trace& trace;
  const Scheduler& scheduler;
  const SimulationOptions& options;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::vector<JobState> jobs;
  std::map<std::string, WorkerUsage> use;
  SimulationResult result;
  uint64_t next_order = 1;
};

void Push(Simulation& run, Event event) {
  event.order = run.next_order++;
  run.events.push(event);
}

size_t IndexOf(const std::string& job_id) {
  return std::stoul(job_id.substr(1));
}

/// Adds (sign 1) or removes (sign -1) the actual usage of one task, and first
/// counts the time that the worker was overloaded since the last change.
void UpdateUsage(Simulation& run, const TraceJob& job,
                 const std::string& worker, int sign, TimeMs now) {
  WorkerUsage& use = run.use.at(worker);
  const TimeMs until = std::min(now, run.trace.horizon_ms);
  if (use.milli_cores > use.capacity.milli_cores ||
      use.memory_mb > use.capacity.memory_mb) {
    run.result.overloaded_ms +=
        static_cast<double>(std::max<TimeMs>(until - use.since_ms, 0));
  }
  use.since_ms = now;
  const auto real = [&](int64_t declared) {
    return sign * static_cast<int64_t>(static_cast<double>(declared) *
                                       job.usage_factor);
  };
  use.milli_cores += real(job.spec.size.milli_cores);
  use.memory_mb += real(job.spec.size.memory_mb);
}

core::TaskRef RefOf(const Simulation& run, const Event& event) {
  return {run.trace.jobs[event.job].spec.id, event.member, event.attempt};
}

void OnStart(Simulation& run, const Command& command, TimeMs now) {
  const size_t index = IndexOf(command.task.job);
  const TraceJob& job = run.trace.jobs[index];
  JobState& state = run.jobs[index];
  run.result.starts++;
  if (!state.started) {
    state.started = true;
    const auto wait = static_cast<double>(now - job.arrives_ms);
    run.result.waits[static_cast<size_t>(job.spec.request_class)].push_back(
        wait);
    run.result.team_waits[job.spec.team].push_back(wait);
  }
  RunningTask& task = state.members[command.task.member];
  task = {true, command.task.attempt, now, command.worker};
  UpdateUsage(run, job, command.worker, 1, now);
  Event event;
  event.kind = EventKind::kTaskEnd;
  event.job = index;
  event.member = command.task.member;
  event.attempt = command.task.attempt;
  event.at_ms = now + job.run_ms;
  const bool fails = run.options.failing_workers.contains(command.worker) ||
                     (job.spec.workload == run.options.failing_workload &&
                      now < run.options.failing_until_ms);
  if (fails) {
    event.at_ms = now + 20;
    event.end = TaskEnd::kFailed;
  }
  Push(run, event);
  if (run.options.usage_delay_ms > 0) {
    event.kind = EventKind::kUsage;
    event.at_ms = now + run.options.usage_delay_ms;
    Push(run, event);
  }
}

void OnStopRequest(Simulation& run, const Command& command, TimeMs now) {
  Event event;
  event.kind = EventKind::kTaskEnd;
  event.job = IndexOf(command.task.job);
  event.member = command.task.member;
  event.attempt = command.task.attempt;
  event.end = TaskEnd::kPreempted;
  // The task takes 50 ms to checkpoint.
  event.at_ms = now + 50;
  Push(run, event);
}

/// Marks a task as no longer running. Its core time counts towards the result
/// if counts_as_work is set.
void ReleaseTask(Simulation& run, size_t index, uint32_t member,
                 bool counts_as_work, TimeMs now) {
  const TraceJob& job = run.trace.jobs[index];
  RunningTask& task = run.jobs[index].members[member];
  task.running = false;
  UpdateUsage(run, job, task.worker, -1, now);
  if (!counts_as_work) return;
  const TimeMs until = std::min(now, run.trace.horizon_ms);
  run.result.core_ms += static_cast<double>(until - task.started_ms) *
                        static_cast<double>(job.spec.size.milli_cores) / 1000;
}

void OnTaskEnd(Simulation& run, const Event& event, TimeMs now) {
  RunningTask& task = run.jobs[event.job].members[event.member];
  if (!task.running || task.attempt != event.attempt) return;
  if (event.end == TaskEnd::kFailed) run.result.failed_attempts++;
  ReleaseTask(run, event.job, event.member, event.end == TaskEnd::kSucceeded,
              now);
  run.scheduler.ended(RefOf(run, event), event.end, now);
}

void OnUsage(Simulation& run, const Event& event, TimeMs now) {
  const RunningTask& task = run.jobs[event.job].members[event.member];
  if (!task.running || task.attempt != event.attempt) return;
  const TraceJob& job = run.trace.jobs[event.job];
  Resources used = job.spec.size;
  used.milli_cores = static_cast<int64_t>(
      static_cast<double>(used.milli_cores) * job.usage_factor);
  used.memory_mb = static_cast<int64_t>(static_cast<double>(used.memory_mb) *
                                        job.usage_factor);
  run.scheduler.usage(RefOf(run, event), used, now);
}

/// Applies all worker events at the given time, and counts the service members
/// lost per workload.
void OnWorkerEvents(Simulation& run, TimeMs at, TimeMs now) {
  std::map<std::string, uint64_t> lost;
  for (const WorkerEvent& change : run.options.worker_events) {
    if (change.at_ms != at) continue;
    for (size_t i = 0; i < run.jobs.size(); ++i) {
      if (change.state != core::WorkerState::kLost) break;
      for (uint32_t m = 0; m < run.jobs[i].members.size(); ++m) {
        const RunningTask& task = run.jobs[i].members[m];
        if (!task.running || task.worker != change.worker) continue;
        ReleaseTask(run, i, m, false, now);
        const auto& spec = run.trace.jobs[i].spec;
        if (spec.request_class == RequestClass::kService) lost[spec.workload]++;
      }
    }
    run.scheduler.set_worker(change.worker, change.state, now);
  }
  for (const auto& [workload, count] : lost) {
    run.result.max_lost_members = std::max(run.result.max_lost_members, count);
  }
}

void OnCommand(Simulation& run, const Command& command, TimeMs now) {
  if (command.kind == CommandKind::kStart) {
    OnStart(run, command, now);
  } else if (command.kind == CommandKind::kCheckpoint ||
             command.kind == CommandKind::kStop) {
    OnStopRequest(run, command, now);
  } else if (command.kind == CommandKind::kJobEnded) {
    const size_t index = IndexOf(command.task.job);
    run.jobs[index].ended = true;
    if (command.end != core::JobEnd::kDone) return;
    run.result.completed[static_cast<size_t>(
        run.trace.jobs[index].spec.request_class)]++;
  }
}

void OnEvent(Simulation& run, const Event& event, TimeMs now) {
  switch (event.kind) {
    case EventKind::kArrival:
      run.scheduler.submit(run.trace.jobs[event.job].spec, now);
      break;
    case EventKind::kTaskEnd:
      OnTaskEnd(run, event, now);
      break;
    case EventKind::kUsage:
      OnUsage(run, event, now);
      break;
    case EventKind::kWorker:
      OnWorkerEvents(run, event.at_ms, now);
      break;
  }
}

void ScheduleInitialEvents(Simulation& run) {
  for (const auto& worker : run.trace.workers) {
    run.use[worker.id].capacity = worker.capacity;
  }
  run.jobs.resize(run.trace.jobs.size());
  for (size_t i = 0; i < run.trace.jobs.size(); ++i) {
    run.jobs[i].members.resize(run.trace.jobs[i].spec.tasks);
    Event event;
    event.at_ms = run.trace.jobs[i].arrives_ms;
    event.job = i;
    Push(run, event);
  }
  std::set<TimeMs> times;
  for (const WorkerEvent& change : run.options.worker_events) {
    if (!times.insert(change.at_ms).second) continue;
    Event event;
    event.at_ms = change.at_ms;
    event.kind = EventKind::kWorker;
    Push(run, event);
  }
}

/// Counts the core time of tasks still running at the horizon and the waits of
/// jobs that never started.
void CountUnfinishedJobs(Simulation& run) {
  const TimeMs horizon = run.trace.horizon_ms;
  for (size_t i = 0; i < run.jobs.size(); ++i) {
    const TraceJob& job = run.trace.jobs[i];
    for (uint32_t m = 0; m < run.jobs[i].members.size(); ++m) {
      if (run.jobs[i].members[m].running) ReleaseTask(run, i, m, true, horizon);
    }
    if (run.jobs[i].started || job.arrives_ms >= horizon) continue;
    const auto wait = static_cast<double>(horizon - job.arrives_ms);
    run.result.waits[static_cast<size_t>(job.spec.request_class)].push_back(
        wait);
    run.result.team_waits[job.spec.team].push_back(wait);
  }
}

}  // namespace

Scheduler MakeCoreScheduler(const core::CoreOptions& options,
                            const std::vector<core::WorkerSpec>& workers,
                            const Quotas& quotas) {
  const std::shared_ptr<core::Cell> cell = core::MakeCell(options);
  for (const auto& worker : workers) {
    core::AddWorker(*cell, worker);
    core::SetWorkerState(*cell, worker.id, core::WorkerState::kUsable, 0);
  }
  for (const auto& [team, quota] : quotas) core::SetQuota(*cell, team, quota);
  Scheduler scheduler;
  scheduler.submit = [cell](const core::JobSpec& spec, TimeMs now) {
    return core::Submit(*cell, spec, now);
  };
  scheduler.ended = [cell](const core::TaskRef& task, TaskEnd end, TimeMs now) {
    core::TaskEnded(*cell, task, end, now);
  };
  scheduler.usage = [cell](const core::TaskRef& task, const Resources& used,
                           TimeMs now) {
    core::ReportUsage(*cell, task, used, now);
  };
  scheduler.set_worker = [cell](const std::string& worker,
                                core::WorkerState state, TimeMs now) {
    core::SetWorkerState(*cell, worker, state, now);
  };
  scheduler.tick = [cell](TimeMs now, std::vector<Command>& commands) {
    core::Tick(*cell, now, commands);
  };
  return scheduler;
}

SimulationResult Simulate(const Trace& trace, const Scheduler& scheduler,
                          const SimulationOptions& options) {
  Simulation run{trace, scheduler, options, {}, {}, {}, {}, 1};
  ScheduleInitialEvents(run);
  std::vector<Command> commands;
  // Tick interval without events, so that the timers of the core still fire.
  constexpr TimeMs kIdleTickMs = 100;
  TimeMs now = 0;
  while (now < trace.horizon_ms) {
    TimeMs next = now + kIdleTickMs;
    if (!run.events.empty()) next = std::min(next, run.events.top().at_ms);
    next = std::max(next, now + 1);
    now = (next + options.tick_ms - 1) / options.tick_ms * options.tick_ms;
    while (!run.events.empty() && run.events.top().at_ms <= now) {
      const Event event = run.events.top();
      run.events.pop();
      OnEvent(run, event, now);
    }
    commands.clear();
    scheduler.tick(now, commands);
    for (const Command& command : commands) OnCommand(run, command, now);
  }
  CountUnfinishedJobs(run);
  return std::move(run.result);
}

double Mean(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) sum += value;
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto rank =
      static_cast<size_t>(share * static_cast<double>(values.size()));
  return values[std::min(rank, values.size() - 1)];
}

}  // namespace dotterelcove::bench
