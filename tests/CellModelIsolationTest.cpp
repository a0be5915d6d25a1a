// Owners that are cut off from the store, from peers or from processor time.
#include <criterion/criterion.h>

#include <set>
#include <string>

#include "tests/CellModelDays.h"

namespace dotterelcove::model {
namespace {

/// Splits the workers: the last half is out of reach of `group`, the first half
/// of `others`.
void SplitWorkers(Cell& cell, const std::set<int>& group,
                  const std::set<int>& others) {
  size_t number = 0;
  for (const auto& [id, worker] : cell.workers) {
    const bool is_first_half = number++ < cell.workers.size() / 2;
    for (const int daemon : is_first_half ? others : group) {
      cell.daemons[static_cast<size_t>(daemon)]->unreachable_workers.insert(id);
    }
  }
}

void RestoreAll(Cell& cell) {
  RestoreLinks(cell);
  cell.store.faults.refused.clear();
  for (const auto& daemon : cell.daemons) daemon->unreachable_workers.clear();
}

/// Splits a cell of five daemons and its workers for `for_ms` while tasks run.
/// The group with the owner is cut off from the store.
void PlaySplit(uint64_t seed, TimeMs for_ms, const std::set<int>& cut_off,
               const std::set<int>& others) {
  Cell cell({.daemons = 5, .seed = seed, .failure_share = 0});
  cell.time.RunUntil(2 * kSecond);
  const int caller = *others.begin();
  for (int i = 0; i < 6; ++i) {
    Submit(cell, caller, MakeChain(cell, 1, 4, {1'000, 500, 0}, 12 * kSecond));
  }
  cell.time.RunUntil(5 * kSecond);
  cr_assert_eq(FindOwner(cell), 0);
  CutLinks(cell, cut_off, others);
  cell.store.faults.refused = cut_off;
  SplitWorkers(cell, cut_off, others);
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
    PlaySplit(seed, 15 * kSecond, {0, 1}, {2, 3, 4});
  }
}

// Guards against the same where the old owner has most daemons on its side: it
// takes the store to be away for all and goes on. Its successor took workers
// that only the old owner reached for free, and the old owner took leases for
// expired that its successor renewed.
Test(CellModel, owner_cut_off_with_most_daemons_runs_nothing_twice,
     .init = DiscardLogs) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    PlaySplit(seed, 10 * kSecond, {0, 1, 2}, {3, 4});
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
