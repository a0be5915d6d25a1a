// Workers that restart under their id: what an earlier incarnation was granted
// or sent must not be taken for the state of the next one.
#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

#include "telemetry/Log.h"
#include "tests/CellModelDays.h"
#include "workflow/JobRows.h"

namespace dotterelcove::model {
namespace {

constexpr TimeMs kCutMs = 6 * kSecond;

/// Submits jobs whose tasks outlast every lease.
void SubmitLongTasks(Cell& cell, TimeMs until_ms) {
  constexpr TimeMs kEveryMs = 400;
  for (TimeMs at_ms = 0; at_ms < until_ms; at_ms += kEveryMs) {
    cell.time.After(at_ms, [&cell] {
      const TimeMs run_ms = UniformInt(cell.random, 2'000, 7'000);
      Submit(cell, 0, MakeChain(cell, 1, 2, {1'500, 500, 0}, run_ms));
    });
  }
}

/// Cuts the worker off for a while, `delay_ms` after the first task has begun
/// on its present incarnation.
void CutOffOnceBusy(Cell& cell, const std::string& id, TimeMs delay_ms) {
  constexpr TimeMs kCheckMs = 10;
  cell.time.After(kCheckMs, [&cell, id, delay_ms] {
    ModelWorker& worker = cell.workers.at(id);
    if (worker.running.empty()) {
      CutOffOnceBusy(cell, id, delay_ms);
      return;
    }
    cell.time.After(delay_ms, [&worker] { worker.partitioned = true; });
    cell.time.After(delay_ms + kCutMs, [&worker] {
      worker.partitioned = false;
      worker.delayed_sync_share = 0;
    });
  });
}

/// Crashes a worker, starts it again and cuts it off soon after.
void RestartAndCutOff(Cell& cell, const std::string& id) {
  const TimeMs down_ms = UniformInt(cell.random, 100, 1'500);
  const TimeMs delay_ms = UniformInt(cell.random, 0, 2'500);
  CrashWorker(cell, id);
  cell.time.After(down_ms, [&cell, id, delay_ms] {
    RestartWorker(cell, id);
    CutOffOnceBusy(cell, id, delay_ms);
  });
}

/// Submits jobs of short tasks, so that ends are acknowledged all the time.
void SubmitShortTasks(Cell& cell, TimeMs until_ms) {
  constexpr TimeMs kEveryMs = 100;
  for (TimeMs at_ms = 0; at_ms < until_ms; at_ms += kEveryMs) {
    cell.time.After(at_ms, [&cell] {
      const TimeMs run_ms = UniformInt(cell.random, 20, 300);
      Submit(cell, 0, MakeChain(cell, 1, 4, {1'500, 500, 0}, run_ms));
    });
  }
}

/// Restarts a worker of which no answer arrives for a while; calls do reach it.
void RestartUnheard(Cell& cell, const std::string& id) {
  ModelWorker& worker = cell.workers.at(id);
  worker.outdated_entry = worker.info;
  worker.lost_order_share = 1;
  worker.lost_sync_share = 1;
  cell.time.After(UniformInt(cell.random, 0, 800),
                  [&cell, id] { RestartWorker(cell, id); });
  cell.time.After(UniformInt(cell.random, 2'000, 5'000), [&worker] {
    worker.lost_order_share = 0;
    worker.lost_sync_share = 0;
    worker.outdated_entry.reset();
  });
}

/// When a worker restarts as another kind, and for how long the list has the
/// entry of its earlier incarnation.
struct KindChange {
  uint64_t seed = 1;
  TimeMs restart_ms = 0;
  TimeMs list_late_ms = 0;
};

constexpr TimeMs kKilledMs = 2'500;
constexpr const char* kChangedWorker = "w0";

/// How the incarnation of a worker in the fleet row compares with that in the
/// list.
enum class RowAge : uint8_t { kNone, kSame, kOlderThanList, kNewerThanList };

RowAge CompareRowWithList(const Cell& cell, const std::string& id) {
  const auto row =
      cell.store.rows.find({workflow::kFleetTable, workflow::FleetKeyOf(id)});
  if (row == cell.store.rows.end()) return RowAge::kNone;
  const ModelWorker& worker = cell.workers.at(id);
  const uint64_t listed =
      worker.outdated_entry.value_or(worker.info).incarnation;
  for (const auto& recorded :
       workflow::DecodeFleet(row->second.value).workers) {
    if (recorded.info.id != id) continue;
    if (recorded.info.incarnation == listed) return RowAge::kSame;
    return recorded.info.incarnation < listed ? RowAge::kOlderThanList
                                              : RowAge::kNewerThanList;
  }
  return RowAge::kNone;
}

/// Submits jobs that require the old or the new label of the changed worker.
void SubmitLabelledJobs(Cell& cell, TimeMs until_ms) {
  constexpr TimeMs kEveryMs = 100;
  for (TimeMs at_ms = 0; at_ms < until_ms; at_ms += kEveryMs) {
    cell.time.After(at_ms, [&cell, is_old = at_ms % (2 * kEveryMs) == 0] {
      workflow::JobSpec spec = MakeChain(cell, 1, 2, {2'000, 500, 0},
                                         UniformInt(cell.random, 100, 1'500));
      spec.steps.front().required_label = is_old ? "old" : "new";
      Submit(cell, 1, spec);
    });
  }
}

/// Restarts a worker as another kind around the loss of the owner. Returns how
/// the fleet row compared with the list when the owner was lost.
RowAge RunKindChange(const KindChange& change) {
  Cell cell({.workers = 3, .seed = change.seed, .failure_share = 0});
  cell.workers.at("w0").info.labels = {"old"};
  cell.workers.at("w1").info.labels = {"old"};
  cell.workers.at("w2").info.labels = {"new"};
  cell.time.RunUntil(3 * kSecond);
  SubmitLabelledJobs(cell, 14 * kSecond);
  cell.time.After(change.restart_ms, [&cell, &change] {
    ModelWorker& worker = cell.workers.at(kChangedWorker);
    if (change.list_late_ms > 0) worker.outdated_entry = worker.info;
    worker.info.labels = {"new"};
    RestartWorker(cell, kChangedWorker);
    cell.time.After(change.list_late_ms,
                    [&worker] { worker.outdated_entry.reset(); });
  });
  // The owner is d0, and jobs arrive through another daemon.
  RowAge age = RowAge::kNone;
  cell.time.After(kKilledMs, [&cell, &age] {
    const int owner = FindOwner(cell);
    cr_assert_eq(owner, 0);
    age = CompareRowWithList(cell, kChangedWorker);
    KillDaemon(cell, owner);
  });
  cell.time.RunUntil(50 * kSecond);
  ExpectNoViolations(cell, true);
  const auto is_new_kind = [](const RunRecord& record) {
    return record.worker == kChangedWorker && record.labels.contains("new");
  };
  cr_expect(std::any_of(cell.run_records.begin(), cell.run_records.end(),
                        is_new_kind),
            "seed %llu: the worker is not used as its new kind",
            static_cast<unsigned long long>(change.seed));
  return age;
}

void ExpectFields(const std::string& line,
                  const std::vector<const char*>& fields) {
  for (const char* field : fields) {
    const std::string name = std::string("\"") + field + "\":";
    cr_expect(line.find(name) != std::string::npos, "no %s", field);
  }
}

}  // namespace

// Guards against taking the lease of a restarted worker for shorter than it is:
// calls made for the earlier incarnation, also late ones, had given it the
// longest lease, and its tasks were placed elsewhere while they ran.
Test(CellModel, restarted_worker_that_is_cut_off_runs_nothing_twice,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    Cell cell({.workers = 4, .seed = seed, .failure_share = 0});
    cell.time.RunUntil(2 * kSecond);
    SubmitLongTasks(cell, 12 * kSecond);
    const std::string id = "w" + std::to_string(seed % 4);
    // Late calls that may begin a task are a known fault; late syncs begin
    // none.
    if (seed % 2 == 0) cell.workers.at(id).delayed_sync_share = 0.3;
    const TimeMs at_ms = UniformInt(cell.random, 1'000, 4'000);
    cell.time.After(at_ms, [&cell, id] { RestartAndCutOff(cell, id); });
    if (seed % 3 == 0) {
      cell.time.After(at_ms + UniformInt(cell.random, 500, 4'000), [&cell] {
        const int owner = FindOwner(cell);
        if (owner >= 0) KillDaemon(cell, owner);
      });
    }
    cell.time.RunUntil(70 * kSecond);
    ExpectNoViolations(cell, true);
  }
}

// Guards against an acknowledgment for an earlier incarnation that discards
// ends of the next one: the worker restarts under its id, carries out what
// reaches it and answers nothing, so the owner does not notice the restart. The
// tasks of the discarded ends would run again.
Test(CellModel, acknowledgment_for_an_earlier_incarnation_discards_no_end,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    Cell cell({.workers = 3,
               .seed = seed,
               .failure_share = 0,
               .orders_reach_next_incarnation = true});
    cell.time.RunUntil(2 * kSecond);
    SubmitShortTasks(cell, 8 * kSecond);
    const std::string id = "w" + std::to_string(seed % 3);
    cell.time.After(UniformInt(cell.random, 1'000, 6'000),
                    [&cell, id] { RestartUnheard(cell, id); });
    cell.time.RunUntil(40 * kSecond);
    ExpectNoViolations(cell, true);
  }
}

// Guards against taking the entry of an earlier incarnation for a restart when
// the worker's clock was set back in between: each time all runs of the present
// incarnation would be given up, and started elsewhere while they run.
Test(CellModel, restart_with_an_earlier_time_of_day_runs_nothing_twice,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    Cell cell({.workers = 3, .seed = seed, .failure_share = 0});
    for (auto& [id, worker] : cell.workers) worker.info.incarnation = 1'000;
    cell.time.RunUntil(2 * kSecond);
    SubmitLongTasks(cell, 10 * kSecond);
    const std::string id = "w" + std::to_string(seed % 3);
    cell.time.After(UniformInt(cell.random, 1'000, 5'000), [&cell, id] {
      ModelWorker& worker = cell.workers.at(id);
      worker.outdated_entry = worker.info;
      RestartWorker(cell, id);
      worker.info.incarnation -= 10;
      // The next heartbeat replaces the entry.
      cell.time.After(UniformInt(cell.random, 200, 6'000),
                      [&worker] { worker.outdated_entry.reset(); });
    });
    if (seed % 3 == 0) {
      cell.time.After(UniformInt(cell.random, 2'000, 9'000), [&cell] {
        const int owner = FindOwner(cell);
        if (owner >= 0) KillDaemon(cell, owner);
      });
    }
    cell.time.RunUntil(60 * kSecond);
    ExpectNoViolations(cell, true);
  }
}

// Guards against a start that reaches the next incarnation of a worker before
// its restart is noticed: the incarnation takes the lease end, which is of the
// earlier one's clock, for the longest lease that it grants.
Test(CellModel, start_on_a_worker_whose_restart_is_not_noticed_runs_once,
     .init = DiscardLogs) {
  Cell cell({.workers = 2,
             .failure_share = 0,
             .orders_reach_next_incarnation = true});
  // Between two syncs of idle workers.
  cell.time.RunUntil(5 * kSecond);
  for (auto& [id, worker] : cell.workers) {
    worker.outdated_entry = worker.info;
    RestartWorker(cell, id);
  }
  Submit(cell, 0, MakeChain(cell, 1, 1, {1'000, 500, 0}, 9 * kSecond));
  while (cell.run_records.empty()) cell.time.RunUntil(cell.time.now_ms + 1);
  ModelWorker& started = cell.workers.at(cell.run_records.front().worker);
  started.partitioned = true;
  cell.time.RunUntil(cell.time.now_ms + 12 * kSecond);
  started.partitioned = false;
  for (auto& [id, worker] : cell.workers) worker.outdated_entry.reset();
  cell.time.RunUntil(60 * kSecond);
  cr_expect_eq(cell.run_records.size(), 2U);
  ExpectNoViolations(cell, true);
}

// Guards against a successor that waits for a shorter lease than the worker
// holds: the worker has restarted between two syncs, and the start that the
// lost owner sent for its earlier incarnation has given it the longest lease.
Test(CellModel, takeover_after_an_unnoticed_restart_runs_nothing_twice,
     .init = DiscardLogs) {
  constexpr TimeMs kMaxLeaseMs = 10 * kSecond;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Cell cell({.workers = 2,
               .seed = seed,
               .failure_share = 0,
               .max_lease_ms = kMaxLeaseMs,
               .orders_reach_next_incarnation = true});
    cell.time.RunUntil(5 * kSecond);
    for (auto& [id, worker] : cell.workers) {
      worker.outdated_entry = worker.info;
      RestartWorker(cell, id);
    }
    Submit(cell, 0, MakeChain(cell, 1, 1, {1'000, 500, 0}, 20 * kSecond));
    while (cell.run_records.empty()) cell.time.RunUntil(cell.time.now_ms + 1);
    ModelWorker& started = cell.workers.at(cell.run_records.front().worker);
    cell.time.RunUntil(cell.time.now_ms + UniformInt(cell.random, 0, 800));
    started.partitioned = true;
    // In every other seed the owner learns of the restart from the list, and
    // records the worker with its present incarnation, before it is lost.
    const TimeMs listed_ms = seed % 2 == 0 ? 1'500 : 0;
    if (listed_ms > 0) {
      for (auto& [id, worker] : cell.workers) worker.outdated_entry.reset();
    }
    cell.time.RunUntil(cell.time.now_ms + listed_ms);
    KillDaemon(cell, FindOwner(cell));
    cell.time.RunUntil(cell.time.now_ms + 500);
    for (auto& [id, worker] : cell.workers) worker.outdated_entry.reset();
    cell.time.RunUntil(cell.time.now_ms + 12 * kSecond);
    started.partitioned = false;
    cell.time.RunUntil(80 * kSecond);
    ExpectNoViolations(cell, true);
  }
}

// Guards against a task that waits for ever for a worker that crashed under it,
// was listed as restarted and was lost before it had answered.
Test(CellModel, worker_lost_after_its_restart_holds_no_task_up,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Cell cell({.workers = 3, .seed = seed, .failure_share = 0});
    cell.time.RunUntil(2 * kSecond);
    Submit(cell, 0, MakeChain(cell, 1, 4, {1'000, 500, 0}, 2 * kSecond));
    while (cell.run_records.empty()) cell.time.RunUntil(cell.time.now_ms + 1);
    ModelWorker& lost = cell.workers.at(cell.run_records.front().worker);
    CrashWorker(cell, lost.info.id);
    const TimeMs listed_ms = UniformInt(cell.random, 100, 2'000);
    cell.time.After(listed_ms, [&lost] { lost.info.incarnation++; });
    cell.time.After(listed_ms + 4'500, [&lost] { lost.listed = false; });
    cell.time.RunUntil(30 * kSecond);
    ExpectNoViolations(cell, true);
  }
}

// Guards against placing a task on a worker by the labels of its earlier
// incarnation: the present one may be of another kind.
Test(CellModel, restarted_worker_is_used_by_its_new_labels_only,
     .init = DiscardLogs) {
  Cell cell({.workers = 2, .failure_share = 0});
  ModelWorker& changed = cell.workers.at("w0");
  changed.info.labels = {"old"};
  cell.time.RunUntil(5 * kSecond);
  changed.outdated_entry = changed.info;
  changed.info.labels = {"new"};
  RestartWorker(cell, "w0");
  cell.time.RunUntil(8 * kSecond);
  for (const char* label : {"old", "new"}) {
    workflow::JobSpec spec = MakeChain(cell, 1, 1, {1'000, 500, 0}, 200);
    spec.steps.front().required_label = label;
    Submit(cell, 0, spec);
  }
  cell.time.RunUntil(11 * kSecond);
  cr_expect(cell.run_records.empty());
  changed.outdated_entry.reset();
  cell.time.RunUntil(14 * kSecond);
  cr_expect_eq(cell.run_records.size(), 1U);
  ExpectNoViolations(cell, false);
}

// Guards against a start on a worker without the required label around a
// takeover: fleet rows name incarnations and no labels, so the new owner must
// not combine a row with labels that a late list gives for another incarnation.
Test(CellModel, takeover_with_a_late_list_starts_nothing_without_its_label,
     .init = DiscardLogs) {
  // When the worker restarts, after the first job was submitted. The owner is
  // killed at `kKilledMs`.
  constexpr TimeMs kRestartsMs[] = {500, 2'200, 2'450, 2'510, 2'700, 3'500};
  // For how long the list has the entry of the earlier incarnation.
  constexpr TimeMs kListLateMs[] = {0, 600, 3'000, 9'000};
  int newer_rows = 0;
  int older_rows = 0;
  uint64_t seed = 0;
  for (const TimeMs restart_ms : kRestartsMs) {
    for (const TimeMs list_late_ms : kListLateMs) {
      const RowAge age = RunKindChange({.seed = ++seed,
                                        .restart_ms = restart_ms,
                                        .list_late_ms = list_late_ms});
      if (age == RowAge::kNewerThanList) ++newer_rows;
      if (age == RowAge::kOlderThanList) ++older_rows;
    }
  }
  // The orders of events must contain both cases.
  cr_expect_gt(newer_rows, 0);
  cr_expect_gt(older_rows, 0);
}

// Guards against lines on a lost run that do not tell the lease which the owner
// has waited for: whether it was too short cannot be seen without it.
Test(CellModel, line_on_a_lapsed_run_tells_its_lease) {
  std::vector<std::string> lines;
  SetLogOutput([&](const std::string& line) { lines.push_back(line); });
  Cell cell({.workers = 2, .failure_share = 0});
  cell.time.RunUntil(5 * kSecond);
  Submit(cell, 0, MakeChain(cell, 1, 1, {1'000, 500, 0}, 3 * kSecond));
  while (cell.run_records.empty()) cell.time.RunUntil(cell.time.now_ms + 1);
  cell.time.RunUntil(cell.time.now_ms + kSecond);
  cell.workers.at(cell.run_records.front().worker).partitioned = true;
  cell.time.RunUntil(20 * kSecond);
  SetLogOutput(nullptr);
  const auto lost =
      std::find_if(lines.begin(), lines.end(), [](const std::string& line) {
        return line.find("\"reason\":\"lease_lapsed\"") != std::string::npos;
      });
  cr_assert(lost != lines.end());
  ExpectFields(*lost, {"listed", "incarnation", "clock_ms",
                       "lease_end_clock_ms", "sync_age_ms"});
}

// Guards against lines from which it cannot be told why a task was started
// again: what the first order was, and what showed that its run had ended.
Test(CellModel, lines_of_a_restarted_task_tell_both_orders_and_the_evidence) {
  std::vector<std::string> lines;
  SetLogOutput([&](const std::string& line) { lines.push_back(line); });
  Cell cell({.workers = 2, .failure_share = 0});
  cell.time.RunUntil(5 * kSecond);
  Submit(cell, 0, MakeChain(cell, 1, 1, {1'000, 500, 0}, 3 * kSecond));
  while (cell.run_records.empty()) cell.time.RunUntil(cell.time.now_ms + 1);
  cell.time.RunUntil(cell.time.now_ms + kSecond);
  RestartWorker(cell, cell.run_records.front().worker);
  cell.time.RunUntil(20 * kSecond);
  SetLogOutput(nullptr);
  cr_assert_eq(cell.run_records.size(), 2U);
  const auto is_of = [&](const char* event) {
    return [name = "\"" + std::string(event) + "\""](const std::string& line) {
      return line.find(name) != std::string::npos;
    };
  };
  const auto lost =
      std::find_if(lines.begin(), lines.end(), is_of("task_lost"));
  cr_assert(lost != lines.end());
  ExpectFields(*lost, {"epoch", "token", "incarnation", "evidence"});
  cr_expect(lost->find("\"evidence\":\"lease_time\"") == std::string::npos);
  const auto placed =
      std::count_if(lines.begin(), lines.end(), is_of("tasks_placed"));
  cr_expect_geq(placed, 1);
  ExpectFields(*std::find_if(lines.begin(), lines.end(), is_of("tasks_placed")),
               {"epoch", "tasks"});
  const auto restarted =
      std::find_if(lines.begin(), lines.end(), is_of("worker_restarted"));
  cr_assert(restarted != lines.end());
  ExpectFields(*restarted,
               {"incarnation", "previous_incarnation", "token_increment"});
}

}  // namespace dotterelcove::model
