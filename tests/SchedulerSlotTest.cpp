/// Endpoint slots: the protocol between entry daemons and the owner, see
/// docs/design.md 5.1, tested through the scheduler daemon.
#include <criterion/criterion.h>

#include "base/Clock.h"
#include "base/Hash.h"
#include "tests/SchedulerHarness.h"

namespace dotterelcove::tests {
namespace {

HarnessOptions MakeOptions(int endpoints, int64_t slots) {
  HarnessOptions options;
  options.workers = 1;
  for (int i = 0; i < endpoints; ++i) {
    Vm vm;
    vm.id = "e-" + std::to_string(i);
    vm.role = VmRole::kEndpoint;
    vm.address = "http://127.0.0.1:9/e/" + vm.id;
    vm.service = "stepline";
    vm.slots = slots;
    vm.connections = 64;
    options.endpoints.push_back(vm);
  }
  return options;
}

struct RequestOptions {
  bool idempotent = true;
  int64_t deadline_ms = 700;
  RequestClass request_class = RequestClass::kUrgent;
  std::string digest = "d";
};

std::string Request(FakeEntry& entry, uint64_t call, const std::string& key,
                    const RequestOptions& options = {}) {
  wire::SlotRequestT request;
  request.call = call;
  request.caller = "caller-1";
  request.key = key;
  request.job = MakeJobId(request.caller, key);
  request.body_digest = options.digest;
  request.service = "stepline";
  request.kind = "dispatch";
  request.request_class = static_cast<uint8_t>(options.request_class);
  request.idempotent = options.idempotent;
  request.deadline_ms = options.deadline_ms;
  const std::string id = request.job;
  entry.SendToOwner(MakeFrame(std::move(request)));
  return id;
}

void Release(FakeEntry& entry, const wire::SlotGrantT& grant,
             wire::SlotResult result = wire::SlotResult::Done,
             bool final = true) {
  wire::SlotReleaseT release;
  release.grant = grant.grant;
  release.epoch = grant.epoch;
  release.job = grant.job;
  release.endpoint = grant.endpoint;
  release.result = result;
  release.final = final;
  release.outcome = static_cast<uint8_t>(Outcome::kDone);
  release.body = {'r'};
  entry.SendToOwner(MakeFrame(std::move(release)));
}

bool WaitForGrants(SchedulerHarness& cell, const FakeEntry& entry,
                   size_t count) {
  return cell.RunUntil([&] { return entry.grants.size() >= count; }, 3'000);
}

}  // namespace

// Guards against more requests on an endpoint than it has slots, and against a
// lower class that gets a free slot before a higher one.
Test(SchedulerSlot, grants_within_slots_and_by_class, .timeout = 60) {
  SchedulerHarness cell(MakeOptions(2, 2));
  cr_assert(cell.WaitForOwner());
  const auto entry = cell.MakeEntry("entry-1");
  for (uint64_t call = 1; call <= 4; ++call) {
    Request(*entry, call, "key-" + std::to_string(call));
  }
  cr_assert(WaitForGrants(cell, *entry, 4));
  std::map<std::string, int> used;
  for (const auto& grant : entry->grants) used[grant.endpoint]++;
  cr_expect_eq(used["e-0"], 2);
  cr_expect_eq(used["e-1"], 2);
  RequestOptions batch;
  batch.request_class = RequestClass::kBatch;
  Request(*entry, 5, "batch", batch);
  const std::string urgent = Request(*entry, 6, "urgent");
  cell.RunFor(50);
  cr_expect_eq(entry->grants.size(), 4);
  Release(*entry, entry->grants[0]);
  cr_assert(WaitForGrants(cell, *entry, 5));
  cr_expect_eq(entry->grants[4].job, urgent);
  // The batch request gets no slot and is refused at its deadline.
  cr_assert(cell.RunUntil([&] { return !entry->refusals.empty(); }, 3'000));
  cr_expect_eq(entry->refusals[0].reason, wire::SlotRefusalReason::Overload);
}

// Guards against running one key twice through two entry daemons.
Test(SchedulerSlot, same_key_is_granted_once, .timeout = 60) {
  HarnessOptions options = MakeOptions(1, 4);
  options.entries = {"entry-1", "entry-2"};
  SchedulerHarness cell(options);
  cr_assert(cell.WaitForOwner());
  const auto first = cell.MakeEntry("entry-1");
  const auto second = cell.MakeEntry("entry-2");
  const std::string id = Request(*first, 1, "key");
  cr_assert(WaitForGrants(cell, *first, 1));
  Request(*second, 1, "key");
  RequestOptions other;
  other.digest = "other";
  Request(*second, 2, "key", other);
  cr_assert(cell.RunUntil([&] { return second->refusals.size() == 2; }));
  cr_expect_eq(second->refusals[0].reason, wire::SlotRefusalReason::Duplicate);
  cr_expect_eq(second->refusals[1].reason, wire::SlotRefusalReason::Conflict);
  Release(*first, first->grants[0]);
  cr_assert(cell.RunUntil([&] { return second->outcomes.contains(id); }));
  cr_expect_eq(second->outcomes[id].body.size(), 1);
  Request(*second, 3, "key");
  cr_assert(cell.RunUntil([&] { return second->refusals.size() == 3; }));
  cr_expect_eq(second->refusals[2].reason, wire::SlotRefusalReason::Ended);
  cr_expect_eq(second->refusals[2].body.size(), 1);
}

// Guards against grants for an endpoint after any indication that it leaves.
Test(SchedulerSlot, leaving_endpoint_gets_nothing, .timeout = 60) {
  struct Row {
    const char* name;
    wire::SlotResult result;
    bool by_list;
  };
  const Row rows[] = {
      {"own notice", wire::SlotResult::Leaving, false},
      {"refusal", wire::SlotResult::RefusedByEndpoint, false},
      {"failed connect", wire::SlotResult::NotSent, false},
      {"platform's list", wire::SlotResult::Done, true},
  };
  for (const Row& row : rows) {
    SchedulerHarness cell(MakeOptions(2, 4));
    cr_assert(cell.WaitForOwner());
    const auto entry = cell.MakeEntry("entry-1");
    Request(*entry, 1, "first");
    cr_assert(WaitForGrants(cell, *entry, 1));
    const std::string leaving = entry->grants[0].endpoint;
    if (row.by_list) {
      std::vector<Vm> vms = MakeOptions(2, 4).endpoints;
      for (Vm& vm : vms) {
        if (vm.id == leaving) vm.state = VmState::kLeaving;
      }
      cell.platform->SetVms(vms);
      cr_assert(cell.RunUntil([&] {
        const auto& table =
            cell.Owner()->daemon->scheduler().term()->slots()->endpoints();
        return table.IsLeaving(table.endpoints().at(leaving), MonotonicMs());
      }));
    } else {
      Release(*entry, entry->grants[0], row.result);
    }
    for (uint64_t call = 2; call <= 4; ++call) {
      Request(*entry, call, "key-" + std::to_string(call));
    }
    cr_assert(WaitForGrants(cell, *entry, 4));
    for (size_t i = 1; i < entry->grants.size(); ++i) {
      cr_expect_neq(entry->grants[i].endpoint, leaving, "%s", row.name);
    }
  }
}

// Guards against granting a slot that a grant of the earlier owner still
// occupies.
Test(SchedulerSlot, new_owner_waits_for_reports, .timeout = 60) {
  HarnessOptions options = MakeOptions(1, 1);
  options.entries = {"entry-1", "entry-2"};
  SchedulerHarness cell(options);
  cr_assert(cell.WaitForOwner());
  const auto holder = cell.MakeEntry("entry-1");
  const auto other = cell.MakeEntry("entry-2");
  const std::string id = Request(*holder, 1, "held");
  cr_assert(WaitForGrants(cell, *holder, 1));
  wire::HeldSlotT slot;
  slot.grant = holder->grants[0].grant;
  slot.epoch = holder->grants[0].epoch;
  slot.job = id;
  slot.caller = "caller-1";
  slot.key = "held";
  slot.endpoint = "e-0";
  slot.time_left_ms = 5'000;
  slot.idempotent = true;
  holder->held.push_back(slot);
  const std::string before = other->owner_process();
  cell.Kill(*cell.Owner());
  cr_assert(cell.RunUntil([&] {
    return other->has_owner() && holder->has_owner() &&
           other->owner_process() != before;
  }));
  RequestOptions long_deadline;
  long_deadline.deadline_ms = 5'000;
  Request(*other, 1, "next", long_deadline);
  cell.RunFor(1'000);
  cr_expect_eq(other->grants.size(), 0);
  Release(*holder, holder->grants[0]);
  cr_expect(WaitForGrants(cell, *other, 1));
}

// Guards against waiting forever for an entry daemon that never connects, and
// against granting slots before any grant that it may hold must have ended.
Test(SchedulerSlot, missing_entry_delays_grants_until_its_deadline,
     .timeout = 60) {
  HarnessOptions options = MakeOptions(1, 1);
  options.entries = {"entry-1", "entry-gone"};
  SchedulerHarness cell(options);
  cr_assert(cell.WaitForOwner());
  const TimeMs serving = MonotonicMs();
  const auto entry = cell.MakeEntry("entry-1");
  RequestOptions long_deadline;
  long_deadline.deadline_ms = 5'000;
  Request(*entry, 1, "key", long_deadline);
  cr_assert(WaitForGrants(cell, *entry, 1));
  const int64_t limit = cell.nodes[0]->settings.timing.max_routed_deadline_ms;
  cr_expect_geq(MonotonicMs() - serving, limit - 50);
  // From this row the next owner knows that the daemon holds no grant.
  cr_assert(cell.RunUntil([&] {
    const auto& daemons =
        cell.Owner()->daemon->scheduler().term()->slots()->entries().daemons();
    return daemons.at("entry-gone").has_down_row;
  }));
  Release(*entry, entry->grants[0]);
  cell.Kill(*cell.Owner());
  cr_assert(cell.RunUntil(
      [&] { return cell.Owner() != nullptr && entry->has_owner(); }));
  const TimeMs again = MonotonicMs();
  Request(*entry, 2, "key-2", long_deadline);
  cr_assert(WaitForGrants(cell, *entry, 2));
  cr_expect_lt(MonotonicMs() - again, limit / 2);
}

// Guards against sending a non-idempotent request before its intent is
// recorded, and against reporting it as "not run" or running it again when the
// entry daemon that had the slot is lost.
Test(SchedulerSlot, lost_non_idempotent_request_is_unknown, .timeout = 60) {
  HarnessOptions options = MakeOptions(1, 4);
  options.entries = {"entry-1", "entry-2"};
  SchedulerHarness cell(options);
  cr_assert(cell.WaitForOwner());
  auto first = cell.MakeEntry("entry-1");
  const auto second = cell.MakeEntry("entry-2");
  RequestOptions non_idempotent;
  non_idempotent.idempotent = false;
  cell.platform->faults().outage = true;
  Request(*first, 1, "store-down", non_idempotent);
  cr_assert(cell.RunUntil([&] { return !first->refusals.empty(); }));
  cr_expect_eq(first->refusals[0].reason, wire::SlotRefusalReason::Unavailable);
  cell.platform->faults().outage = false;
  // The owner notices that the store is up again at its next successful call.
  cr_assert(cell.RunUntil([&] {
    if (first->grants.empty()) Request(*first, 2, "key", non_idempotent);
    cell.RunFor(50);
    return !first->grants.empty();
  }));
  const std::string id = first->grants[0].job;
  first.reset();
  Request(*second, 1, "key", non_idempotent);
  cr_assert(cell.RunUntil([&] { return second->outcomes.contains(id); }));
  cr_expect_eq(static_cast<Outcome>(second->outcomes[id].outcome),
               Outcome::kUnknown);
  cr_expect_eq(second->grants.size(), 0);
}

}  // namespace dotterelcove::tests
