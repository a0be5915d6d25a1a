// Decisions on the keys, quotas and shares of client accounts.
#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "accounts/Accounts.h"
#include "accounts/KeyCheck.h"
#include "accounts/Quota.h"
#include "base/Random.h"
#include "base/SuspendedTime.h"
#include "fairness/ShareLedger.h"

namespace dotterelcove::accounts {
namespace {

using Keys = std::vector<std::string>;

const AccountTable kEarlier =
    MakeAccountTable({{"a", Keys{"ka"}, 3, Resources{10, 0, 0}},
                      {"b", Keys{"kb"}, 4, Resources{20, 0, 0}}},
                     {})
        .table;

std::string NameByKey(const AccountTable& table, const std::string& key) {
  const Account* account = FindByKey(table, key);
  return account == nullptr ? "" : account->name;
}

}  // namespace

// Guards against 401 for a key that was added more than `apply_ms` ago, and
// against a second read for the same request.
Test(KeyCheck, unknown_key_needs_recent_evidence) {
  const KeyBounds bounds{3'000, {}};
  const auto check = [&](ConfigEvidence evidence, bool read_again) {
    return CheckKey(false, evidence, bounds, read_again);
  };
  cr_expect(check({2'750, false}, false) == KeyVerdict::kUnknownKey);
  cr_expect(check({2'751, false}, false) == KeyVerdict::kReadAgain);
  cr_expect(check({2'751, false}, true) == KeyVerdict::kEvidenceTooOld);
  cr_expect(check({{}, false}, false) == KeyVerdict::kReadAgain);
  cr_expect(check({0, true}, true) == KeyVerdict::kEvidenceTooOld);
}

// Guards against service by a key that may have been taken away `revoke_ms`
// ago, and against refusals by a daemon for which there is no such bound.
Test(KeyCheck, known_key_is_served_on_evidence_within_the_bound) {
  const auto check = [](ConfigEvidence evidence, KeyBounds bounds) {
    return CheckKey(true, evidence, bounds, false);
  };
  cr_expect(check({4'750, false}, {3'000, 5'000}) == KeyVerdict::kServe);
  cr_expect(check({4'751, false}, {3'000, 5'000}) ==
            KeyVerdict::kEvidenceTooOld);
  cr_expect(check({{}, false}, {3'000, 5'000}) == KeyVerdict::kEvidenceTooOld);
  cr_expect(check({600'000, false}, {3'000, {}}) == KeyVerdict::kServe);
  // A newer version is known of that is not in force here.
  cr_expect(check({2'750, true}, {3'000, {}}) == KeyVerdict::kServe);
  cr_expect(check({2'751, true}, {3'000, {}}) == KeyVerdict::kEvidenceTooOld);
}

// Guards against an unreadable member that takes away what worked before.
Test(AccountTable, unreadable_members_keep_their_earlier_value) {
  const MadeAccountTable made = MakeAccountTable(
      {{"a", {}, {}, {}}, {"", Keys{"kb"}, 5, Resources()}}, kEarlier);
  cr_expect_eq(made.problems.size(), 2U);
  cr_expect_eq(NameByKey(made.table, "ka"), "a");
  cr_expect_eq(made.table.by_name.at("a").weight, 3);
  cr_expect_eq(made.table.by_name.at("a").quota.milli_cores, 10);
  cr_expect_eq(NameByKey(made.table, "kb"), "b");
  cr_expect_not(made.table.are_keys_incomplete);
  // Without an earlier value it is not known which keys are valid.
  cr_expect(MakeAccountTable({{"c", {}, 1, Resources()}}, kEarlier)
                .table.are_keys_incomplete);
  cr_expect(MakeAccountTable({{"", Keys{"k"}, 1, Resources()}}, kEarlier)
                .table.are_keys_incomplete);
}

// Guards against a key that moves to the account which claims it, against an
// account whose second entry replaces the first, and against an empty key,
// which every request without a key would have.
Test(AccountTable, claimed_keys_and_accounts_listed_twice) {
  const MadeAccountTable made =
      MakeAccountTable({{"c", Keys{"kb", "new", ""}, 1, Resources()},
                        {"b", Keys{"kb", "new"}, 1, Resources()},
                        {"b", Keys{"other"}, 9, Resources()}},
                       kEarlier);
  cr_expect_eq(NameByKey(made.table, "kb"), "b");
  cr_expect_eq(NameByKey(made.table, "new"), "c");
  cr_expect_eq(NameByKey(made.table, "other"), "");
  cr_expect_eq(NameByKey(made.table, ""), "");
  cr_expect_eq(made.table.by_name.at("b").weight, 1);
  cr_expect_eq(made.problems.size(), 4U);
  for (const std::string& problem : made.problems) {
    cr_expect(problem.find("kb") == std::string::npos, "%s", problem.c_str());
  }
}

// Guards against a dimension that is left out, against a count below zero after
// the quota was lowered, and against a large task that never starts.
Test(Quota, count_within_every_dimension) {
  const Resources size{1'000, 100, 1};
  cr_expect_eq(CountWithinQuota({}, {99'000, 9'900, 9}, size, 7), 7U);
  cr_expect_eq(CountWithinQuota({5'000, 0, 0}, {1'500, 0, 0}, size, 7), 3U);
  cr_expect_eq(CountWithinQuota({5'000, 200, 0}, {}, size, 7), 2U);
  cr_expect_eq(CountWithinQuota({5'000, 0, 1}, {0, 0, 1}, size, 7), 0U);
  cr_expect_eq(CountWithinQuota({500, 0, 0}, {}, size, 7), 1U);
  cr_expect_eq(CountWithinQuota({500, 0, 0}, {1, 0, 0}, size, 7), 0U);
  cr_expect_eq(CountWithinQuota({5'000, 0, 0}, {9'000, 0, 0}, size, 7), 0U);
  cr_expect(MayRunTogether({5'000, 0, 0}, size, 5));
  cr_expect_not(MayRunTogether({5'000, 0, 0}, size, 6));
}

// Guards against work that is larger than what tasks which do not end leave of
// the quota, and so is accepted and never started; and against an excess of
// more than one task.
Test(Quota, one_task_may_exceed_it_while_less_than_half_is_in_use) {
  const auto may_start = [](int64_t running, int64_t size, uint32_t count) {
    const Resources quota{40'000, 0, 0};
    return MayStartTogether({quota, quota}, {running, 0, 0}, {size, 0, 0},
                            count);
  };
  cr_expect(may_start(16'000, 26'000, 1));
  cr_expect(may_start(16'000, 90'000, 1));
  cr_expect(may_start(16'000, 8'000, 4));
  cr_expect(may_start(16'000, 10'000, 3));
  cr_expect_not(may_start(16'000, 10'000, 4));
  cr_expect_not(may_start(20'000, 26'000, 1));
  cr_expect(may_start(20'000, 20'000, 1));
  // Not under half: only what fits the part that this work may fill.
  const Resources whole{40'000, 1'000, 2};
  const QuotaLimits limits{{32'000, 800, 2}, whole};
  cr_expect(MayStartTogether(limits, {19'000, 0, 0}, {14'000, 10, 0}, 1));
  cr_expect_not(MayStartTogether(limits, {20'000, 0, 0}, {14'000, 10, 0}, 1));
  cr_expect_not(MayStartTogether(limits, {0, 500, 0}, {14'000, 400, 0}, 1));
  cr_expect(MayStartTogether(limits, {0, 0, 0}, {1'000, 10, 3}, 1));
  cr_expect_not(MayStartTogether(limits, {0, 0, 1}, {1'000, 10, 2}, 1));
}

// Guards against an account with less than half of its quota in use, of which a
// task cannot start, in any dimension, and against starts beside an excess.
Test(Quota, any_task_may_start_while_less_than_half_is_in_use) {
  Random random(53);
  const auto draw = [&](int64_t most) {
    return Resources{UniformInt(random, 0, most), UniformInt(random, 0, most),
                     UniformInt(random, 0, most)};
  };
  for (int i = 0; i < 20'000; ++i) {
    const Resources quota = draw(12);
    const Resources running = draw(12);
    const Resources size = draw(20);
    const bool may_start = MayStartTogether({quota, quota}, running, size, 1);
    if (IsUnderHalf(quota, running)) cr_expect(may_start);
    if (!may_start) continue;
    const Resources excess = ExcessOverQuota(quota, running, {1, 1, 1}, 0);
    cr_expect_not(NeedsAnyOf(size, excess));
  }
}

// Guards against a step that waits for one dimension of the quota and holds
// back tasks that need nothing of it.
Test(Quota, only_the_lacking_dimensions_are_held_back) {
  const Resources excess =
      ExcessOverQuota({5'000, 0, 2}, {4'000, 0, 2}, {500, 100, 1}, 1);
  cr_expect(excess == (Resources{0, 0, 1}));
  cr_expect(NeedsAnyOf({100, 100, 1}, excess));
  cr_expect_not(NeedsAnyOf({100, 100, 0}, excess));
}

// Guards against evidence that counts as younger by the time for which the VM
// was suspended, and against one suspension that counts for later evidence.
Test(SuspendedTime, gaps_between_the_clocks_count) {
  SuspendedTime suspended;
  CheckClocks(suspended, 1'000, 51'000);
  CheckClocks(suspended, 2'000, 52'004);
  cr_expect_eq(SuspendedSince(suspended, 0), 0);
  CheckClocks(suspended, 3'000, 60'000);
  cr_expect_eq(SuspendedSince(suspended, 2'500), 7'000);
  cr_expect_eq(SuspendedSince(suspended, 3'001), 0);
  CheckClocks(suspended, 4'000, 63'000);
  cr_expect_eq(SuspendedSince(suspended, 2'500), 9'000);
  CheckClocks(suspended, 700'000, 800'000);
  cr_expect_eq(SuspendedSince(suspended, 2'500), 41'000);
}

// Guards against an account that gets more than its weight in jobs a second,
// against a burst that takes from its share later, and against a weight below 1
// that never admits a job.
Test(ShareLedger, bucket_fills_at_the_weight) {
  fairness::ShareLedger ledger;
  const auto count = [&](const char* account, double weight, TimeMs now_ms) {
    int within = 0;
    for (int i = 0; i < 50; ++i) {
      if (fairness::TakeShare(ledger, account, weight, now_ms)) ++within;
    }
    return within;
  };
  cr_expect_eq(count("a", 10, 1'000), 10);
  cr_expect_eq(count("a", 10, 1'500), 5);
  cr_expect_eq(count("a", 10, 60'000), 10);
  // An earlier time, as of a stored job, gives nothing twice.
  cr_expect_eq(count("a", 10, 2'000), 0);
  cr_expect_eq(count("b", 0.5, 60'000), 1);
  cr_expect_eq(count("b", 0.5, 61'000), 0);
  cr_expect_eq(count("b", 0.5, 62'000), 1);
  cr_expect_eq(count("none", 0, 60'000), 1);
  cr_expect_eq(count("none", 0, 900'000), 0);
}

}  // namespace dotterelcove::accounts
