// The judge: reads what the modelled workers, callers and the store saw.
#include <algorithm>

#include "tests/CellModel.h"

namespace dotterelcove::model {
namespace {

constexpr TimeMs kCancelMs = 3'000;

using Violations = std::vector<std::string>;

/// The state that the store tells of a job, empty for an open or unknown one.
std::string StoredState(const Cell& cell, const std::string& id) {
  for (const char* table : {workflow::kJobTable, workflow::kProgressTable}) {
    const auto row = cell.store.rows.find({table, id});
    if (row == cell.store.rows.end()) continue;
    const auto end = workflow::DecodeEnd(row->second.value);
    if (!end) continue;
    return std::string(NameOf(workflow::kJobPhaseNames, end->phase));
  }
  return {};
}

void CheckOverlaps(const Cell& cell, Violations& violations) {
  std::map<std::string, std::vector<const RunRecord*>> by_task;
  for (const RunRecord& record : cell.run_records) {
    by_task[record.task].push_back(&record);
  }
  for (const auto& [task, runs] : by_task) {
    for (size_t i = 0; i < runs.size(); ++i) {
      for (size_t j = i + 1; j < runs.size(); ++j) {
        const bool overlap =
            runs[i]->end_ms < 0 || runs[j]->begin_ms < runs[i]->end_ms;
        if (overlap) violations.push_back("TWICE: two runs of " + task);
        if (runs[i]->outcome == "done" && runs[i]->acknowledged) {
          violations.push_back("TWICE: " + task + " starts after it was done");
        }
      }
    }
  }
}

/// Workers refuse a run that is not higher than one they have seen end, and
/// failures are counted by run number, so numbers rise whoever is the owner.
void CheckRunNumbers(const Cell& cell, Violations& violations) {
  std::map<std::string, uint32_t> last;
  for (const RunRecord& record : cell.run_records) {
    uint32_t& run = last[record.task];
    if (record.run <= run) {
      violations.push_back("BUDGET: run " + std::to_string(record.run) +
                           " of " + record.task + " after run " +
                           std::to_string(run));
    }
    run = std::max(run, record.run);
  }
}

void CheckCapacity(const Cell& cell, Violations& violations) {
  for (const auto& [id, worker] : cell.workers) {
    // Every start is a moment at which the sum may be too high.
    for (const RunRecord& at : cell.run_records) {
      if (at.worker != id) continue;
      Resources used;
      for (const RunRecord& other : cell.run_records) {
        const bool there = other.worker == id &&
                           other.begin_ms <= at.begin_ms &&
                           (other.end_ms < 0 || other.end_ms > at.begin_ms);
        if (there) used = used + other.size;
      }
      if (!Fits(used, worker.info.capacity)) {
        violations.push_back("LIMIT: " + id + " over its capacity at " +
                             std::to_string(at.begin_ms));
      }
    }
  }
}

/// Whether every task of the step had ended as done before `at_ms`.
bool IsStepDone(const Cell& cell, const CallerJob& job, uint32_t step,
                TimeMs at_ms) {
  std::set<std::string> done;
  const std::string prefix = job.spec.id + ".0." + std::to_string(step) + ".";
  for (const RunRecord& record : cell.run_records) {
    if (record.outcome != "done" || record.end_ms > at_ms) continue;
    if (record.task.compare(0, prefix.size(), prefix) == 0) {
      done.insert(record.task);
    }
  }
  return done.size() >= job.spec.steps[step].count;
}

void CheckStarts(const Cell& cell, Violations& violations) {
  std::map<std::string, uint32_t> failures;
  for (const RunRecord& record : cell.run_records) {
    workflow::TaskName name;
    workflow::ParseTaskName(record.task, name);
    const auto found = cell.jobs.find(name.job);
    if (found == cell.jobs.end()) {
      violations.push_back("UNASKED: " + record.task + " was never handed in");
      continue;
    }
    const CallerJob& job = found->second;
    if (job.refused) violations.push_back("REFUSED: " + record.task + " runs");
    if (record.payload != job.spec.payload) {
      violations.push_back("UNASKED: " + record.task + " with another payload");
    }
    if (job.cancelled_ms >= 0 &&
        record.begin_ms > job.cancelled_ms + kCancelMs) {
      violations.push_back("UNASKED: " + record.task + " starts cancelled");
    }
    for (const uint32_t before : job.spec.steps[name.step].after) {
      if (IsStepDone(cell, job, before, record.begin_ms)) continue;
      violations.push_back("ORDER: " + record.task + " starts too early");
    }
    if (failures[record.task] >= job.spec.policy.attempts) {
      violations.push_back("BUDGET: " + record.task + " starts once too often");
    }
    if (record.outcome == "failed" && record.acknowledged)
      failures[record.task]++;
  }
}

void CheckEnds(const Cell& cell, Violations& violations) {
  for (const auto& [id, job] : cell.jobs) {
    if (!job.accepted) continue;
    const std::string state = StoredState(cell, id);
    const bool long_running = job.spec.steps.front().long_running;
    if (job.cancelled_ms >= 0) {
      if (state.empty())
        violations.push_back("LOST: cancelled " + id + " is open");
      continue;
    }
    if (long_running) {
      uint32_t running = 0;
      for (const RunRecord& record : cell.run_records) {
        if (record.task.compare(0, id.size(), id) == 0 && record.end_ms < 0) {
          ++running;
        }
      }
      if (running < job.spec.steps.front().count) {
        violations.push_back("LOST: a task of " + id + " does not run");
      }
      continue;
    }
    if (state.empty()) violations.push_back("LOST: " + id + " has not ended");
    if (job.always_fails && state == "completed") {
      violations.push_back("MIXED: hopeless " + id + " is completed");
    }
  }
}

void CheckCompleted(const Cell& cell, Violations& violations) {
  for (const auto& [id, job] : cell.jobs) {
    if (StoredState(cell, id) != "completed") continue;
    for (uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      if (IsStepDone(cell, job, step, cell.time.now_ms)) continue;
      violations.push_back("MIXED: " + id + " completed before its tasks");
    }
  }
}

}  // namespace

std::vector<std::string> FindViolations(const Cell& cell, bool at_end) {
  Violations violations;
  CheckOverlaps(cell, violations);
  CheckRunNumbers(cell, violations);
  CheckCapacity(cell, violations);
  CheckStarts(cell, violations);
  CheckCompleted(cell, violations);
  if (at_end) CheckEnds(cell, violations);
  return violations;
}

}  // namespace dotterelcove::model
