// The room that work of low priority leaves for urgent work, in a simulated
// cell.
#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <utility>

#include "tests/CellModelDays.h"

namespace dotterelcove::model {
namespace {

constexpr int kLowPriority = 2;
/// A job that can be served has something running within this time.
constexpr TimeMs kStartMs = 3 * kSecond;

/// Submits a job of low priority and returns its id.
std::string SubmitLow(Cell& cell, workflow::JobSpec spec) {
  spec.policy.priority = kLowPriority;
  Submit(cell, 0, spec);
  return spec.id;
}

size_t CountStarts(const Cell& cell, const std::string& id) {
  return static_cast<size_t>(std::count_if(
      cell.run_records.begin(), cell.run_records.end(),
      [&](const RunRecord& run) { return run.task.starts_with(id); }));
}

/// Occupies `milli_cores` of each worker with a long-running task.
void OccupyEachWorker(Cell& cell, int64_t milli_cores) {
  workflow::JobSpec spec =
      MakeChain(cell, 1, static_cast<uint32_t>(cell.workers.size()),
                {milli_cores, 500, 0}, 1'000);
  spec.steps.front().long_running = true;
  spec.steps.front().max_per_worker = 1;
  Submit(cell, 0, spec);
}

/// The most runs of the job's first step that were on one worker at a time.
size_t MostRunsOnAWorker(const Cell& cell, const std::string& id) {
  const std::string prefix = id + ".0.0.";
  size_t most = 0;
  for (const RunRecord& at : cell.run_records) {
    const auto is_there = [&](const RunRecord& run) {
      return run.task.starts_with(prefix) && run.worker == at.worker &&
             run.begin_ms <= at.begin_ms &&
             (run.end_ms < 0 || run.end_ms > at.begin_ms);
    };
    const auto there = std::count_if(cell.run_records.begin(),
                                     cell.run_records.end(), is_there);
    most = std::max(most, static_cast<size_t>(there));
  }
  return most;
}

}  // namespace

// Guards against a task that waits for ever on an idle fleet because it needs
// more of a worker than the reserve for urgent work leaves.
Test(Reserve, whatever_an_idle_fleet_holds_is_started, .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    Random random(seed);
    const int workers = static_cast<int>(UniformInt(random, 1, 4));
    Cell cell({.workers = workers, .seed = seed, .failure_share = 0});
    int64_t largest = 0;
    for (auto& [id, worker] : cell.workers) {
      worker.info.capacity.milli_cores = 4'000 * UniformInt(random, 1, 4);
      largest = std::max(largest, worker.info.capacity.milli_cores);
    }
    cell.time.RunUntil(4 * kSecond);
    const bool is_whole = seed % 2 == 0;
    const int64_t size = is_whole ? largest : UniformInt(random, 100, largest);
    const std::string id =
        SubmitLow(cell, MakeChain(cell, 1, 1, {size, 500, 0}, 200));
    cell.time.RunUntil(cell.time.now_ms + kStartMs);
    cr_expect_eq(CountStarts(cell, id), 1U, "seed %llu: %lld of %lld",
                 static_cast<unsigned long long>(seed),
                 static_cast<long long>(size), static_cast<long long>(largest));
  }
}

// Guards against a task that waits for ever although each worker has room for
// it, because it is larger than what tasks that last leave of the processors
// below the limit of use.
Test(Reserve, task_larger_than_the_rest_below_the_limit_starts,
     .init = DiscardLogs) {
  Cell cell({.workers = 2, .failure_share = 0});
  cell.time.RunUntil(4 * kSecond);
  OccupyEachWorker(cell, 7'500);
  cell.time.RunUntil(6 * kSecond);
  const std::string id =
      SubmitLow(cell, MakeChain(cell, 1, 1, {8'000, 500, 0}, 200));
  cell.time.RunUntil(cell.time.now_ms + kStartMs);
  cr_expect_eq(CountStarts(cell, id), 1U);
}

// Guards against a gang that waits for ever on an idle fleet because two of its
// members do not fit beside the reserve of one worker.
Test(Reserve, gang_that_fills_an_idle_fleet_is_started, .init = DiscardLogs) {
  Cell cell({.workers = 4, .failure_share = 0});
  cell.time.RunUntil(4 * kSecond);
  workflow::JobSpec spec = MakeChain(cell, 1, 8, {8'000, 500, 0}, 200);
  spec.steps.front().gang = true;
  const std::string id = SubmitLow(cell, spec);
  cell.time.RunUntil(cell.time.now_ms + kStartMs);
  cr_expect_eq(CountStarts(cell, id), 8U);
}

// Guards against a task that waits for ever although each worker has room for
// it and less than half of the fleet is in use.
Test(Reserve, half_full_workers_take_what_fits, .init = DiscardLogs) {
  for (const bool is_gang : {false, true}) {
    Cell cell({.workers = 4, .failure_share = 0});
    cell.time.RunUntil(4 * kSecond);
    OccupyEachWorker(cell, 7'600);
    cell.time.RunUntil(6 * kSecond);
    workflow::JobSpec spec = MakeChain(cell, 1, 2, {8'000, 500, 0}, 200);
    spec.steps.front().gang = is_gang;
    const std::string id = SubmitLow(cell, spec);
    cell.time.RunUntil(cell.time.now_ms + kStartMs);
    cr_expect_eq(CountStarts(cell, id), 2U);
  }
}

// Guards against giving the reserve up in a busy cell: urgent work would have
// to stop other work to get room.
Test(Reserve, busy_cell_keeps_room_for_urgent_work, .init = DiscardLogs) {
  Cell cell({.workers = 4, .failure_share = 0});
  cell.time.RunUntil(4 * kSecond);
  SubmitLow(cell, MakeChain(cell, 1, 200, {500, 100, 0}, 20 * kSecond));
  cell.time.RunUntil(cell.time.now_ms + kStartMs);
  for (const auto& [id, worker] : cell.workers) {
    cr_expect_leq(worker.running.size(), 30U, "%s", id.c_str());
  }
  Submit(cell, 0, MakeChain(cell, 1, 4, {500, 100, 0}, 200));
  cell.time.RunUntil(cell.time.now_ms + kStartMs);
  for (const RunRecord& run : cell.run_records) {
    cr_expect_neq(run.outcome, "stopped", "%s", run.task.c_str());
  }
}

// Guards against a limit per worker that is not counted again between the
// placement beside the reserves and the one in them: w0 has room for all tasks
// beside its reserve, w1 for one in its reserve, w2 for none.
Test(Reserve, limit_per_worker_holds_across_the_reserve, .init = DiscardLogs) {
  for (const bool is_long_running : {false, true}) {
    Cell cell({.workers = 3, .failure_share = 0});
    cell.workers.at("w0").info.capacity.milli_cores = 48'000;
    cell.workers.at("w1").info.capacity.milli_cores = 7'200;
    cell.workers.at("w2").info.capacity.milli_cores = 4'500;
    cell.time.RunUntil(4 * kSecond);
    OccupyEachWorker(cell, 3'000);
    cell.time.RunUntil(6 * kSecond);
    workflow::JobSpec spec = MakeChain(cell, 1, 3, {4'000, 500, 0}, 10'000);
    spec.steps.front().max_per_worker = 1;
    spec.steps.front().long_running = is_long_running;
    const std::string id = SubmitLow(cell, spec);
    cell.time.RunUntil(cell.time.now_ms + kStartMs);
    cr_expect_eq(CountStarts(cell, id), 2U, "%zu starts",
                 CountStarts(cell, id));
    cr_expect_eq(MostRunsOnAWorker(cell, id), 1U, "%zu on one worker",
                 MostRunsOnAWorker(cell, id));
  }
}

}  // namespace dotterelcove::model
