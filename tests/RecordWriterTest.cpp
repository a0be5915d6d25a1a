#include <criterion/criterion.h>

#include <map>
#include <string>

#include "store/Ownership.h"
#include "store/RecordWriter.h"
#include "store/WriterRow.h"
#include "tests/PlatformHarness.h"

namespace dotterelcove {
namespace {

constexpr int64_t kTimeoutMs = 100;

/// The record writer of an owner, writing to the stand-in platform.
struct WriterHarness : PlatformHarness {
  WriterHarness() { this->ChangeOwner("first"); }

  /// Changes the owner row and replaces the current writer by a new one. The
  /// old writer stays in `previous`.
  void ChangeOwner(const std::string& owner) {
    const auto result =
        Commit(this->standin->tables(), {{}, {{OwnerRowKey(0), owner, false}}});
    RecordWriterOptions options;
    options.owner_row_version = result.version;
    options.backoff_base_ms = 10;
    options.backoff_max_ms = 50;
    this->previous = std::move(this->writer);
    this->writer = std::make_unique<RecordWriter>(
        this->loop, this->tables(kTimeoutMs), options);
  }
  void Put(const std::string& key, bool wait) {
    this->writer->Put({key, "v", false}, wait, [this, key](WriteStatus status) {
      this->answers[key] = status;
      this->answered++;
    });
  }
  bool WaitFor(size_t count) {
    return this->Wait([&] { return this->answers.size() >= count; });
  }
  int Answer(const std::string& key) {
    const auto found = this->answers.find(key);
    return found == this->answers.end() ? -1 : static_cast<int>(found->second);
  }

  std::unique_ptr<RecordWriter> previous;
  std::unique_ptr<RecordWriter> writer;
  std::map<std::string, WriteStatus> answers;
  int answered = 0;
};

constexpr int kCommitted = static_cast<int>(WriteStatus::kCommitted);
constexpr int kFenced = static_cast<int>(WriteStatus::kFenced);
constexpr int kUnavailable = static_cast<int>(WriteStatus::kUnavailable);

}  // namespace

// Guards against records that are lost or applied twice when the store fails
// while a transaction is in flight.
Test(RecordWriter, commits_each_record_once_whatever_the_store_does) {
  struct Case {
    const char* name;
    PlatformFaults faults;
    /// The fault ends once this many writes have reached the store under it.
    uint64_t writes_under_fault;
  };
  const Case cases[] = {
      {"no fault", {}, 0},
      {"answer lost", {.lose_answers = 1}, 1},
      {"three answers lost", {.lose_answers = 3}, 1},
      {"request lost", {.lose_requests = 2}, 2},
      {"outage", {.outage = true}, 1},
      {"silent outage", {.silent_outage = true}, 1},
      {"effect after the time limit", {.delay_applied_ms = 250}, 1},
      {"effect after the resend", {.delay_applied_ms = 400}, 2},
      {"answer after the time limit", {.delay_ms = 250}, 1},
  };
  for (const Case& test_case : cases) {
    WriterHarness harness;
    harness.Put("before", true);
    cr_assert(harness.WaitFor(1), "%s", test_case.name);
    const uint64_t writes = harness.standin->stats().writes;
    harness.standin->faults() = test_case.faults;
    harness.Put("row", true);
    cr_assert(harness.Wait([&] {
      return harness.standin->stats().writes >=
             writes + test_case.writes_under_fault;
    }));
    if (test_case.faults.lose_answers + test_case.faults.lose_requests == 0) {
      harness.standin->faults() = {};
    }
    harness.Put("after", true);
    cr_assert(harness.WaitFor(3), "%s", test_case.name);
    cr_expect_eq(harness.Answer("row"), kCommitted, "%s", test_case.name);
    cr_expect_eq(harness.Answer("after"), kCommitted, "%s", test_case.name);
    // A delayed copy may be applied after the writer's request timed out.
    harness.standin->faults() = {};
    bool late = false;
    Timer timer(harness.loop, [&] { late = true; });
    timer.StartAfter(test_case.faults.delay_applied_ms);
    cr_assert(harness.Wait([&] { return late; }));
    for (const char* key : {"before", "row", "after"}) {
      cr_expect_eq(harness.CommitsOf(key), 1, "%s: %s", test_case.name, key);
    }
    cr_expect_eq(harness.answered, 3, "%s", test_case.name);
  }
}

// Guards against a record that waits through an outage though it was put
// without `wait_for_store`, and against a refusal of a record that may have
// been written.
Test(RecordWriter, refuses_records_that_do_not_wait_for_the_store) {
  for (const bool silent : {false, true}) {
    WriterHarness harness;
    harness.Put("before", true);
    cr_assert(harness.WaitFor(1));
    harness.standin->faults().outage = !silent;
    harness.standin->faults().silent_outage = silent;
    harness.Put("first", false);
    harness.Put("waits", true);
    cr_assert(harness.Wait([&] { return !harness.writer->store_up(); }));
    harness.Put("later", false);
    cr_assert(harness.WaitFor(silent ? 2 : 3));
    cr_expect_eq(harness.Answer("later"), kUnavailable);
    // In a silent outage the first transaction may have taken effect.
    cr_expect_eq(harness.Answer("first"), silent ? -1 : kUnavailable);
    cr_expect_eq(harness.Answer("waits"), -1);
    harness.standin->faults() = {};
    cr_assert(harness.WaitFor(4));
    cr_expect_eq(harness.Answer("waits"), kCommitted);
    cr_expect(harness.writer->store_up());
    cr_expect_eq(harness.CommitsOf("first"), silent ? 1 : 0);
    cr_expect_eq(harness.CommitsOf("later"), 0);
    cr_expect_eq(harness.CommitsOf("waits"), 1);
  }
}

// Guards against a writer that never notices the end of an outage because no
// record is queued that would make it contact the store.
Test(RecordWriter, notices_the_end_of_an_outage_without_records) {
  WriterHarness harness;
  harness.standin->faults().outage = true;
  harness.Put("refused", false);
  cr_assert(harness.WaitFor(1));
  cr_expect_not(harness.writer->store_up());
  harness.standin->faults() = {};
  cr_assert(harness.Wait([&] { return harness.writer->store_up(); }));
  harness.Put("row", false);
  cr_assert(harness.WaitFor(2));
  cr_expect_eq(harness.Answer("row"), kCommitted);
}

// Guards against a former owner that still writes, and against a false report
// that nothing was written if its last answer was lost.
Test(RecordWriter, is_fenced_by_a_new_owner) {
  struct Case {
    const char* name;
    PlatformFaults faults;
    bool new_owner_writes;
    int expected;
  };
  const Case cases[] = {
      {"no fault", {}, false, kFenced},
      {"new owner has written", {}, true, kFenced},
      {"request lost", {.lose_requests = 1}, false, kFenced},
      {"request lost, new owner wrote", {.lose_requests = 1}, true, kFenced},
      {"answer lost", {.lose_answers = 1}, false, kCommitted},
      {"answer lost, new owner wrote", {.lose_answers = 1}, true, kCommitted},
      {"effect too late", {.delay_applied_ms = 300}, true, kFenced},
  };
  for (const Case& test_case : cases) {
    WriterHarness harness;
    harness.Put("before", true);
    cr_assert(harness.WaitFor(1));
    const uint64_t writes = harness.standin->stats().writes;
    harness.standin->faults() = test_case.faults;
    const bool faulty = test_case.expected == kCommitted ||
                        test_case.faults.lose_requests > 0 ||
                        test_case.faults.delay_applied_ms > 0;
    if (faulty) {
      harness.Put("row", true);
      cr_assert(harness.Wait(
          [&] { return harness.standin->stats().writes > writes; }));
      harness.standin->faults() = {};
    }
    RecordWriter* old_writer = harness.writer.get();
    harness.ChangeOwner("second");
    if (test_case.new_owner_writes) harness.Put("new", true);
    if (!faulty) {
      std::swap(harness.writer, harness.previous);
      harness.Put("row", true);
    }
    cr_assert(harness.WaitFor(test_case.new_owner_writes ? 3 : 2), "%s",
              test_case.name);
    cr_expect_eq(harness.Answer("row"), test_case.expected, "%s",
                 test_case.name);
    cr_expect_eq(harness.CommitsOf("row"),
                 test_case.expected == kCommitted ? 1 : 0, "%s",
                 test_case.name);
    // Every later record is refused at once.
    WriteStatus later = WriteStatus::kCommitted;
    old_writer->Put({"later", "v", false}, true,
                    [&](WriteStatus status) { later = status; });
    cr_assert(harness.Wait([&] { return later != WriteStatus::kCommitted; }));
    cr_expect_eq(static_cast<int>(later), kFenced, "%s", test_case.name);
    cr_expect_eq(harness.CommitsOf("later"), 0);
  }
}

// Guards against a false report that nothing was written if a retry fails on
// the row of a new owner after the delayed first copy has taken effect.
Test(RecordWriter,
     reports_a_late_first_copy_as_committed_after_an_owner_change) {
  WriterHarness harness;
  harness.Put("before", true);
  cr_assert(harness.WaitFor(1));
  const uint64_t writes = harness.standin->stats().writes;
  // The first copy is applied after the timeout of 100 ms. The retry is decided
  // after that and still answered in time.
  harness.standin->faults().delay_applied_ms = 160;
  harness.Put("row", true);
  cr_assert(
      harness.Wait([&] { return harness.standin->stats().writes > writes; }));
  harness.standin->faults().delay_applied_ms = 85;
  cr_assert(harness.Wait([&] { return harness.CommitsOf("row") == 1; }));
  harness.ChangeOwner("second");
  cr_assert(harness.WaitFor(2));
  cr_expect_eq(harness.Answer("row"), kCommitted);
  cr_expect_eq(harness.CommitsOf("row"), 1);
}

// Guards against more than 40 transactions per second and against batches above
// their size limit.
Test(RecordWriter, groups_records_into_few_transactions) {
  WriterHarness harness;
  constexpr int kRecords = 5'000;
  for (int i = 0; i < kRecords; ++i) {
    harness.Put("row" + std::to_string(i), true);
  }
  cr_assert(harness.WaitFor(kRecords));
  cr_expect_eq(harness.writer->queued(), 0u);
  const auto& journal = harness.standin->tables().journal;
  const size_t transactions = journal.size() - 1;
  cr_expect_leq(harness.writer->transactions(), 12u);
  cr_expect_eq(harness.writer->transactions(), transactions);
  for (const JournalEntry& entry : journal) {
    cr_expect_leq(entry.puts.size(), 501u);
  }
  // Transactions are sent 25 ms apart; 10 ms allow for the transport.
  const int64_t elapsed = journal.back().monotonic_ms - journal[1].monotonic_ms;
  cr_expect_geq(elapsed, static_cast<int64_t>(transactions - 1) * 25 - 10);
}

// Guards against wrong conclusions from the writer row about whether a
// transaction took effect.
Test(WriterRow, tells_whether_a_transaction_took_effect) {
  WriterRow row;
  row = AdvanceWriterRow(row, {5, 1});
  row = AdvanceWriterRow(row, {5, 2});
  row = AdvanceWriterRow(row, {9, 1});
  struct Case {
    TransactionId id;
    std::optional<bool> expected;
  };
  for (const Case& test_case :
       {Case{{5, 2}, true}, Case{{5, 3}, false}, Case{{9, 1}, true},
        Case{{9, 2}, false}, Case{{7, 1}, false}, Case{{3, 1}, false}}) {
    cr_expect(WasCommitted(row, test_case.id) == test_case.expected, "owner %d",
              static_cast<int>(test_case.id.owner_row_version));
  }
  for (uint64_t owner = 10; owner < 10 + kMaxPastTransactions; ++owner) {
    row = AdvanceWriterRow(row, {owner, 1});
  }
  WriterRow copy;
  cr_assert(WriterRowFromJson(WriterRowToJson(row), copy));
  cr_expect(WasCommitted(copy, {5, 2}) == std::nullopt);
  cr_expect(WasCommitted(copy, {12, 1}) == std::optional<bool>(true));
  cr_expect_not(WriterRowFromJson("{\"last\":[1]}", copy));
}

}  // namespace dotterelcove
