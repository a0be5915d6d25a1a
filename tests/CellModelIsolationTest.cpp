// Owners that are cut off from the store, from peers or from processor time.
#include <criterion/criterion.h>

#include <set>
#include <string>

#include "tests/CellModelDays.h"

namespace dotterelcove::model {
namespace {

/// Which workers, by the order of their names, a group of daemons reaches.
enum class Half : uint8_t { kFirst, kLast };

/// Splits the workers: `group` reaches one half only, `others` the other one.
void SplitWorkers(Cell& cell, const std::set<int>& group,
                  const std::set<int>& others, Half of_group) {
  size_t number = 0;
  for (const auto& [id, worker] : cell.workers) {
    const bool is_first_half = number++ < cell.workers.size() / 2;
    const bool is_of_group = is_first_half == (of_group == Half::kFirst);
    for (const int daemon : is_of_group ? others : group) {
      cell.daemons[static_cast<size_t>(daemon)]->unreachable_workers.insert(id);
    }
  }
}

/// Cuts `group` off from the store, the `others` and half of the workers.
void CutOff(Cell& cell, const std::set<int>& group, const std::set<int>& others,
            Half of_group) {
  CutLinks(cell, group, others);
  cell.store.faults.refused = group;
  SplitWorkers(cell, group, others, of_group);
}

/// All daemons but those in `group`.
std::set<int> OthersThan(const Cell& cell, const std::set<int>& group) {
  std::set<int> others;
  for (const auto& daemon : cell.daemons) {
    if (!group.contains(daemon->index)) others.insert(daemon->index);
  }
  return others;
}

bool IsActing(const Cell& cell, int index) {
  const Daemon& daemon = *cell.daemons[static_cast<size_t>(index)];
  return daemon.controller && !workflow::IsSuspended(*daemon.controller);
}

void SubmitLongJobs(Cell& cell, int daemon, int count, TimeMs run_ms) {
  for (int i = 0; i < count; ++i) {
    Submit(cell, daemon, MakeChain(cell, 1, 4, {1'000, 500, 0}, run_ms));
  }
}

/// Kills the owner; returns the next one as soon as there is one.
int ReplaceOwner(Cell& cell) {
  const int first = FindOwner(cell);
  KillDaemon(cell, first);
  while (FindOwner(cell) < 0 || FindOwner(cell) == first) {
    cell.time.RunUntil(cell.time.now_ms + 10);
  }
  return FindOwner(cell);
}

void RestoreAll(Cell& cell) {
  RestoreLinks(cell);
  cell.store.faults.refused.clear();
  for (const auto& daemon : cell.daemons) daemon->unreachable_workers.clear();
}

/// Splits a cell of five daemons and its workers for `for_ms` while tasks run.
/// The group with the owner is cut off from the store.
void PlaySplit(uint64_t seed, TimeMs for_ms, const std::set<int>& cut_off,
               Half of_owner) {
  Cell cell({.daemons = 5, .seed = seed, .failure_share = 0});
  const std::set<int> others = OthersThan(cell, cut_off);
  cell.time.RunUntil(2 * kSecond);
  SubmitLongJobs(cell, *others.begin(), 6, 12 * kSecond);
  cell.time.RunUntil(5 * kSecond);
  cr_assert_eq(FindOwner(cell), 0);
  CutOff(cell, cut_off, others, of_owner);
  cell.time.RunUntil(7 * kSecond);
  cr_assert(others.contains(FindOwner(cell)));
  cell.time.RunUntil(5 * kSecond + for_ms);
  RestoreAll(cell);
  cell.time.RunUntil(90 * kSecond);
  ExpectNoViolations(cell, true);
}

}  // namespace

// Guards against tasks that run twice in bulk: an owner without the store went
// on while it heard one peer, though that one was cut off like it. Its
// successor waited out the workers that only the old owner reached, and started
// their tasks elsewhere.
Test(CellModel, owner_cut_off_with_a_peer_runs_nothing_twice,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    PlaySplit(seed, 15 * kSecond, {0, 1}, Half::kFirst);
    PlaySplit(seed, 15 * kSecond, {0, 1}, Half::kLast);
  }
}

// Guards against the same where the old owner has most daemons on its side: it
// takes the store to be away for all and goes on. Its successor took workers
// that only the old owner reached for free.
Test(CellModel, owner_cut_off_with_most_daemons_runs_nothing_twice,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    PlaySplit(seed, 9 * kSecond, {0, 1, 2}, Half::kFirst);
  }
}

// Guards against an owner without the store that takes leases for expired which
// its successor renews: the tasks run on the half that only that one reaches.
Test(CellModel, lease_renewed_by_a_newer_owner_has_not_expired,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    PlaySplit(seed, 9 * kSecond, {0, 1, 2}, Half::kLast);
  }
}

// Guards against an owner that forgets daemons whose links are cut: it would
// take itself for the whole cell and go on without the store for ever.
Test(CellModel, owner_does_not_forget_daemons_that_it_does_not_hear,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Cell cell({.daemons = 5, .seed = seed, .failure_share = 0});
    cell.time.RunUntil(2 * kSecond);
    CutLinks(cell, {0}, {1, 2, 3, 4});
    cell.time.RunUntil(15 * kSecond);
    const int owner = FindOwner(cell);
    const std::set<int> others = OthersThan(cell, {owner});
    SubmitLongJobs(cell, *others.begin(), 6, 12 * kSecond);
    cell.time.RunUntil(18 * kSecond);
    cr_assert_eq(FindOwner(cell), owner);
    CutOff(cell, {owner}, others, Half::kFirst);
    cell.time.RunUntil(28 * kSecond);
    cr_expect(!IsActing(cell, owner), "seed %d", static_cast<int>(seed));
    RestoreAll(cell);
    cell.time.RunUntil(110 * kSecond);
    ExpectNoViolations(cell, true);
  }
}

// Guards against a new owner that counts the daemons before they have connected
// to it, and goes on with one of them.
Test(CellModel, owner_split_off_after_its_takeover_runs_nothing_twice,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    for (const TimeMs offset_ms : {100, 300, 500, 800, 1'500}) {
      Cell cell({.daemons = 5, .seed = seed, .failure_share = 0});
      cell.time.RunUntil(2 * kSecond);
      SubmitLongJobs(cell, 4, 6, 14 * kSecond);
      cell.time.RunUntil(5 * kSecond);
      const int lost = FindOwner(cell);
      const int owner = ReplaceOwner(cell);
      cell.time.RunUntil(cell.time.now_ms + offset_ms);
      std::set<int> others = OthersThan(cell, {owner, lost});
      const int companion = *others.begin();
      others.erase(companion);
      CutOff(cell, {owner, companion}, others, Half::kFirst);
      cell.time.RunUntil(cell.time.now_ms + 10 * kSecond);
      cr_expect(!IsActing(cell, owner), "seed %d, %lld ms after the takeover",
                static_cast<int>(seed), static_cast<long long>(offset_ms));
      RestoreAll(cell);
      cell.time.RunUntil(100 * kSecond);
      ExpectNoViolations(cell, true);
    }
  }
}

// Guards against a new owner that loses the store while it waits for silent
// workers, and takes them for free although a newer owner has taken their runs
// over.
Test(CellModel, recovery_without_the_store_gives_no_worker_up,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Cell cell({.daemons = 6, .seed = seed, .failure_share = 0});
    cell.time.RunUntil(2 * kSecond);
    SubmitLongJobs(cell, 4, 2, 25 * kSecond);
    cell.time.RunUntil(5 * kSecond);
    const int lost = FindOwner(cell);
    const std::set<int> alive = OthersThan(cell, {lost});
    SplitWorkers(cell, alive, {}, Half::kLast);
    const int owner = ReplaceOwner(cell);
    cell.time.RunUntil(cell.time.now_ms + 300);
    std::set<int> group{owner};
    for (const int daemon : alive) {
      if (group.size() < 4) group.insert(daemon);
    }
    std::set<int> others = alive;
    for (const int daemon : group) others.erase(daemon);
    RestoreAll(cell);
    CutOff(cell, group, others, Half::kLast);
    cell.time.RunUntil(cell.time.now_ms + 9 * kSecond);
    RestoreAll(cell);
    cell.time.RunUntil(100 * kSecond);
    ExpectNoViolations(cell, true);
  }
}

// Guards against jobs that wait for daemons and a worker that are lost for good
// longer than 10 s: 3 s until the cell counts as calm, 4 s of calm, and the 3 s
// for which a job may have nothing running (RULES.md, LOST).
Test(CellModel, loss_of_most_daemons_delays_no_job_for_long,
     .init = DiscardLogs) {
  constexpr TimeMs kMostWaitMs = 10 * kSecond;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    Cell cell({.daemons = 5, .workers = 3, .seed = seed, .failure_share = 0});
    cell.time.RunUntil(2 * kSecond);
    const int owner = FindOwner(cell);
    const int survivor = owner == 4 ? 3 : 4;
    // More tasks than there is room for, so that some wait.
    Submit(cell, survivor, MakeChain(cell, 1, 60, {1'000, 500, 0}, 2'000));
    cell.time.RunUntil(3 * kSecond);
    for (const auto& daemon : cell.daemons) {
      daemon->unreachable_workers.insert("w0");
    }
    const TimeMs lost_ms = cell.time.now_ms;
    const size_t started = cell.run_records.size();
    KillDaemon(cell, owner);
    int killed = 1;
    for (int i = 0; i < 5 && killed < 3; ++i) {
      if (i == owner || i == survivor) continue;
      KillDaemon(cell, i);
      ++killed;
    }
    cell.time.RunUntil(lost_ms + kMostWaitMs);
    cr_expect_gt(cell.run_records.size(), started, "seed %d",
                 static_cast<int>(seed));
  }
}

// Guards against calls to workers of an owner that stood still, before it has
// heard of the store or a peer: its first check of workers ran before the check
// of its isolation, and answers and heartbeats that had arrived meanwhile were
// taken for new.
Test(CellModel, owner_that_stood_still_waits_for_contact, .init = DiscardLogs) {
  // Different calls are in flight when the owner stops.
  for (TimeMs offset_ms = 0; offset_ms < 400; offset_ms += 7) {
    Cell cell({.failure_share = 0});
    cell.time.RunUntil(2 * kSecond);
    for (int i = 0; i < 4; ++i) {
      Submit(cell, 1, MakeChain(cell, 1, 4, {1'000, 500, 0}, 12 * kSecond));
    }
    cell.time.RunUntil(5 * kSecond + offset_ms);
    cr_assert_eq(FindOwner(cell), 0);
    Daemon& owner = *cell.daemons.front();
    owner.frozen_until_ms = 15 * kSecond;
    cell.time.RunUntil(6 * kSecond);
    CutLinks(cell, {0}, {1, 2});
    cell.store.faults.refused = {0};
    cell.time.RunUntil(15 * kSecond - 1);
    cr_assert_neq(FindOwner(cell), 0);
    const uint64_t calls = owner.worker_calls;
    cell.time.RunUntil(20 * kSecond);
    cr_expect_eq(owner.worker_calls, calls, "stopped %lld ms later: %llu calls",
                 static_cast<long long>(offset_ms),
                 static_cast<unsigned long long>(owner.worker_calls - calls));
    RestoreAll(cell);
    cell.time.RunUntil(60 * kSecond);
    ExpectNoViolations(cell, true);
  }
}

}  // namespace dotterelcove::model
