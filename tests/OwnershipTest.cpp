#include <criterion/criterion.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

#include "base/Clock.h"
#include "store/Ownership.h"
#include "tests/PlatformHarness.h"

namespace dotterelcove {
namespace {

constexpr int64_t kLeaseMs = 300;

/// One process that competes for ownership, on a loop of its own so that it can
/// be paused without the others.
struct Candidate {
  Candidate(const std::string& url, uint32_t rank, const std::string& process)
      : http(loop) {
    OwnershipOptions options;
    options.process = process;
    options.incarnation = 1'000 + rank;
    options.address = "127.0.0.1:1";
    options.lease_ms = kLeaseMs;
    options.heartbeat_ms = 50;
    options.poll_ms = 100;
    options.rank = rank;
    OwnershipCallbacks callbacks;
    callbacks.acquired = [this](uint64_t acquired, uint64_t version) {
      this->epoch = acquired;
      this->row_version = version;
      this->acquisitions++;
      this->acquired_ms = MonotonicMs();
    };
    callbacks.lost = [this](const std::string&) { this->losses++; };
    callbacks.changed = [this](const OwnerView&) { this->changes++; };
    this->ownership = std::make_unique<Ownership>(
        this->loop, TableClient{this->http, url, 200}, options, callbacks);
    this->ownership->Start();
  }
  bool is_owner() const { return this->ownership->is_owner(); }

  EventLoop loop;
  HttpClient http;
  std::unique_ptr<Ownership> ownership;
  uint64_t epoch = 0;
  uint64_t row_version = 0;
  int acquisitions = 0;
  int losses = 0;
  int changes = 0;
  TimeMs acquired_ms = 0;
  bool paused = false;
};

struct OwnershipHarness : PlatformHarness {
  Candidate& Add(uint32_t rank) {
    this->candidates.push_back(std::make_unique<Candidate>(
        this->standin->url(), rank, "p" + std::to_string(rank)));
    return *this->candidates.back();
  }
  /// Runs the service and every candidate that is not paused.
  bool Run(const std::function<bool()>& done, TimeMs timeout_ms = 20'000) {
    const TimeMs deadline = MonotonicMs() + timeout_ms;
    while (!done()) {
      if (MonotonicMs() > deadline) return false;
      ev_run(this->loop.raw(), EVRUN_NOWAIT);
      for (auto& candidate : this->candidates) {
        if (!candidate->paused) {
          ev_run(candidate->loop.raw(), EVRUN_NOWAIT);
        }
      }
      usleep(500);
    }
    return true;
  }
  /// Runs until the stand-in has received `count` more reads.
  bool RunReads(uint64_t count) {
    const uint64_t until = this->standin->stats().reads + count;
    return this->Run([&] { return this->standin->stats().reads >= until; });
  }
  TimeMs LastHeartbeatMs() {
    const auto& journal = this->standin->tables().journal;
    for (auto entry = journal.rbegin(); entry != journal.rend(); ++entry) {
      for (const TablePut& put : entry->puts) {
        if (put.key == HeartbeatRowKey(0)) return entry->monotonic_ms;
      }
    }
    return 0;
  }

  std::vector<std::unique_ptr<Candidate>> candidates;
};

}  // namespace

// Guards against two owners in one epoch and against a takeover from a live
// owner.
Test(Ownership, one_of_several_candidates_becomes_and_stays_owner) {
  OwnershipHarness harness;
  for (uint32_t rank = 0; rank < 3; ++rank) harness.Add(rank);
  cr_assert(harness.Run([&] { return harness.candidates[0]->is_owner(); }));
  cr_expect_eq(harness.candidates[0]->epoch, 1u);
  // The reads of the standbys span many lease durations.
  cr_assert(harness.RunReads(40));
  cr_expect(harness.candidates[0]->is_owner());
  cr_expect_eq(harness.candidates[0]->losses, 0);
  for (int rank : {1, 2}) {
    cr_expect_eq(harness.candidates[rank]->acquisitions, 0);
    cr_expect_str_eq(
        harness.candidates[rank]->ownership->view().process.c_str(), "p0");
    cr_expect_eq(harness.candidates[rank]->ownership->view().epoch, 1u);
  }
}

// Guards against a takeover before the lease has expired, and against an owner
// that was paused for longer than its lease and does not step down afterwards.
Test(Ownership, a_standby_takes_over_after_a_whole_lease) {
  for (const bool link_lost : {false, true}) {
    OwnershipHarness harness;
    Candidate& first = harness.Add(0);
    cr_assert(harness.Run([&] { return first.is_owner(); }));
    Candidate& second = harness.Add(1);
    cr_assert(harness.RunReads(4));
    first.paused = true;
    if (link_lost) second.ownership->OwnerLinkLost();
    const TimeMs last_heartbeat_ms = harness.LastHeartbeatMs();
    cr_assert(harness.Run([&] { return second.is_owner(); }));
    cr_expect_geq(second.acquired_ms - last_heartbeat_ms, kLeaseMs);
    cr_expect_eq(second.epoch, 2u);
    cr_expect(first.is_owner(), "the paused owner has not read the row yet");
    first.paused = false;
    cr_assert(harness.Run([&] { return !first.is_owner(); }));
    cr_expect_eq(first.losses, 1);
    cr_assert(
        harness.Run([&] { return first.ownership->view().process == "p1"; }));
    cr_expect_eq(first.acquisitions, 1);
  }
}

// Guards against an owner that loses ownership by a pause shorter than its
// lease.
Test(Ownership, a_short_pause_changes_nothing) {
  OwnershipHarness harness;
  Candidate& first = harness.Add(0);
  cr_assert(harness.Run([&] { return first.is_owner(); }));
  Candidate& second = harness.Add(1);
  cr_assert(harness.RunReads(2));
  first.paused = true;
  cr_assert(harness.RunReads(1));
  first.paused = false;
  cr_assert(harness.RunReads(10));
  cr_expect(first.is_owner());
  cr_expect_eq(second.acquisitions, 0);
}

// Guards against an owner that steps down or is replaced because of an outage
// of the store, during which no process could write a heartbeat.
Test(Ownership, an_outage_changes_no_owner) {
  for (const bool silent : {false, true}) {
    OwnershipHarness harness;
    Candidate& first = harness.Add(0);
    cr_assert(harness.Run([&] { return first.is_owner(); }));
    Candidate& second = harness.Add(1);
    cr_assert(harness.RunReads(3));
    harness.standin->faults().outage = !silent;
    harness.standin->faults().silent_outage = silent;
    const TimeMs start_ms = MonotonicMs();
    cr_assert(
        harness.Run([&] { return MonotonicMs() - start_ms > 3 * kLeaseMs; }));
    cr_expect(first.is_owner());
    cr_expect_geq(first.ownership->store_age_ms(), 2 * kLeaseMs);
    // The owner is paused as the outage ends, so that a standby reads first.
    first.paused = true;
    harness.standin->faults() = {};
    const uint64_t reads = harness.standin->stats().reads;
    cr_assert(harness.Run(
        [&] { return harness.standin->stats().reads >= reads + 2; }));
    first.paused = false;
    cr_assert(harness.RunReads(10));
    cr_expect(first.is_owner());
    cr_expect_eq(first.losses + second.acquisitions, 0);
  }
}

// Guards against a slow store that prevents every takeover.
Test(Ownership, a_standby_takes_over_while_the_store_is_slow) {
  OwnershipHarness harness;
  Candidate& first = harness.Add(0);
  cr_assert(harness.Run([&] { return first.is_owner(); }));
  Candidate& second = harness.Add(1);
  cr_assert(harness.RunReads(2));
  harness.standin->faults().delay_ms = 150;
  first.paused = true;
  cr_assert(harness.Run([&] { return second.is_owner(); }));
}

// Guards against a planned stop after which standbys wait for a whole lease.
Test(Ownership, a_released_partition_is_taken_over_at_once) {
  OwnershipHarness harness;
  Candidate& first = harness.Add(0);
  cr_assert(harness.Run([&] { return first.is_owner(); }));
  Candidate& second = harness.Add(1);
  cr_assert(harness.RunReads(2));
  bool released = false;
  first.ownership->Release([&] { released = true; });
  cr_expect_not(first.is_owner());
  cr_expect_eq(first.losses, 1);
  cr_assert(harness.Run([&] { return released; }));
  const TimeMs released_ms = harness.LastHeartbeatMs();
  cr_assert(harness.Run([&] { return second.is_owner(); }));
  cr_expect_lt(second.acquired_ms - released_ms, kLeaseMs);
  cr_expect_eq(first.acquisitions, 1, "a stopped process does not compete");
}

// Guards against a process that owns the partition without knowing it because
// the answer to its takeover was lost, and against an epoch that is used twice.
Test(Ownership, a_lost_take_over_answer_is_resolved_by_reading) {
  struct Case {
    const char* name;
    PlatformFaults faults;
  };
  const Case cases[] = {
      {"answer lost", {.lose_answers = 1}},
      {"request lost", {.lose_requests = 1}},
      {"effect late", {.delay_applied_ms = 250}},
  };
  for (const Case& test_case : cases) {
    OwnershipHarness harness;
    harness.standin->faults() = test_case.faults;
    Candidate& first = harness.Add(0);
    cr_assert(harness.Run([&] { return first.acquisitions > 0; }), "%s",
              test_case.name);
    harness.standin->faults() = {};
    // A late copy of an earlier attempt must not make it owner again.
    cr_assert(
        harness.Run([&] { return first.ownership->store_age_ms() < 50; }));
    const OwnerView& view = first.ownership->view();
    cr_expect_eq(view.epoch, first.epoch, "%s", test_case.name);
    cr_expect_eq(first.acquisitions, 1, "%s", test_case.name);
    const auto& rows = harness.standin->tables().rows;
    cr_expect_eq(rows.at(OwnerRowKey(0)).version, first.row_version, "%s",
                 test_case.name);
    cr_expect(first.is_owner(), "%s", test_case.name);
  }
}

// Guards against an owner that continues after a peer has shown a higher epoch.
Test(Ownership, a_higher_epoch_ends_ownership) {
  OwnershipHarness harness;
  Candidate& first = harness.Add(0);
  cr_assert(harness.Run([&] { return first.is_owner(); }));
  first.ownership->HigherEpochSeen(1);
  cr_expect(first.is_owner(), "its own epoch is not higher");
  first.ownership->HigherEpochSeen(7);
  cr_expect_not(first.is_owner());
  cr_expect_eq(first.losses, 1);
  // The next epoch that it acquires is above the one that was seen.
  cr_assert(harness.Run([&] { return first.is_owner(); }));
  cr_expect_eq(first.epoch, 8u);
}

}  // namespace dotterelcove
