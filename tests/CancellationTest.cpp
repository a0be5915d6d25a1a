// Cancellations of jobs whose submission is still under way.
#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "node/JobStore.h"
#include "tests/CellModelDays.h"
#include "tests/CellModelParts.h"

namespace dotterelcove::model {
namespace {

workflow::JobSpec MakeLastingJob(Cell& cell) {
  workflow::JobSpec spec = MakeChain(cell, 1, 4, {1'000, 256, 0}, 400);
  spec.steps.front().long_running = true;
  return spec;
}

size_t CountRunning(const Cell& cell, const std::string& job) {
  return static_cast<size_t>(
      std::count_if(cell.run_records.begin(), cell.run_records.end(),
                    [&](const RunRecord& run) {
                      return run.task.starts_with(job) && run.end_ms < 0;
                    }));
}

/// The next transactions are carried out after `delay_ms`, and nobody is told.
void LoseAnswers(Cell& cell, double share, TimeMs delay_ms) {
  cell.store.faults.lost_answer_share = share;
  cell.store.faults.lost_write_delay_ms = delay_ms;
}

}  // namespace

// Guards against a job that runs for ever although its cancellation was
// acknowledged, since the store inserts it after it was found to be unknown.
Test(Cancellation, holds_for_an_insert_that_is_carried_out_later,
     .init = DiscardLogs) {
  Cell cell({.failure_share = 0});
  cell.time.RunUntil(2 * kSecond);
  const workflow::JobSpec spec = MakeLastingJob(cell);
  LoseAnswers(cell, 1, 1'000);
  Submit(cell, 0, spec);
  LoseAnswers(cell, 0, 0);
  cell.time.RunUntil(2'500);
  Cancel(cell, 1, spec.id);
  cell.time.RunUntil(2'800);
  cr_assert_geq(cell.jobs.at(spec.id).cancelled_ms, 0);
  cell.time.RunUntil(5 * kSecond);
  KillDaemon(cell, FindOwner(cell));
  cell.time.RunUntil(12 * kSecond);
  cr_expect_eq(CountRunning(cell, spec.id), 0U);
  ExpectNoViolations(cell, false);
}

// Guards against either order of an insert and a cancellation, with the answer
// to either lost, after which an acknowledged cancellation does not hold.
Test(Cancellation, holds_in_every_order_with_lost_answers,
     .init = DiscardLogs) {
  int acknowledged = 0;
  for (uint64_t seed = 1; seed <= 150; ++seed) {
    Cell cell({.seed = seed, .failure_share = 0});
    cell.time.RunUntil(2 * kSecond);
    const workflow::JobSpec spec = MakeLastingJob(cell);
    LoseAnswers(cell, 0.5, UniformInt(cell.random, 0, 1'500));
    cell.time.After(UniformInt(cell.random, 0, 1'000),
                    [&] { Submit(cell, 0, spec); });
    cell.jobs[spec.id].spec = spec;
    cell.time.After(UniformInt(cell.random, 0, 2'000),
                    [&] { Cancel(cell, 1, spec.id); });
    cell.time.RunUntil(7 * kSecond);
    LoseAnswers(cell, 0, 0);
    cell.time.RunUntil(15 * kSecond);
    if (cell.jobs.at(spec.id).cancelled_ms < 0) continue;
    ++acknowledged;
    cr_expect_eq(CountRunning(cell, spec.id), 0U, "seed %llu",
                 static_cast<unsigned long long>(seed));
  }
  cr_expect_gt(acknowledged, 75);
}

// Guards against a flood of cancellations of unknown jobs, each of which takes
// a row of the store.
Test(Cancellation, of_unknown_jobs_is_limited, .init = DiscardLogs) {
  Cell cell({.failure_share = 0});
  cell.time.RunUntil(2 * kSecond);
  JobOutcome got;
  const auto now = [&cell] { return cell.time.now_ms; };
  const Runtime runtime{
      now, now, [&cell](TimeMs delay_ms, std::function<void()> callback) {
        cell.time.After(delay_ms, std::move(callback));
      }};
  const RowStore store = MakeStore(cell, 0, cell.daemons.front()->alive);
  InsertCancellation(
      runtime, store, "00000000000000aa", cell.time.now_ms + kSecond,
      [] { return false; },
      [&](JobOutcome outcome) { got = std::move(outcome); });
  cell.time.RunUntil(2'500);
  cr_expect(got.answer == JobAnswer::kRefused);
  cr_expect_eq(got.calls, 1U);
  cr_expect_not(cell.store.rows.contains({"job", "00000000000000aa"}));
}

}  // namespace dotterelcove::model
