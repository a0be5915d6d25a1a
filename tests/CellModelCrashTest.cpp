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

/// Submits jobs of every kind over `seconds`: single tasks, gangs of up to 27,
/// tasks that last.
void SubmitMixedJobs(Cell& cell, int seconds) {
  SubmitRandomJobs(cell, seconds, 6);
  for (int i = 0; i < seconds; ++i) {
    cell.time.After(i * kSecond, [&cell, i] {
      constexpr uint32_t kLargestGang = 27;
      const bool is_gang = i % 4 != 3;
      const auto members =
          static_cast<uint32_t>(UniformInt(cell.random, 2, kLargestGang));
      workflow::JobSpec spec =
          MakeChain(cell, 1, is_gang ? members : 2, {1'500, 1'000, 0},
                    UniformInt(cell.random, 200, 1'500));
      spec.steps.front().gang = is_gang;
      spec.steps.front().long_running = !is_gang;
      Submit(cell, 0, spec);
    });
  }
}

/// How many jobs were given up although no run of them had failed.
size_t CountGivenUp(const Cell& cell) {
  size_t given_up = 0;
  for (const auto& [id, job] : cell.jobs) {
    for (const char* table : {workflow::kJobTable, workflow::kProgressTable}) {
      const auto row = cell.store.rows.find({table, id});
      if (row == cell.store.rows.end()) continue;
      const auto end = workflow::DecodeEnd(row->second.value);
      if (!end || end->phase != workflow::JobPhase::kFailed) continue;
      if (!job.crashes_workers) ++given_up;
      break;
    }
  }
  return given_up;
}

/// Plays a fleet of 24 workers that crash although no task is to blame.
void PlayCrashingWorkers(uint64_t seed, CrashSpread spread, bool takeovers) {
  CellOptions options = MakeCrashOptions(seed);
  options.workers = 24;
  Cell cell(options);
  cell.time.RunUntil(2 * kSecond);
  SubmitMixedJobs(cell, 24);
  for (TimeMs at_ms = kSecond; at_ms < 28 * kSecond;) {
    cell.time.After(at_ms, [&cell, spread] { CrashShare(cell, 0.33, spread); });
    at_ms += UniformInt(cell.random, 2 * kSecond, 4 * kSecond);
  }
  if (takeovers) {
    for (const TimeMs at_ms : {8 * kSecond, 19 * kSecond}) {
      cell.time.After(at_ms, [&cell] {
        const int owner = FindOwner(cell);
        if (owner < 0) return;
        KillDaemon(cell, owner);
        cell.time.After(400, [&cell, owner] { StartDaemon(cell, owner); });
      });
    }
  }
  cell.time.RunUntil(120 * kSecond);
  cr_expect_eq(CountGivenUp(cell), 0U, "seed %llu: %zu jobs given up",
               static_cast<unsigned long long>(seed), CountGivenUp(cell));
}

}  // namespace

// Guards against jobs that are given up because a third of the workers crash
// at a time, every few seconds, with no task to blame (LOST of the incident on
// the users' machines).
Test(CellModel, workers_that_crash_together_end_no_job, .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    PlayCrashingWorkers(seed, CrashSpread::kTogether, seed % 3 == 0);
  }
}

// Guards against the same when the workers crash one by one.
Test(CellModel, workers_that_crash_one_by_one_end_no_job, .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    PlayCrashingWorkers(seed, CrashSpread::kOverOneSecond, seed % 3 == 0);
  }
}

// Guards against a job that is given up for losses that are no crash of its
// doing: power loss of the whole fleet, restarts under the same id, lapses that
// an answer follows, drains.
Test(CellModel, losses_of_the_whole_fleet_end_no_job, .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    CellOptions options = MakeCrashOptions(seed);
    options.new_id_after_crash = false;
    Cell cell(options);
    cell.time.RunUntil(2 * kSecond);
    SubmitMixedJobs(cell, 20);
    for (int i = 0; i < 6; ++i) {
      const TimeMs at_ms = kSecond + i * 4 * kSecond;
      const TimeMs off_ms = i % 2 == 0 ? 200 : 1'500;
      cell.time.After(at_ms, [&cell, off_ms] {
        for (auto& [id, worker] : cell.workers) {
          CrashWorker(cell, id);
          cell.time.After(off_ms,
                          [&cell, each = id] { RestartWorker(cell, each); });
        }
      });
      cell.time.After(at_ms + 2 * kSecond, [&cell] {
        for (auto& [id, worker] : cell.workers) worker.partitioned = true;
      });
      cell.time.After(at_ms + 2'600, [&cell] {
        for (auto& [id, worker] : cell.workers) worker.partitioned = false;
      });
    }
    cell.time.RunUntil(90 * kSecond);
    cr_expect_eq(CountGivenUp(cell), 0U, "seed %llu: %zu jobs given up",
                 static_cast<unsigned long long>(seed), CountGivenUp(cell));
  }
}

// Guards against a job that is given up after four crashes long after the start
// of its task, whoever is to blame: only ends `failed` count as attempts.
Test(CellModel, four_crashes_long_after_a_start_end_no_job,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    CellOptions options = MakeCrashOptions(seed);
    options.workers = 8;
    Cell cell(options);
    cell.time.RunUntil(2 * kSecond);
    const workflow::JobSpec spec =
        MakeChain(cell, 1, 1, {4'000, 256, 0}, 9 * kSecond);
    Submit(cell, 0, spec);
    for (int crashes = 0; crashes < 4;) {
      cell.time.RunUntil(cell.time.now_ms + 100);
      cr_assert_lt(cell.time.now_ms, 90 * kSecond);
      if (cell.run_records.empty()) continue;
      const RunRecord record = cell.run_records.back();
      if (record.end_ms >= 0) continue;
      if (cell.time.now_ms - record.begin_ms < 3 * kSecond) continue;
      CrashForSeconds(cell, record.worker);
      ++crashes;
    }
    cell.time.RunUntil(120 * kSecond);
    cr_expect_eq(CountGivenUp(cell), 0U);
    cr_expect_eq(cell.run_records.back().outcome, "done");
    ExpectNoViolations(cell, true);
  }
}

// Guards against a job that is given up for the crashes under a task which has
// been done since: a crash is weighed later than the task's next run may end.
Test(CellModel, task_that_is_done_is_not_blamed_for_its_crashes,
     .init = DiscardLogs) {
  size_t done = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Cell cell(MakeCrashOptions(seed));
    cell.time.RunUntil(2 * kSecond);
    const workflow::JobSpec spec =
        MakeChain(cell, 2, 1, {1'500, 1'000, 0}, 100);
    Submit(cell, 0, spec);
    size_t crashes = 0;
    while (crashes < 2) {
      cell.time.RunUntil(cell.time.now_ms + 5);
      cr_assert_lt(cell.time.now_ms, 60 * kSecond);
      if (cell.run_records.size() <= crashes) continue;
      const std::string id = cell.run_records.back().worker;
      CrashWorker(cell, id);
      cell.time.After(50, [&cell, id] { RestartWorker(cell, id); });
      ++crashes;
    }
    cell.time.RunUntil(60 * kSecond);
    const std::string first = spec.id + ".0.0.0";
    for (const RunRecord& record : cell.run_records) {
      if (record.task != first || record.outcome != "done") continue;
      ++done;
      cr_expect_eq(CountGivenUp(cell), 0U, "seed %llu",
                   static_cast<unsigned long long>(seed));
    }
  }
  cr_expect_gt(done, 0U);
}

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
