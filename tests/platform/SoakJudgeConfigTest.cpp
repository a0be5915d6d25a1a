// The judge of the soak, rules CONFIG and ONE: for each rule a record that
// breaks it, and near misses that do not. Guards against a soak that passes
// because its judge is blind, and against findings that the users' rules allow.
#include <string>

#include "tests/platform/SoakJudgeRecord.h"

namespace dotterelcove::soak {

// ONE.

Test(SoakJudge, one_finds_two_holders_with_one_token) {
  Observations seen = MakeRecord();
  seen.calls.clear();
  seen.vm_orders = {{1'000, "vm1", "d1", 7}, {9'000, "vm1", "d2", 7}};
  ExpectOnly(seen, Rule::kOne);
  seen.vm_orders[1].token = 8;
  ExpectNone(seen);
  seen.vm_orders[1] = {9'000, "vm2", "d2", 7};
  ExpectNone(seen);
}

Test(SoakJudge, one_finds_holders_in_touch_that_take_turns) {
  Observations seen = MakeRecord();
  seen.calls.clear();
  seen.vm_orders = {{10'000, "vm1", "d1", 7}, {12'900, "vm1", "d2", 8}};
  ExpectOnly(seen, Rule::kOne);
  seen.disruptions = {Disrupted(10'100, 14'000, "d1")};
  ExpectNone(seen);
  seen.disruptions.clear();
  seen.vm_orders[1].at_ms = 13'000;
  ExpectNone(seen);
}

Test(SoakJudge, one_finds_an_accepted_order_with_a_lower_token) {
  Observations seen = MakeRecord();
  seen.calls.clear();
  seen.vm_orders = {{10'000, "vm1", "d1", 8}, {20'000, "vm1", "d2", 7}};
  ExpectOnly(seen, Rule::kOne);
}

// CONFIG.

/// Version 2 adds the queue "new" at 10,000 ms, version 3 drops it at 30,000.
Observations MakeManifestRecord() {
  Observations seen = MakeRecord();
  seen.calls.clear();
  seen.manifests = {{0, 1, {kQueue}, 0},
                    {10'000, 2, {kQueue, "new"}, 9'950},
                    {30'000, 3, {kQueue}, 29'950}};
  return seen;
}

Test(SoakJudge, config_finds_a_queue_that_is_not_known_in_time) {
  Observations seen = MakeManifestRecord();
  seen.calls = {Probed(12'001, 404, "new")};
  ExpectOnly(seen, Rule::kConfig);
  // "Later than `config_apply_ms` after the confirmation."
  seen.calls = {Probed(12'000, 404, "new"), Probed(12'100, 200, "new")};
  ExpectNone(seen);
}

Test(SoakJudge, config_finds_a_dropped_queue_that_is_served) {
  Observations seen = MakeManifestRecord();
  seen.calls = {Probed(32'001, 200, "new")};
  ExpectOnly(seen, Rule::kConfig);
  seen.calls = {Probed(31'900, 200, "new"), Probed(32'500, 404, "new")};
  ExpectNone(seen);
}

// A daemon may know a manifest before its confirmation has arrived.
Test(SoakJudge, config_allows_the_effect_of_a_manifest_under_way) {
  Observations seen = MakeManifestRecord();
  seen.calls = {Probed(9'960, 200, "new"), Probed(29'960, 404, "new")};
  ExpectNone(seen);
  // Nobody can have known it yet.
  seen.calls = {Probed(9'900, 200, "new")};
  ExpectOnly(seen, Rule::kConfig);
}

// Only answers that depend on the manifest are judged.
Test(SoakJudge, config_allows_refusals_and_failures) {
  Observations seen = MakeManifestRecord();
  for (const int status : {0, 429, 500, 502, 503, 504}) {
    seen.calls.push_back(Probed(20'000, status, "new"));
  }
  ExpectNone(seen);
}

// "By machines in touch."
Test(SoakJudge, config_allows_old_answers_by_a_daemon_not_in_touch) {
  Observations seen = MakeManifestRecord();
  seen.calls = {Probed(15'000, 404, "new")};
  seen.disruptions = {Disrupted(11'000, 12'100, "d1")};
  ExpectNone(seen);
  seen.disruptions = {Disrupted(11'000, 12'100, "")};
  ExpectNone(seen);
  seen.disruptions = {Disrupted(11'000, 11'900, "d1")};
  ExpectOnly(seen, Rule::kConfig);
  seen.disruptions = {Disrupted(11'000, 12'100, "d2")};
  ExpectOnly(seen, Rule::kConfig);
  seen.disruptions = {Disrupted(11'000, 12'100, "", DisruptionScope::kWorkers)};
  ExpectOnly(seen, Rule::kConfig);
}

// "An unstable core stretches the bound of manifest by `max_skew_ms` at most."
Test(SoakJudge, config_stretches_the_bound_while_the_store_refuses_others) {
  Observations seen = MakeManifestRecord();
  seen.disruptions = {
      Disrupted(9'000, 25'000, "", DisruptionScope::kStorePartly)};
  seen.calls = {Probed(17'000, 404, "new")};
  ExpectNone(seen);
  seen.calls = {Probed(17'001, 404, "new")};
  ExpectOnly(seen, Rule::kConfig);
}

// A refused daemon that is otherwise in touch has no more time than the others,
// however long the refusals last. One that is not in touch is excused.
Test(SoakJudge, config_finds_a_refused_daemon_after_the_stretched_bound) {
  Observations seen = MakeManifestRecord();
  seen.disruptions = {
      Disrupted(9'000, 25'000, "", DisruptionScope::kStorePartly)};
  seen.calls = {Probed(24'000, 404, "new")};
  ExpectOnly(seen, Rule::kConfig);
  seen.disruptions.push_back(Disrupted(20'000, 22'000, "d1"));
  ExpectNone(seen);
  seen.disruptions.back().daemon = "d2";
  ExpectOnly(seen, Rule::kConfig);
}

// "As long as the store has not been down or slow and has lost no answers all
// the while."
Test(SoakJudge, config_stretches_no_bound_for_a_store_that_was_down) {
  Observations seen = MakeManifestRecord();
  seen.disruptions = {
      Disrupted(9'000, 25'000, "", DisruptionScope::kStorePartly),
      Disrupted(11'000, 12'000, "", DisruptionScope::kStore)};
  seen.calls = {Probed(24'000, 404, "new")};
  ExpectNone(seen);
  // Before the confirmation, and once the core is stable again.
  seen.disruptions[1] = Disrupted(8'000, 9'900, "", DisruptionScope::kStore);
  ExpectOnly(seen, Rule::kConfig);
  seen.disruptions = {Disrupted(11'000, 12'000, "", DisruptionScope::kStore)};
  seen.calls = {Probed(14'900, 404, "new")};
  ExpectNone(seen);
  seen.calls = {Probed(15'100, 404, "new")};
  ExpectOnly(seen, Rule::kConfig);
}

// "The two spans don't add up": a daemon that was in touch between a store that
// was down and a later refusal had its time, so the refusal excuses nothing.
Test(SoakJudge, config_keeps_a_version_due_through_a_later_refusal) {
  Observations seen = MakeManifestRecord();
  const Disruption down =
      Disrupted(11'000, 12'000, "", DisruptionScope::kStore);
  seen.disruptions = {
      down, Disrupted(22'000, 29'000, "", DisruptionScope::kStorePartly)};
  seen.calls = {Probed(24'000, 404, "new")};
  ExpectOnly(seen, Rule::kConfig);
  // No moment in touch: the refusal begins before the core is stable again.
  seen.disruptions[1].from_ms = 14'900;
  ExpectNone(seen);
  // In touch until the store is refused, 2,050 ms after the confirmation.
  seen.disruptions = {
      Disrupted(12'050, 20'000, "", DisruptionScope::kStorePartly)};
  seen.calls = {Probed(13'000, 404, "new")};
  ExpectOnly(seen, Rule::kConfig);
  seen.disruptions[0].from_ms = 11'950;
  ExpectNone(seen);
}

// A store that is down after the stretched bound was over takes nothing back
// from the same process. A new one is judged by the current instability alone.
Test(SoakJudge, config_keeps_a_version_due_for_the_same_process) {
  Observations seen = MakeManifestRecord();
  seen.disruptions = {
      Disrupted(9'000, 29'000, "", DisruptionScope::kStorePartly),
      Disrupted(18'000, 19'000, "", DisruptionScope::kStore)};
  seen.calls = {Probed(24'000, 404, "new")};
  ExpectOnly(seen, Rule::kConfig);
  seen.disruptions[1].from_ms = 16'900;
  ExpectNone(seen);
  seen.disruptions[1].from_ms = 18'000;
  seen.daemon_starts = {{1'000, "d1"}, {18'500, "d1"}};
  ExpectNone(seen);
  // Down and stable again before the refusal: sound all the while.
  seen.disruptions = {
      Disrupted(11'000, 12'000, "", DisruptionScope::kStore),
      Disrupted(17'000, 29'000, "", DisruptionScope::kStorePartly)};
  ExpectOnly(seen, Rule::kConfig);
}

Test(SoakJudge, config_finds_a_daemon_that_regresses) {
  Observations seen = MakeManifestRecord();
  // Within config_apply_ms of version 2, so only the regression is wrong.
  seen.calls = {Probed(10'500, 200, "new"), Probed(10'761, 404, "new")};
  ExpectOnly(seen, Rule::kConfig);
  // "More than `downgrade_slack_ms` after a runner saw the effect."
  seen.calls[1] = Probed(10'760, 404, "new");
  ExpectNone(seen);
  seen.calls[1] = Probed(10'900, 404, "new", "d2");
  ExpectNone(seen);
}

// The queue was dropped: 404 after success shows the newer version.
Test(SoakJudge, config_finds_a_dropped_queue_that_comes_back) {
  Observations seen = MakeManifestRecord();
  seen.calls = {Probed(20'000, 200, "new"), Probed(30'500, 404, "new"),
                Probed(31'000, 200, "new")};
  ExpectOnly(seen, Rule::kConfig);
}

// "In one boot of its processes", and "eight times that on a slowed machine".
Test(SoakJudge, config_allows_older_answers_of_a_new_process) {
  Observations seen = MakeManifestRecord();
  seen.calls = {Probed(10'100, 200, "new"), Probed(11'500, 404, "new")};
  ExpectOnly(seen, Rule::kConfig);
  seen.daemon_starts = {{1'000, "d1"}, {10'500, "d1"}};
  ExpectNone(seen);
  seen.daemon_starts.clear();
  seen.disruptions = {Disrupted(10'200, 10'400, "d1")};
  ExpectNone(seen);
  seen.calls[1] = Probed(12'111, 404, "new");
  ExpectOnly(seen, Rule::kConfig);
}

}  // namespace dotterelcove::soak
