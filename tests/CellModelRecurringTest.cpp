// Jobs that recur often or have very many tasks, and what the store keeps of
// them.
#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "tests/CellModelDays.h"
#include "workflow/JobRows.h"

namespace dotterelcove::model {
namespace {

using workflow::EncodeProgress;
using workflow::Job;

workflow::JobSpec MakeRecurring(Cell& cell, uint32_t times, TimeMs interval_ms,
                                TimeMs run_ms) {
  workflow::JobSpec spec = MakeChain(cell, 1, 1, {100, 100, 0}, run_ms);
  spec.occurrences = times;
  spec.interval_ms = interval_ms;
  spec.first_start_wall_ms = cell.time.now_ms;
  return spec;
}

/// How often each occurrence of the job has ended as done.
std::map<std::string, int> CountDone(const Cell& cell, const std::string& job) {
  std::map<std::string, int> done;
  for (const RunRecord& run : cell.run_records) {
    if (run.task.starts_with(job) && run.outcome == "done") ++done[run.task];
  }
  return done;
}

/// Gives owners and the store small limits, so that few occurrences reach them.
void LimitRows(Cell& cell, size_t row_bytes) {
  cell.store.faults.row_bytes = row_bytes;
  cell.configure_owner = [row_bytes](workflow::Controller& c) {
    c.options.max_progress_bytes = row_bytes;
  };
  for (const auto& daemon : cell.daemons) {
    if (daemon->controller) cell.configure_owner(*daemon->controller);
  }
}

uint64_t OwnerEpoch(const Cell& cell) {
  const int owner = FindOwner(cell);
  cr_assert_geq(owner, 0);
  return cell.daemons[static_cast<size_t>(owner)]->controller->epoch;
}

std::string StateOf(const Cell& cell, const std::string& job) {
  const int owner = FindOwner(cell);
  cr_assert_geq(owner, 0);
  const auto phase = workflow::QueryJob(
      *cell.daemons[static_cast<size_t>(owner)]->controller, job);
  return phase ? std::string(NameOf(workflow::kJobPhaseNames, *phase)) : "";
}

void CompleteOccurrence(Job& job, uint32_t number) {
  workflow::Occurrence& occurrence = job.occurrences.at(number);
  for (workflow::StepState& step : occurrence.steps) {
    for (workflow::TaskState& task : step.tasks) {
      SetPhase(step, task, workflow::TaskPhase::kDone);
    }
    step.done = static_cast<uint32_t>(step.tasks.size());
  }
  occurrence.complete = true;
  job.occurrences_done++;
}

std::set<uint32_t> OpenOccurrences(const Job& job) {
  std::set<uint32_t> open;
  for (const auto& [number, occurrence] : job.occurrences) {
    if (!occurrence.complete) open.insert(number);
  }
  return open;
}

}  // namespace

// Guards against a job that stops the whole cell: its progress row grew with
// each occurrence, and the store rejected each commit that held it.
Test(CellModelRecurring, often_recurring_job_keeps_its_owner_and_its_row,
     .init = DiscardLogs) {
  Cell cell({.failure_share = 0});
  cell.time.RunUntil(2 * kSecond);
  LimitRows(cell, 1'000);
  const uint64_t epoch = OwnerEpoch(cell);
  const workflow::JobSpec often = MakeRecurring(cell, 600, 10, 1);
  Submit(cell, 0, often);
  cell.time.RunUntil(9 * kSecond);
  cr_expect_eq(OwnerEpoch(cell), epoch);
  const workflow::JobSpec other = MakeChain(cell, 1, 2, {500, 100, 0}, 300);
  Submit(cell, 0, other);
  cell.time.RunUntil(12 * kSecond);
  cr_expect_str_eq(StateOf(cell, often.id).c_str(), "completed");
  cr_expect_str_eq(StateOf(cell, other.id).c_str(), "completed");
  cr_expect_eq(CountDone(cell, often.id).size(), 600U);
  ExpectNoViolations(cell, true);
}

// Guards against occurrences that run twice, or never, after takeovers, where
// later ones are complete before earlier ones.
Test(CellModelRecurring, takeovers_neither_repeat_nor_skip_occurrences,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    Cell cell({.seed = seed, .failure_share = 0.1});
    cell.time.RunUntil(2 * kSecond);
    workflow::JobSpec spec =
        MakeRecurring(cell, 150, UniformInt(cell.random, 10, 60),
                      UniformInt(cell.random, 20, 1'500));
    spec.policy.attempts = 1'000;
    Submit(cell, 0, spec);
    for (int i = 0; i < 2; ++i) {
      cell.time.RunUntil(cell.time.now_ms +
                         UniformInt(cell.random, 500, 3'000));
      const int owner = FindOwner(cell);
      if (owner >= 0) KillDaemon(cell, owner);
    }
    cell.time.RunUntil(cell.time.now_ms + 40 * kSecond);
    cr_expect_str_eq(StateOf(cell, spec.id).c_str(), "completed", "seed %llu",
                     static_cast<unsigned long long>(seed));
    cr_expect_eq(CountDone(cell, spec.id).size(), 150U, "seed %llu",
                 static_cast<unsigned long long>(seed));
    ExpectNoViolations(cell, false);
  }
}

// Guards against one job whose progress the store cannot hold and that keeps
// all others from being stored: it ends, and nothing else does.
Test(CellModelRecurring, job_that_cannot_be_stored_ends_alone,
     .init = DiscardLogs) {
  for (const bool is_known : {true, false}) {
    Cell cell({.failure_share = 0});
    cell.time.RunUntil(2 * kSecond);
    const uint64_t epoch = OwnerEpoch(cell);
    // The marks of its tasks take more than the store holds.
    const workflow::JobSpec large = MakeChain(cell, 1, 3'000, {10, 10, 0}, 100);
    const workflow::JobSpec other = MakeChain(cell, 1, 2, {500, 100, 0}, 300);
    Submit(cell, 0, large);
    Submit(cell, 0, other);
    cell.time.RunUntil(2'030);
    if (is_known) {
      LimitRows(cell, 1'500);
    } else {
      // The owner takes the store for larger than it is.
      cell.store.faults.row_bytes = 1'500;
    }
    cell.time.RunUntil(8 * kSecond);
    cr_expect_eq(OwnerEpoch(cell), epoch);
    cr_expect_str_eq(StateOf(cell, large.id).c_str(), "failed");
    cr_expect_str_eq(StateOf(cell, other.id).c_str(), "completed");
  }
}

// Guards against a progress row that exceeds the store's row, at any point of
// the life of any accepted job, and against one that is read differently.
Test(CellModelRecurring, rows_are_bounded_and_read_as_they_were_written) {
  constexpr size_t kRowBytes = 49'152;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    Random random(seed);
    workflow::JobSpec spec;
    spec.id = "0123456789abcdef";
    const int64_t steps = UniformInt(random, 1, 4);
    for (int64_t i = 0; i < steps; ++i) {
      workflow::StepSpec step;
      step.count = static_cast<uint32_t>(
          UniformInt(random, 1, seed % 4 == 0 ? 2'500 : 8));
      spec.steps.push_back(step);
    }
    spec.occurrences = 5'000;
    spec.interval_ms = 10;
    cr_assert(workflow::FindSpecError(spec).empty());
    const auto job = workflow::MakeJob(spec, 0, 0);
    for (int64_t wall_ms = 0; wall_ms < 20'000; wall_ms += 10) {
      workflow::AddDueOccurrences(*job, wall_ms);
      const std::set<uint32_t> open = OpenOccurrences(*job);
      if (open.empty()) continue;
      auto chosen = open.begin();
      std::advance(
          chosen, UniformInt(random, 0, static_cast<int64_t>(open.size()) - 1));
      workflow::StepState& step = job->occurrences.at(*chosen).steps.front();
      for (workflow::TaskState& task : step.tasks) {
        task.ended_run = static_cast<uint32_t>(UniformInt(random, 0, 99'999));
        task.checkpoint = std::string(40, 'c');
      }
      if (UniformInt(random, 0, 3) > 0) CompleteOccurrence(*job, *chosen);
      workflow::DropCompleted(*job);
    }
    const std::string row = EncodeProgress(*job, kRowBytes);
    cr_expect_leq(row.size(), kRowBytes, "seed %llu",
                  static_cast<unsigned long long>(seed));
    const auto copy = workflow::MakeJob(spec, 0, 0);
    cr_assert(workflow::ApplyProgress(row, *copy));
    cr_expect(OpenOccurrences(*copy) == OpenOccurrences(*job));
    cr_expect_eq(copy->next_occurrence, job->next_occurrence);
    cr_expect_eq(copy->occurrences_done, job->occurrences_done);
    cr_expect_leq(job->occurrences.size(), 64U);
  }
}

// Guards against a row of an earlier version, which lists all occurrences, that
// is misread, and against a row that lets such a version begin them anew.
Test(CellModelRecurring, rows_are_readable_across_versions) {
  workflow::JobSpec spec;
  spec.id = "0123456789abcdef";
  spec.steps.resize(1);
  spec.occurrences = 100;
  spec.interval_ms = 10;
  const auto job = workflow::MakeJob(spec, 0, 0);
  cr_assert(workflow::ApplyProgress(
      R"({"occurrences":{"0":[],"1":[["0",{}]],"10":[],"2":[],"3":[],"4":[],)"
      R"("5":[],"6":[],"7":[],"8":[],"9":[]},"started":true})",
      *job));
  cr_expect_eq(job->next_occurrence, 11U);
  cr_expect_eq(job->occurrences_done, 10U);
  cr_expect(OpenOccurrences(*job) == std::set<uint32_t>{1});
  // The last one is listed although it is complete.
  cr_expect_neq(EncodeProgress(*job).find(R"("10":[])"), std::string::npos);
}

// Guards against an end that is dropped since its occurrence was added while
// the store was away, and against a report that makes an owner add billions.
Test(CellModelRecurring, occurrences_ahead_of_the_store_are_added) {
  workflow::JobSpec spec;
  spec.id = "0123456789abcdef";
  spec.steps.resize(1);
  spec.occurrences = 4'000'000'000;
  const auto job = workflow::MakeJob(spec, 0, 0);
  cr_expect(workflow::AddOccurrencesUpTo(*job, 1'500));
  cr_expect_eq(job->next_occurrence, 1'501U);
  cr_expect_not(workflow::AddOccurrencesUpTo(*job, 1'500));
  cr_expect_not(workflow::AddOccurrencesUpTo(*job, 3'999'999'999));
  cr_expect_eq(job->occurrences.size(), 1'501U);
}

// Guards against a job of more tasks than an owner or the store can hold, and
// against occurrences of a large job that are all open at a time.
Test(CellModelRecurring, tasks_of_a_job_are_bounded) {
  workflow::JobSpec spec;
  spec.id = "0123456789abcdef";
  spec.steps.resize(2);
  spec.steps[0].count = spec.steps[1].count = 5'000;
  spec.occurrences = 64;
  cr_expect(workflow::FindSpecError(spec).empty());
  const auto job = workflow::MakeJob(spec, 0, 0);
  cr_expect_eq(job->occurrences.size(), 1U);
  spec.steps[1].count = 5'001;
  cr_expect(workflow::FindSpecError(spec) ==
            "the steps have more than 10000 tasks");
  spec.steps.resize(64);
  for (workflow::StepSpec& step : spec.steps) step.count = 10'000;
  cr_expect_not(workflow::FindSpecError(spec).empty());
}

}  // namespace dotterelcove::model
