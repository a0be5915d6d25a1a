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

}  // namespace

// Guards against tasks that run twice in bulk: an owner without the store went
// on while it heard one peer, though that one was cut off like it. Its
// successor waited out the workers that only the old owner reached, and started
// their tasks elsewhere.
Test(CellModel, owner_cut_off_with_a_peer_runs_nothing_twice,
     .init = DiscardLogs) {
  const std::set<int> cut_off{0, 1};
  const std::set<int> others{2, 3, 4};
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Cell cell({.daemons = 5, .seed = seed, .failure_share = 0});
    cell.time.RunUntil(2 * kSecond);
    for (int i = 0; i < 6; ++i) {
      Submit(cell, 2, MakeChain(cell, 1, 4, {1'000, 500, 0}, 12 * kSecond));
    }
    cell.time.RunUntil(5 * kSecond);
    cr_assert_eq(FindOwner(cell), 0);
    CutLinks(cell, cut_off, others);
    cell.store.faults.refused = cut_off;
    SplitWorkers(cell, cut_off, others);
    cell.time.RunUntil(7 * kSecond);
    cr_assert(others.contains(FindOwner(cell)));
    cell.time.RunUntil(20 * kSecond);
    RestoreAll(cell);
    cell.time.RunUntil(90 * kSecond);
    ExpectNoViolations(cell, true);
  }
}

}  // namespace dotterelcove::model
