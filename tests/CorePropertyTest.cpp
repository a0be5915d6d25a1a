/// Properties that hold for every trace of random events. The harness checks
/// after each command that no worker is over its capacity, that no member
/// starts while it is on a worker, and that nothing starts after the end of its
/// job.
#include <criterion/criterion.h>

#include <cstdio>
#include <set>

#include "CoreHarness.h"
#include "base/Random.h"

namespace dotterelcove::core {
namespace {

constexpr int kSeeds = 60;

struct TraceRun {
  CoreHarness harness;
  Random random;
  std::map<std::string, JobSpec> jobs;
  std::map<std::string, TimeMs> submitted;
  /// Jobs that a worker was asked to run, except for refused starts.
  std::set<std::string> may_have_run;
  std::map<std::string, int> non_idempotent_starts;
  std::string log;
};

JobSpec RandomJob(TraceRun& run, int number) {
  Random& random = run.random;
  const auto request_class =
      static_cast<RequestClass>(UniformInt(random, 0, 9) < 3   ? 0
                                : UniformInt(random, 0, 9) < 1 ? 1
                                                               : 2);
  JobSpec spec = MakeJob(
      "j" + std::to_string(number), request_class,
      {UniformInt(random, 1, 16) * 250, UniformInt(random, 1, 16) * 500, 0});
  spec.team = "t" + std::to_string(UniformInt(random, 0, 3));
  spec.workload = "w/" + std::to_string(UniformInt(random, 0, 5));
  spec.idempotent = UniformInt(random, 0, 3) > 0;
  spec.tasks = UniformInt(random, 0, 4) == 0
                   ? static_cast<uint32_t>(UniformInt(random, 2, 5))
                   : 1;
  spec.gang = spec.tasks > 1 && UniformInt(random, 0, 1) == 0;
  spec.duration_ms = UniformInt(random, 0, 5'000);
  if (UniformInt(random, 0, 9) == 0) spec.start_by_ms = run.harness.now + 3'000;
  return spec;
}

/// When a gang member starts, all members must be on workers after the same
/// tick.
void CheckGangs(TraceRun& run) {
  std::set<std::string> started;
  for (const Command& command : run.harness.last) {
    if (command.kind != CommandKind::kStart) continue;
    started.insert(command.task.job);
  }
  for (const std::string& id : started) {
    const JobSpec& spec = run.jobs.at(id);
    if (!spec.gang) continue;
    for (uint32_t i = 0; i < spec.tasks; ++i) {
      cr_assert(run.harness.held.contains({id, i}), "gang %s is partial",
                id.c_str());
    }
  }
}

/// Members of jobs that are not idempotent start at most once, except for
/// refused starts.
void CheckAtMostOnce(TraceRun& run) {
  for (const Command& command : run.harness.last) {
    if (command.kind != CommandKind::kStart) continue;
    const std::string& id = command.task.job;
    if (run.jobs.at(id).idempotent) continue;
    const std::string key = id + "/" + std::to_string(command.task.member);
    cr_assert(run.non_idempotent_starts[key]++ == 0, "%s may run twice",
              key.c_str());
  }
}

void TickAndCheck(TraceRun& run) {
  CoreHarness& harness = run.harness;
  RunTick(harness);
  CheckGangs(run);
  CheckAtMostOnce(run);
  for (const Command& command : harness.last) {
    run.log += std::to_string(harness.now) +
               std::string(NameOf(kCommandKindNames, command.kind)) +
               command.task.job + "." + std::to_string(command.task.member) +
               "@" + command.worker + ";";
    if (command.kind != CommandKind::kJobEnded ||
        command.end != JobEnd::kNotRun) {
      continue;
    }
    cr_assert_not(run.may_have_run.contains(command.task.job),
                  "false \"not run\" for %s", command.task.job.c_str());
  }
}

void EndOne(TraceRun& run, const HeldTask& task, TaskEnd end) {
  const std::string key = task.ref.job + "/" + std::to_string(task.ref.member);
  if (end == TaskEnd::kNotStarted) {
    run.non_idempotent_starts[key]--;
  } else {
    run.may_have_run.insert(task.ref.job);
  }
  End(run.harness, task.ref.job, task.ref.member, end);
}

/// Ends the tasks that were asked to stop, and some of the others in a random
/// way, which is success with `without_failures`.
void RandomEnds(TraceRun& run, bool without_failures) {
  std::set<std::pair<std::string, uint32_t>> stop_requested;
  for (const Command& command : run.harness.last) {
    if (command.kind == CommandKind::kCheckpoint ||
        command.kind == CommandKind::kStop) {
      stop_requested.insert({command.task.job, command.task.member});
    }
  }
  const auto held = run.harness.held;
  for (const auto& [key, task] : held) {
    if (stop_requested.contains(key)) {
      EndOne(run, task, TaskEnd::kPreempted);
      continue;
    }
    if (UniformInt(run.random, 0, without_failures ? 2 : 9) != 0) continue;
    const int64_t roll = without_failures ? 99 : UniformInt(run.random, 0, 99);
    EndOne(run, task,
           roll < 8    ? TaskEnd::kFailed
           : roll < 14 ? TaskEnd::kNotStarted
           : roll < 16 ? TaskEnd::kCancelled
                       : TaskEnd::kSucceeded);
  }
}

void RandomWorkerChange(TraceRun& run) {
  const std::string worker =
      "w" + std::to_string(UniformInt(run.random, 0, 11));
  const int64_t roll = UniformInt(run.random, 0, 9);
  if (roll < 3) {
    for (const auto& [key, task] : run.harness.held) {
      if (task.worker == worker) run.may_have_run.insert(task.ref.job);
    }
    LoseWorker(run.harness, worker);
  } else {
    SetWorkerState(*run.harness.cell, worker,
                   roll < 4   ? WorkerState::kDraining
                   : roll < 5 ? WorkerState::kUnreachable
                              : WorkerState::kUsable,
                   run.harness.now);
  }
}

void RandomUsage(TraceRun& run) {
  for (const auto& [key, task] : run.harness.held) {
    if (UniformInt(run.random, 0, 4) != 0) continue;
    Resources used = run.jobs.at(key.first).size;
    const int64_t tenths = UniformInt(run.random, 1, 100);
    used.milli_cores = used.milli_cores * tenths / 10;
    used.memory_mb = used.memory_mb * tenths / 10;
    ReportUsage(*run.harness.cell, task.ref, used, run.harness.now);
  }
}

TraceRun RunTrace(uint64_t seed) {
  TraceRun run{MakeHarness(12, {8'000, 16'000, 0}, {}, 3),
               Random(seed),
               {},
               {},
               {},
               {},
               {}};
  for (int i = 0; i < 4; ++i) {
    SetQuota(*run.harness.cell, "t" + std::to_string(i),
             {12'000 + 8'000 * i, 40'000, 0});
  }
  int number = 0;
  for (int step = 0; step < 400; ++step) {
    for (int64_t i = UniformInt(run.random, 0, 4); i > 0; --i) {
      const JobSpec spec = RandomJob(run, number++);
      if (!Submit(*run.harness.cell, spec, run.harness.now).accepted) continue;
      run.jobs[spec.id] = spec;
      run.submitted[spec.id] = run.harness.now;
    }
    if (number > 0 && UniformInt(run.random, 0, 5) == 0) {
      Cancel(*run.harness.cell,
             "j" + std::to_string(UniformInt(run.random, 0, number - 1)),
             run.harness.now);
    }
    if (UniformInt(run.random, 0, 9) == 0) RandomWorkerChange(run);
    if (UniformInt(run.random, 0, 3) == 0) RandomUsage(run);
    TickAndCheck(run);
    RandomEnds(run, false);
    run.harness.now += UniformInt(run.random, 1, 400);
  }
  // Then all workers are usable and nothing fails, so every job must end.
  for (int i = 0; i < 12; ++i) {
    SetWorkerState(*run.harness.cell, "w" + std::to_string(i),
                   WorkerState::kUsable, run.harness.now);
  }
  for (int step = 0; step < 4'000; ++step) {
    if (run.harness.ended.size() == run.jobs.size()) break;
    TickAndCheck(run);
    RandomEnds(run, true);
    run.harness.now += 500;
  }
  return run;
}

}  // namespace

// Guards against jobs that never end and capacity that leaks; RunTrace checks
// the other properties on each tick. The explanation of a job that has not
// ended goes into the failure message.
Test(CoreProperty, every_job_ends_and_nothing_leaks, .timeout = 300) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    TraceRun run = RunTrace(seed);
    for (const auto& [id, spec] : run.jobs) {
      const JobExplanation why =
          Explain(*run.harness.cell, id, run.harness.now);
      cr_assert(run.harness.ended.contains(id), "seed %llu: %s is %s: %s",
                static_cast<unsigned long long>(seed), id.c_str(),
                why.state.c_str(), why.reason.c_str());
    }
    const CellStats stats = Stats(*run.harness.cell);
    cr_assert_eq(stats.queued, 0u);
    cr_assert_eq(stats.running, 0u);
    cr_assert(stats.allocated == Resources{});
    cr_assert(run.harness.held.empty());
  }
}

// Guards against decisions that depend on anything but the input.
Test(CoreProperty, same_input_gives_same_output, .timeout = 120) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const std::string first = RunTrace(seed).log;
    cr_assert_gt(first.size(), 10'000u);
    cr_assert_eq(first, RunTrace(seed).log);
  }
}

// Guards against starvation of a large batch job by small ones.
Test(CoreProperty, the_wait_of_a_large_job_is_bounded, .timeout = 120) {
  CoreOptions options;
  options.ageing_step_ms = 10'000;
  CoreHarness harness = MakeHarness(4, {8'000, 16'000, 0}, options);
  Random random(7);
  std::map<std::string, TimeMs> ends;
  Submit(*harness.cell, MakeJob("seed", RequestClass::kBatch, {8'000, 1, 0}),
         0);
  bool started = false;
  int number = 0;
  for (; harness.now < 200'000 && !started; harness.now += 100) {
    if (harness.now == 10'000) {
      JobSpec large =
          MakeJob("large", RequestClass::kBatch, {8'000, 16'000, 0});
      large.workload = "w/large";
      Submit(*harness.cell, large, harness.now);
    }
    JobSpec spec = MakeJob("s" + std::to_string(number++), RequestClass::kBatch,
                           {1'000, 1'000, 0});
    spec.duration_ms = 3'500;
    Submit(*harness.cell, spec, harness.now);
    RunTick(harness);
    for (const Command& command : harness.last) {
      if (command.kind != CommandKind::kStart) continue;
      started = started || command.task.job == "large";
      ends[command.task.job] = harness.now + UniformInt(random, 2'000, 5'000);
    }
    for (auto& [job, at] : ends) {
      if (at > harness.now || !harness.held.contains({job, 0})) continue;
      End(harness, job, 0, TaskEnd::kSucceeded);
    }
  }
  cr_assert(started);
  // Two ageing steps to the reservation, then the running tasks' ends.
  cr_assert_leq(harness.now, 10'000 + 5 * 10'000 + 20'000);
}

}  // namespace dotterelcove::core
