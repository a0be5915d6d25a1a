// Commits of the owner that the store never accepts.
#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "store/Leadership.h"
#include "telemetry/Log.h"
#include "tests/CellModel.h"

namespace dotterelcove {
namespace {

/// A store that answers transactions with the row "poison" with one status, and
/// otherwise holds the owner row only.
struct PoisonedStore {
  RowStore MakeStore() {
    RowStore store;
    store.transact = [this](const RowTransaction& transaction,
                            const StoreCallback& done) {
      this->transactions++;
      const StoreAnswer answer = this->Apply(transaction);
      this->time.After(2, [done, answer] { done(answer); });
    };
    store.read_one = [this](const std::string&, const std::string&,
                            const StoreCallback& done) {
      this->reads++;
      StoreAnswer answer;
      answer.status = StoreStatus::kOk;
      if (this->owner.version > 0) answer.rows.push_back(this->owner);
      this->time.After(2, [done, answer] { done(answer); });
    };
    return store;
  }

  StoreAnswer Apply(const RowTransaction& transaction) {
    StoreAnswer answer;
    size_t bytes = 0;
    for (const RowPut& put : transaction.puts) bytes += put.value.size();
    this->largest = std::max(this->largest, bytes);
    for (const RowPut& put : transaction.puts) {
      if (put.key != "poison") continue;
      answer.status = this->answer_to_poison;
      return answer;
    }
    if (transaction.conditions.front().version != this->owner.version) {
      answer.status = StoreStatus::kConflict;
      answer.rows.push_back(this->owner);
      return answer;
    }
    answer.status = StoreStatus::kOk;
    answer.version = ++this->version;
    this->owner = {kOwnerTable, kOwnerKey, transaction.puts.front().value,
                   answer.version, false};
    return answer;
  }

  Runtime MakeRuntime() {
    Runtime runtime;
    runtime.now = [this] { return this->time.now_ms; };
    runtime.after = [this](TimeMs delay_ms, std::function<void()> callback) {
      this->time.After(delay_ms, std::move(callback));
    };
    return runtime;
  }

  model::VirtualTime time;
  StoreRow owner;
  uint64_t version = 10;
  StoreStatus answer_to_poison = StoreStatus::kInvalid;
  int transactions = 0;
  int reads = 0;
  /// Bytes of values in the largest transaction.
  size_t largest = 0;
};

/// An owner that has committed a poisoned record.
struct PoisonedOwner {
  explicit PoisonedOwner(StoreStatus answer) {
    SetLogOutput([](const std::string&) {});
    this->store.answer_to_poison = answer;
    LeadershipOptions options;
    options.process = "front-1";
    options.incarnation = 7;
    LeadershipCallbacks callbacks;
    callbacks.acquired = [this](std::shared_ptr<OwnerCommitter> log) {
      this->log = std::move(log);
      this->acquisitions++;
    };
    callbacks.lost = [this] { this->losses++; };
    callbacks.owner_changed = [](const OwnerRow&) {};
    this->leadership = std::make_shared<Leadership>(
        this->store.MakeRuntime(), this->store.MakeStore(), options, callbacks);
    this->leadership->Start();
    this->Run(500);
    cr_assert_eq(this->acquisitions, 1);
    this->first_epoch = this->log->row().epoch;
    this->store.transactions = 0;
    this->store.reads = 0;
    this->log->Commit({{"progress", "poison", "x"}}, {},
                      [this] { this->committed++; });
  }
  void Run(TimeMs for_ms) {
    this->store.time.RunUntil(this->store.time.now_ms + for_ms);
  }

  PoisonedStore store;
  std::shared_ptr<Leadership> leadership;
  std::shared_ptr<OwnerCommitter> log;
  uint64_t first_epoch = 0;
  int acquisitions = 0;
  int losses = 0;
  int committed = 0;
};

}  // namespace

// Guards against an owner that sends a commit for ever that the store rejects
// as such: nothing behind it is stored, and no other process takes over while
// it reports itself alive. It gives ownership up, and the next owner begins
// with what is stored.
Test(OwnerCommitter, rejected_commit_ends_the_ownership) {
  PoisonedOwner owner(StoreStatus::kInvalid);
  owner.Run(1'000);
  cr_expect_eq(owner.losses, 1);
  cr_expect_eq(owner.committed, 0);
  cr_expect_not(owner.leadership->is_owner());
  cr_expect_leq(owner.store.transactions, 4);
  // Alone, the process takes over again after its pause, in a new epoch.
  owner.Run(6'000);
  cr_expect_eq(owner.acquisitions, 2);
  cr_expect_gt(owner.log->row().epoch, owner.first_epoch);
}

// Guards against one rejected record that keeps the others from being stored
// and costs the ownership, though somebody answers for it.
Test(OwnerCommitter, rejected_record_is_isolated) {
  PoisonedOwner owner(StoreStatus::kInvalid);
  int stored = 0;
  int rejected = 0;
  const auto count = [&stored] { stored++; };
  owner.Run(2'000);
  owner.Run(4'000);
  cr_assert(owner.leadership->is_owner());
  const uint64_t epoch = owner.log->row().epoch;
  owner.log->Commit({{"progress", "a", "x"}}, {}, count);
  owner.log->Commit({{"progress", "poison", "x"}}, {}, count,
                    [&rejected] { rejected++; });
  owner.log->Commit({{"progress", "b", "x"}}, {}, count);
  owner.Run(2'000);
  cr_expect_eq(stored, 2);
  cr_expect_eq(rejected, 1);
  cr_expect(owner.leadership->is_owner());
  cr_expect_eq(owner.log->row().epoch, epoch);
}

// Guards against a transaction that is larger than the limit by its last
// record.
Test(OwnerCommitter, last_record_counts_against_the_limit) {
  PoisonedOwner owner(StoreStatus::kOk);
  owner.Run(1'000);
  owner.store.largest = 0;
  const std::string value(400'000, 'v');
  for (const char* key : {"a", "b", "c"}) {
    owner.log->Commit({{"progress", key, value}}, {}, nullptr);
  }
  owner.Run(1'000);
  cr_expect_geq(owner.store.largest, value.size());
  cr_expect_leq(owner.store.largest, OwnerCommitterOptions().max_bytes + 1'000);
}

// Guards against standbys that wait for an owner which has given up and lives
// on, until its row is stale, or for ever while they are connected to it.
Test(OwnerCommitter, standby_takes_over_from_an_owner_that_has_given_up) {
  PoisonedOwner owner(StoreStatus::kOk);
  LeadershipOptions options;
  options.process = "front-2";
  options.incarnation = 9;
  int acquisitions = 0;
  LeadershipCallbacks callbacks;
  callbacks.acquired = [&](const std::shared_ptr<OwnerCommitter>&) {
    acquisitions++;
  };
  callbacks.lost = [] {};
  callbacks.owner_changed = [](const OwnerRow&) {};
  const auto standby = std::make_shared<Leadership>(
      owner.store.MakeRuntime(), owner.store.MakeStore(), options, callbacks);
  standby->Start();
  owner.Run(100);
  standby->OnOwnerLink(true, false);
  OwnerReport report;
  report.epoch = owner.first_epoch - 1;
  report.has_given_up = true;
  standby->OnReport(report);
  owner.Run(500);
  // Of an earlier epoch, so it says nothing of the present one.
  cr_expect_eq(acquisitions, 0);
  owner.log->Stop();
  report.epoch = owner.first_epoch;
  report.releasing = true;
  standby->OnReport(report);
  owner.Run(100);
  cr_expect_eq(acquisitions, 1);
}

// Guards against an owner that calls a failing store without a pause.
Test(OwnerCommitter, failing_commit_is_repeated_at_the_retry_interval) {
  for (const StoreStatus status : {StoreStatus::kUnknown, StoreStatus::kRefused,
                                   StoreStatus::kHistoryLost}) {
    PoisonedOwner owner(status);
    owner.Run(2'000);
    const TimeMs retry_ms = OwnerCommitterOptions().retry_ms;
    cr_expect_leq(owner.store.transactions, 2'000 / retry_ms + 1);
    cr_expect_leq(owner.store.reads, 2'000 / retry_ms + 1);
    cr_expect_geq(owner.store.transactions, 10);
    cr_expect_eq(owner.losses, 0);
    cr_expect_eq(owner.committed, 0);
  }
}

}  // namespace dotterelcove
