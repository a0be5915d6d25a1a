// The judge: reads what the modelled workers, callers and the store saw.
#include <algorithm>

#include "tests/CellModel.h"

namespace dotterelcove::model {
namespace {

constexpr TimeMs kCancelMs = 3'000;

using Breaches = std::vector<std::string>;

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

void JudgeOverlaps(const Cell& cell, Breaches& breaches) {
  std::map<std::string, std::vector<const Journal*>> by_task;
  for (const Journal& entry : cell.journal) {
    by_task[entry.task].push_back(&entry);
  }
  for (const auto& [task, runs] : by_task) {
    for (size_t i = 0; i < runs.size(); ++i) {
      for (size_t j = i + 1; j < runs.size(); ++j) {
        const bool overlap =
            runs[i]->end_ms < 0 || runs[j]->begin_ms < runs[i]->end_ms;
        if (overlap) breaches.push_back("TWICE: two runs of " + task);
        if (runs[i]->how == "done" && runs[i]->noted) {
          breaches.push_back("TWICE: " + task + " starts after it was done");
        }
      }
    }
  }
}

/// Workers refuse a run that is not higher than one they have seen end, and
/// failures are counted by run number, so numbers rise whoever is the owner.
void JudgeRunNumbers(const Cell& cell, Breaches& breaches) {
  std::map<std::string, uint32_t> last;
  for (const Journal& entry : cell.journal) {
    uint32_t& run = last[entry.task];
    if (entry.run <= run) {
      breaches.push_back("BUDGET: run " + std::to_string(entry.run) + " of " +
                         entry.task + " after run " + std::to_string(run));
    }
    run = std::max(run, entry.run);
  }
}

void JudgeCapacity(const Cell& cell, Breaches& breaches) {
  for (const auto& [id, worker] : cell.workers) {
    // Every start is a moment at which the sum may be too high.
    for (const Journal& at : cell.journal) {
      if (at.worker != id) continue;
      Resources used;
      for (const Journal& other : cell.journal) {
        const bool there = other.worker == id &&
                           other.begin_ms <= at.begin_ms &&
                           (other.end_ms < 0 || other.end_ms > at.begin_ms);
        if (there) used = used + other.size;
      }
      if (!Fits(used, worker.info.capacity)) {
        breaches.push_back("LIMIT: " + id + " over its capacity at " +
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
  for (const Journal& entry : cell.journal) {
    if (entry.how != "done" || entry.end_ms > at_ms) continue;
    if (entry.task.compare(0, prefix.size(), prefix) == 0) {
      done.insert(entry.task);
    }
  }
  return done.size() >= job.spec.steps[step].count;
}

void JudgeStarts(const Cell& cell, Breaches& breaches) {
  std::map<std::string, uint32_t> failures;
  for (const Journal& entry : cell.journal) {
    workflow::TaskName name;
    workflow::ParseTaskName(entry.task, name);
    const auto found = cell.jobs.find(name.job);
    if (found == cell.jobs.end()) {
      breaches.push_back("UNASKED: " + entry.task + " was never handed in");
      continue;
    }
    const CallerJob& job = found->second;
    if (job.refused) breaches.push_back("REFUSED: " + entry.task + " runs");
    if (entry.payload != job.spec.payload) {
      breaches.push_back("UNASKED: " + entry.task + " with another payload");
    }
    if (job.cancelled_ms >= 0 &&
        entry.begin_ms > job.cancelled_ms + kCancelMs) {
      breaches.push_back("UNASKED: " + entry.task + " starts cancelled");
    }
    for (const uint32_t before : job.spec.steps[name.step].after) {
      if (IsStepDone(cell, job, before, entry.begin_ms)) continue;
      breaches.push_back("ORDER: " + entry.task + " starts too early");
    }
    if (failures[entry.task] >= job.spec.policy.attempts) {
      breaches.push_back("BUDGET: " + entry.task + " starts once too often");
    }
    if (entry.how == "failed" && entry.noted) failures[entry.task]++;
  }
}

void JudgeEnds(const Cell& cell, Breaches& breaches) {
  for (const auto& [id, job] : cell.jobs) {
    if (!job.accepted) continue;
    const std::string state = StoredState(cell, id);
    const bool lasting = job.spec.steps.front().long_running;
    if (job.cancelled_ms >= 0) {
      if (state.empty())
        breaches.push_back("LOST: cancelled " + id + " is open");
      continue;
    }
    if (lasting) {
      uint32_t running = 0;
      for (const Journal& entry : cell.journal) {
        if (entry.task.compare(0, id.size(), id) == 0 && entry.end_ms < 0) {
          ++running;
        }
      }
      if (running < job.spec.steps.front().count) {
        breaches.push_back("LOST: a task of " + id + " does not run");
      }
      continue;
    }
    if (state.empty()) breaches.push_back("LOST: " + id + " has not ended");
    if (job.hopeless && state == "completed") {
      breaches.push_back("MIXED: hopeless " + id + " is completed");
    }
  }
}

void JudgeCompleted(const Cell& cell, Breaches& breaches) {
  for (const auto& [id, job] : cell.jobs) {
    if (StoredState(cell, id) != "completed") continue;
    for (uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      if (IsStepDone(cell, job, step, cell.time.now_ms)) continue;
      breaches.push_back("MIXED: " + id + " completed before its tasks");
    }
  }
}

}  // namespace

std::vector<std::string> Judge(const Cell& cell, bool at_end) {
  Breaches breaches;
  JudgeOverlaps(cell, breaches);
  JudgeRunNumbers(cell, breaches);
  JudgeCapacity(cell, breaches);
  JudgeStarts(cell, breaches);
  JudgeCompleted(cell, breaches);
  if (at_end) JudgeEnds(cell, breaches);
  return breaches;
}

}  // namespace dotterelcove::model
