// Workers that crash under a task, and workers whose capacity changes.
#include <criterion/criterion.h>

#include <string>

#include "tests/CellModelDays.h"

namespace dotterelcove::model {
namespace {

/// A cell in which tasks fail only with their worker. With every second seed,
/// a worker returns under another id.
CellOptions MakeCrashOptions(uint64_t seed) {
  return {.workers = 16,
          .seed = seed,
          .failure_share = 0,
          .new_id_after_crash = seed % 2 == 0};
}

/// Submits jobs whose first task crashes its workers, over five seconds.
void SubmitCrashingJobs(Cell& cell, int jobs) {
  for (int i = 0; i < jobs; ++i) {
    cell.time.After(i * 5 * kSecond / jobs, [&cell] {
      const workflow::JobSpec spec =
          MakeChain(cell, 1, 3, {1'500, 1'000, 0}, 600);
      Submit(cell, 0, spec);
      cell.jobs.at(spec.id).crashes_workers = true;
    });
  }
}

size_t CountCrashes(const Cell& cell, const std::string& task) {
  size_t crashes = 0;
  for (const RunRecord& record : cell.run_records) {
    if (record.task == task && record.outcome == "gone") ++crashes;
  }
  return crashes;
}

void ExpectGivenUp(const Cell& cell, size_t max_crashes) {
  for (const auto& [id, job] : cell.jobs) {
    if (!job.crashes_workers) continue;
    const size_t crashes = CountCrashes(cell, id + ".0.0.0");
    cr_expect_leq(crashes, max_crashes, "seed %llu: %zu crashes under %s",
                  static_cast<unsigned long long>(cell.options.seed), crashes,
                  id.c_str());
  }
}

}  // namespace

// Guards against a task that crashes worker after worker, up to the thirteenth
// on the users' day.
Test(CellModel, task_that_crashes_its_workers_is_given_up,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Cell cell(MakeCrashOptions(seed));
    cell.time.RunUntil(2 * kSecond);
    SubmitRandomJobs(cell, 8, 6);
    SubmitCrashingJobs(cell, 6);
    cell.time.RunUntil(70 * kSecond);
    ExpectGivenUp(cell, 4);
    ExpectNoViolations(cell, true);
  }
}

// Guards against crashes that a new owner does not know of: with each takeover
// the task could crash as many workers again.
Test(CellModel, crashes_under_a_task_are_known_after_a_takeover,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Cell cell(MakeCrashOptions(seed));
    cell.time.RunUntil(2 * kSecond);
    SubmitRandomJobs(cell, 8, 6);
    SubmitCrashingJobs(cell, 4);
    for (const TimeMs at_ms : {6 * kSecond, 13 * kSecond}) {
      cell.time.After(UniformInt(cell.random, 0, at_ms), [&cell] {
        const int owner = FindOwner(cell);
        if (owner < 0) return;
        KillDaemon(cell, owner);
        cell.time.After(400, [&cell, owner] { StartDaemon(cell, owner); });
      });
    }
    cell.time.RunUntil(90 * kSecond);
    ExpectGivenUp(cell, 5);
    ExpectNoViolations(cell, true);
  }
}

// Guards against a task that is started again before its crash is stored: the
// next owner would not count it.
Test(CellModel, crashes_are_stored_before_the_next_start, .init = DiscardLogs) {
  Cell cell({.workers = 4, .failure_share = 0, .new_id_after_crash = true});
  cell.time.RunUntil(2 * kSecond);
  SubmitCrashingJobs(cell, 1);
  cell.time.RunUntil(3 * kSecond);
  cr_assert_eq(cell.jobs.size(), 1U);
  const std::string task = cell.jobs.begin()->first + ".0.0.0";
  cr_assert_eq(CountCrashes(cell, task), 1U);
  cell.store.faults.down = true;
  cell.time.RunUntil(12 * kSecond);
  cr_expect_eq(CountCrashes(cell, task), 1U);
  cell.store.faults.down = false;
  cell.time.RunUntil(40 * kSecond);
  cr_expect_eq(CountCrashes(cell, task), 2U);
  ExpectNoViolations(cell, true);
}

// Guards against suspects that wait for ever because a worker that was lost for
// good with a suspect counts against the limit (seed 8199 of the random
// faults).
Test(CellModel, worker_lost_on_probation_holds_no_suspect_up,
     .init = DiscardLogs) {
  Cell cell({.workers = 4, .failure_share = 0});
  cell.time.RunUntil(2 * kSecond);
  SubmitCrashingJobs(cell, 1);
  while (cell.run_records.empty() || cell.run_records.back().run < 2) {
    cell.time.RunUntil(cell.time.now_ms + 1);
    cr_assert_lt(cell.time.now_ms, 15 * kSecond);
  }
  CrashWorker(cell, cell.run_records.back().worker);
  cell.time.RunUntil(40 * kSecond);
  ExpectNoViolations(cell, true);
}

// Guards against tasks that are given up because their workers were cut off or
// stopped with them, which is no crash.
Test(CellModel, cut_workers_do_not_count_as_crashed, .init = DiscardLogs) {
  Cell cell({.workers = 4, .failure_share = 0});
  cell.time.RunUntil(2 * kSecond);
  SubmitRandomJobs(cell, 30, 2);
  for (int i = 0; i < 5; ++i) {
    for (auto& [id, worker] : cell.workers) worker.partitioned = true;
    cell.time.RunUntil(cell.time.now_ms + 5 * kSecond);
    for (auto& [id, worker] : cell.workers) worker.partitioned = false;
    cell.time.RunUntil(cell.time.now_ms + 2 * kSecond);
  }
  cell.time.RunUntil(90 * kSecond);
  ExpectNoViolations(cell, true);
}

// Guards against placement by a capacity that a worker had before it shrank.
Test(CellModel, tasks_fit_into_a_capacity_that_shrinks_and_grows,
     .init = DiscardLogs) {
  constexpr TimeMs kNoticeMs = kSecond;
  const Resources small{4'500, 8'000, 0};
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Cell cell({.workers = 3, .seed = seed, .failure_share = 0});
    cell.time.RunUntil(2 * kSecond);
    SubmitRandomJobs(cell, 12, 8);
    ModelWorker& worker = cell.workers.at("w0");
    const Resources whole = worker.info.capacity;
    cell.time.RunUntil(4 * kSecond);
    worker.info.capacity = small;
    const TimeMs shrunk_ms = cell.time.now_ms;
    if (seed % 2 == 0) KillDaemon(cell, FindOwner(cell));
    cell.time.RunUntil(9 * kSecond);
    worker.info.capacity = whole;
    const TimeMs grown_ms = cell.time.now_ms;
    cell.time.RunUntil(60 * kSecond);
    size_t later = 0;
    for (const RunRecord& at : cell.run_records) {
      if (at.worker != "w0") continue;
      if (at.begin_ms > grown_ms) ++later;
      if (at.begin_ms < shrunk_ms + kNoticeMs || at.begin_ms > grown_ms) {
        continue;
      }
      Resources used;
      for (const RunRecord& other : cell.run_records) {
        const bool there = other.worker == "w0" &&
                           other.begin_ms <= at.begin_ms &&
                           other.end_ms > at.begin_ms;
        if (there) used = used + other.size;
      }
      cr_expect(Fits(used, small), "seed %llu: w0 is over at ms %lld",
                static_cast<unsigned long long>(seed),
                static_cast<long long>(at.begin_ms));
    }
    cr_expect_gt(later, 0U);
    ExpectNoViolations(cell, true);
  }
}

}  // namespace dotterelcove::model
