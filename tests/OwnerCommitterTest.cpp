// Commits of the owner that the store never accepts.
#include <criterion/criterion.h>

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
