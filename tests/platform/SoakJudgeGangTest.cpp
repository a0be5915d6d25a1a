// The judge of the soak, rule GANG: records that break it, and near misses that
// do not. Guards against a soak that passes gangs of which only some members
// are started.
#include "tests/platform/SoakJudgeRecord.h"

namespace dotterelcove::soak {
namespace {

/// A gang of two of which one is started and ends `alone`.
Observations MakeAloneRecord() {
  Observations seen = MakeRecord();
  seen.jobs["j1"].steps[0].count = 2;
  seen.jobs["j1"].steps[0].gang = true;
  seen.calls.push_back(Cancelled(20'000, 200));
  return With(seen, Event(10'000, RunEventKind::kStart, 1),
              Event(13'000, RunEventKind::kAlone, 1));
}

}  // namespace

Test(SoakJudge, gang_finds_a_run_that_ended_alone) {
  ExpectOnly(MakeAloneRecord(), Rule::kGang);
}

// Both members of one run may wait for a third: one case.
Test(SoakJudge, gang_reports_a_run_of_a_gang_once) {
  ExpectOnly(With(MakeAloneRecord(),
                  Event(10'100, RunEventKind::kStart, 1, "w2", "j1.0.0.1"),
                  Event(13'100, RunEventKind::kAlone, 1, "w2", "j1.0.0.1")),
             Rule::kGang);
}

// "Before its job is cancelled."
Test(SoakJudge, gang_allows_an_end_after_the_cancelling) {
  Observations seen = MakeAloneRecord();
  seen.calls.back() = Cancelled(12'000, 200);
  ExpectNone(seen);
}

// "No impairment near."
Test(SoakJudge, gang_allows_an_end_near_a_disruption) {
  Observations seen = MakeAloneRecord();
  seen.disruptions = {Disrupted(6'000, 7'100, "", DisruptionScope::kWorkers)};
  ExpectNone(seen);
  seen.disruptions = {Disrupted(5'000, 6'900, "", DisruptionScope::kWorkers)};
  ExpectOnly(seen, Rule::kGang);
  seen.disruptions = {Disrupted(13'100, 14'000, "d1")};
  ExpectOnly(seen, Rule::kGang);
}

// What may be near does not name the maintenance of VMs.
Test(SoakJudge, gang_allows_an_end_near_maintenance) {
  Observations seen = MakeAloneRecord();
  seen.vm_orders = {{11'000, "vm1", "d1", 7}};
  ExpectNone(seen);
  seen.vm_orders = {{13'100, "vm1", "d1", 7}};
  ExpectOnly(seen, Rule::kGang);
}

}  // namespace dotterelcove::soak
