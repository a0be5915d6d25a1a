// Checks the invariants against what the simulated workers, callers and store
// observed.
#include <algorithm>

#include "tests/CellModel.h"

namespace dotterelcove::model {
namespace {

constexpr TimeMs kCancelMs = 3'000;

using Violations = std::vector<std::string>;

/// Returns the stored final state of a job, empty if it is open or unknown.
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
        if (overlap) violations.push_back("overlapping runs of " + task);
        if (runs[i]->outcome == "done" && runs[i]->acknowledged) {
          violations.push_back(
              task + " starts again after its success was acknowledged");
        }
      }
    }
  }
}

/// Workers refuse a run number that is not higher than that of a run they have
/// seen end, and failures are counted by run number, so the numbers must rise
/// across owners.
void CheckRunNumbers(const Cell& cell, Violations& violations) {
  std::map<std::string, uint32_t> last;
  for (const RunRecord& record : cell.run_records) {
    uint32_t& run = last[record.task];
    if (record.run <= run) {
      violations.push_back("run number not increasing: run " +
                           std::to_string(record.run) + " of " + record.task +
                           " after run " + std::to_string(run));
    }
    run = std::max(run, record.run);
  }
}

/// An acknowledgment discards an end, so what an end that no owner has received
/// tells is lost.
void CheckAcknowledgments(const Cell& cell, Violations& violations) {
  for (const RunRecord& record : cell.run_records) {
    if (!record.acknowledged_unseen) continue;
    violations.push_back("the end of run " + std::to_string(record.run) +
                         " of " + record.task +
                         " is acknowledged before it is listed");
  }
}

void CheckCapacity(const Cell& cell, Violations& violations) {
  for (const auto& [id, worker] : cell.workers) {
    // Usage rises only when a run starts, so checking every start is enough.
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
        violations.push_back(id + " exceeds its capacity at ms " +
                             std::to_string(at.begin_ms));
      }
    }
  }
}

/// Processors that the other runs of an account take when one of its runs
/// begins, and the part of them that are not members of the same gang.
struct UseBeside {
  int64_t all = 0;
  int64_t before_gang = 0;
};

UseBeside CountBeside(const std::vector<const RunRecord*>& runs,
                      const RunRecord& at, bool is_gang) {
  const std::string step = at.task.substr(0, at.task.rfind('.'));
  UseBeside use;
  for (const RunRecord* other : runs) {
    const bool is_running = other != &at && other->begin_ms <= at.begin_ms &&
                            (other->end_ms < 0 || other->end_ms > at.begin_ms);
    if (!is_running) continue;
    use.all += other->size.milli_cores;
    const std::string other_step =
        other->task.substr(0, other->task.rfind('.'));
    if (is_gang && other_step == step) continue;
    use.before_gang += other->size.milli_cores;
  }
  return use;
}

/// A start never takes what an account has running above its quota, unless less
/// than half of the quota was in use. Then it exceeds it by one task at most.
void CheckQuotas(const Cell& cell, Violations& violations) {
  std::map<std::string, std::vector<const RunRecord*>> by_account;
  const auto spec_of = [&](const RunRecord& record) {
    constexpr size_t kJobIdLength = 16;
    const auto job = cell.jobs.find(record.task.substr(0, kJobIdLength));
    return job == cell.jobs.end() ? nullptr : &job->second.spec;
  };
  for (const RunRecord& record : cell.run_records) {
    const workflow::JobSpec* spec = spec_of(record);
    if (spec == nullptr || spec->account.empty()) continue;
    by_account[spec->account].push_back(&record);
  }
  for (const auto& [account, runs] : by_account) {
    const int64_t quota = cell.quotas.at(account).milli_cores;
    if (quota <= 0) continue;
    for (const RunRecord* at : runs) {
      workflow::TaskName name;
      const bool is_named = workflow::ParseTaskName(at->task, name);
      const bool is_gang = is_named && spec_of(*at)->steps[name.step].gang;
      const UseBeside use = CountBeside(runs, *at, is_gang);
      if (use.all + at->size.milli_cores <= quota) continue;
      if (use.all <= quota && 2 * use.before_gang < quota) continue;
      violations.push_back(account + " exceeds its quota with " + at->task +
                           " at ms " + std::to_string(at->begin_ms) + ": " +
                           std::to_string(use.all) + " beside it");
    }
  }
}

/// A task that crashes its workers is given up in time, and no other task is
/// given up under which fewer than two workers have crashed.
void CheckCrashes(const Cell& cell, Violations& violations) {
  constexpr uint32_t kCrashes = 3;
  constexpr uint32_t kFurtherStarts = 3;
  constexpr size_t kJobIdLength = 16;
  std::map<std::string, std::pair<uint32_t, uint32_t>> counts;
  for (const RunRecord& record : cell.run_records) {
    auto& [crashes, further] = counts[record.task];
    const auto job = cell.jobs.find(record.task.substr(0, kJobIdLength));
    const bool is_to_blame = job != cell.jobs.end() &&
                             job->second.crashes_workers &&
                             record.task.ends_with(".0.0.0");
    if (is_to_blame && crashes >= kCrashes && ++further == kFurtherStarts) {
      violations.push_back(record.task + " starts " +
                           std::to_string(kFurtherStarts) +
                           " times more after three crashes");
    }
    if (record.outcome == "gone") ++crashes;
  }
  for (const auto& [id, job] : cell.jobs) {
    if (StoredState(cell, id) != "failed" || job.always_fails) continue;
    if (cell.options.failure_share > 0) continue;
    const bool has_cause = std::any_of(
        counts.begin(), counts.end(), [&id = id](const auto& entry) {
          return entry.first.starts_with(id) && entry.second.first >= 2;
        });
    if (!has_cause) violations.push_back("job " + id + " failed without cause");
  }
}

/// Returns whether every task of the step had succeeded by `at_ms`.
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
      violations.push_back(record.task + " belongs to no submitted job");
      continue;
    }
    const CallerJob& job = found->second;
    if (job.refused)
      violations.push_back(record.task + " runs despite refusal");
    if (record.payload != job.spec.payload) {
      violations.push_back(record.task + " starts with a wrong payload");
    }
    if (job.cancelled_ms >= 0 &&
        record.begin_ms > job.cancelled_ms + kCancelMs) {
      violations.push_back(record.task +
                           " starts too long after its cancellation");
    }
    for (const uint32_t before : job.spec.steps[name.step].after) {
      if (IsStepDone(cell, job, before, record.begin_ms)) continue;
      violations.push_back(record.task +
                           " starts before a step that it depends on is done");
    }
    if (failures[record.task] >= job.spec.policy.attempts) {
      violations.push_back(record.task +
                           " starts after its last allowed attempt");
    }
    if (record.outcome == "failed" && record.acknowledged)
      failures[record.task]++;
  }
}

/// The part of a task's name that names its step.
std::string StepPartOf(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

/// Null if the job was not submitted.
const workflow::StepSpec* FindSpec(const Cell& cell, const std::string& task) {
  workflow::TaskName name;
  workflow::ParseTaskName(task, name);
  const auto job = cell.jobs.find(name.job);
  return job == cell.jobs.end() ? nullptr : &job->second.spec.steps[name.step];
}

/// Rule ROUTE: a run begins on a worker that has the required label then, and
/// on which its step has no more runs than its limit, including those that are
/// being stopped.
void CheckRoutes(const Cell& cell, Violations& violations) {
  std::map<std::pair<std::string, std::string>, std::vector<const RunRecord*>>
      earlier;
  for (const RunRecord& record : cell.run_records) {
    const workflow::StepSpec* spec = FindSpec(cell, record.task);
    if (spec == nullptr) continue;
    const std::string at =
        " on " + record.worker + " at ms " + std::to_string(record.begin_ms);
    if (!spec->required_label.empty() &&
        !record.labels.contains(spec->required_label)) {
      violations.push_back(record.task + " starts without its label" + at);
    }
    if (spec->max_per_worker == 0) continue;
    auto& runs = earlier[{record.worker, StepPartOf(record.task)}];
    const auto there = static_cast<uint32_t>(
        std::count_if(runs.begin(), runs.end(), [&](const RunRecord* run) {
          return run->end_ms < 0 || run->end_ms > record.begin_ms;
        }));
    runs.push_back(&record);
    if (there >= spec->max_per_worker) {
      violations.push_back(record.task +
                           " starts beyond the limit of its step" + at);
    }
  }
}

void CheckEnds(const Cell& cell, Violations& violations) {
  for (const auto& [id, job] : cell.jobs) {
    if (!job.accepted) continue;
    const std::string state = StoredState(cell, id);
    const bool long_running = job.spec.steps.front().long_running;
    if (job.cancelled_ms >= 0) {
      if (state.empty())
        violations.push_back("cancelled job " + id + " has not ended");
      continue;
    }
    if (job.cancel_sent && state == "cancelled") continue;
    if (long_running) {
      uint32_t running = 0;
      for (const RunRecord& record : cell.run_records) {
        if (record.task.compare(0, id.size(), id) == 0 && record.end_ms < 0) {
          ++running;
        }
      }
      if (running < job.spec.steps.front().count) {
        violations.push_back("a task of long-running job " + id +
                             " is not running");
      }
      continue;
    }
    if (state.empty()) violations.push_back("job " + id + " has not ended");
    if (job.always_fails && state == "completed") {
      violations.push_back("job " + id +
                           " is completed although every run fails");
    }
  }
}

void CheckCompleted(const Cell& cell, Violations& violations) {
  for (const auto& [id, job] : cell.jobs) {
    if (StoredState(cell, id) != "completed") continue;
    for (uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      if (IsStepDone(cell, job, step, cell.time.now_ms)) continue;
      violations.push_back("job " + id +
                           " is completed before all its tasks are done");
    }
  }
}

}  // namespace

std::vector<std::string> FindViolations(const Cell& cell, bool at_end) {
  Violations violations;
  CheckOverlaps(cell, violations);
  CheckRunNumbers(cell, violations);
  CheckAcknowledgments(cell, violations);
  CheckCapacity(cell, violations);
  CheckQuotas(cell, violations);
  CheckStarts(cell, violations);
  CheckRoutes(cell, violations);
  CheckCrashes(cell, violations);
  CheckCompleted(cell, violations);
  if (at_end) CheckEnds(cell, violations);
  return violations;
}

}  // namespace dotterelcove::model
