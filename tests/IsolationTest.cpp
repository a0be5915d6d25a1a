#include <criterion/criterion.h>

#include "node/Isolation.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kLimitMs = 1'500;
constexpr TimeMs kStoreMs = 500'000;
constexpr uint64_t kEpoch = 7;
constexpr OwnEvidence kOwn{kEpoch, kStoreMs};

/// An owner that has heard d1 to d4 when the store last answered it.
Isolation MakeCellOfFive() {
  Isolation isolation;
  for (const char* peer : {"d1", "d2", "d3", "d4"}) {
    NotePeer(isolation, peer, kStoreMs);
  }
  return isolation;
}

}  // namespace

// Guards against an owner that goes on for as long as it hears one peer, which
// may be as cut off as itself while another daemon has taken over.
Test(Isolation, minority_of_the_cell_may_not_act) {
  Isolation isolation = MakeCellOfFive();
  NotePeer(isolation, "d1", kStoreMs + 9'000);
  cr_expect_eq(ActsUntil(isolation, kOwn, kLimitMs), kStoreMs + kLimitMs);
}

// Guards against a cell that stands still while the store is away for all.
Test(Isolation, majority_of_the_cell_may_act) {
  Isolation isolation = MakeCellOfFive();
  NotePeer(isolation, "d1", kStoreMs + 9'000);
  NotePeer(isolation, "d3", kStoreMs + 8'000);
  cr_expect_eq(ActsUntil(isolation, kOwn, kLimitMs),
               kStoreMs + 8'000 + kLimitMs);
}

// Guards against half of a cell that acts while the other half may have a newer
// owner.
Test(Isolation, half_of_the_cell_may_not_act) {
  Isolation isolation;
  NotePeer(isolation, "d1", kStoreMs);
  NotePeer(isolation, "d2", kStoreMs);
  NotePeer(isolation, "d3", kStoreMs);
  NotePeer(isolation, "d1", kStoreMs + 9'000);
  cr_expect_eq(ActsUntil(isolation, kOwn, kLimitMs), kStoreMs + kLimitMs);
  NotePeer(isolation, "d2", kStoreMs + 9'000);
  cr_expect_eq(ActsUntil(isolation, kOwn, kLimitMs),
               kStoreMs + 9'000 + kLimitMs);
}

// Guards against the suspension of an owner that has no peers, or whose last
// one has left for good.
Test(Isolation, only_member_may_act) {
  cr_expect_eq(ActsUntil({}, kOwn, kLimitMs), kForever);
  Isolation isolation;
  NotePeer(isolation, "d1", kStoreMs - kMembershipMs - 1);
  cr_expect_eq(ActsUntil(isolation, kOwn, kLimitMs), kForever);
  NotePeer(isolation, "d1", kStoreMs - kMembershipMs);
  cr_expect_eq(ActsUntil(isolation, kOwn, kLimitMs), kStoreMs + kLimitMs);
  ForgetPeer(isolation, "d1");
  cr_expect_eq(ActsUntil(isolation, kOwn, kLimitMs), kForever);
}

// Guards against an owner that the store turns away and that stops although the
// store still shows its epoch to a peer.
Test(Isolation, epoch_shown_to_a_peer_counts) {
  Isolation isolation = MakeCellOfFive();
  NoteEpoch(isolation, "d2", kEpoch, kStoreMs + 3'000);
  cr_expect_eq(ActsUntil(isolation, kOwn, kLimitMs),
               kStoreMs + 3'000 + kLimitMs);
}

// Guards against an owner that takes the report of another epoch, or an older
// report of its own, for a confirmation.
Test(Isolation, other_epochs_do_not_count) {
  Isolation isolation = MakeCellOfFive();
  NoteEpoch(isolation, "d1", kEpoch - 1, kStoreMs + 3'000);
  NoteEpoch(isolation, "d2", kEpoch, kStoreMs + 2'000);
  NoteEpoch(isolation, "d2", kEpoch + 1, kStoreMs + 2'500);
  NoteEpoch(isolation, "d2", kEpoch, kStoreMs + 4'000);
  cr_expect_eq(ActsUntil(isolation, kOwn, kLimitMs), kStoreMs + kLimitMs);
}

}  // namespace dotterelcove
