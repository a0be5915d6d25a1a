// Injects faults, alone and in pairs, into real processes under traffic, and
// checks the stand-ins' journals against the answers that callers got.
#include <criterion/criterion.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "base/Clock.h"
#include "standins/Deployment.h"
#include "standins/Traffic.h"
#include "standins/Verdict.h"

namespace dotterelcove {
namespace {

enum class Fault : uint8_t {
  kNone,
  kKillOwner,
  kKillEntry,
  kFreezeOwnerShort,
  kFreezeOwnerLong,
  kFreezeEntry,
  kCutOwnerStore,
  kCutOwnerStoreAnswers,
  kCutEntryOwner,
  kCutEntryOwnerAnswers,
  kCutStandbyOwner,
  kCutEntryStore,
  kStoreOutage,
  kStoreSlow,
  kStoreLosesAnswers,
  kVmListEmpty,
  kVmListFrozen,
  kWorkerFailsAll,
  kWorkerUnreachable,
  kWorkerLosesAnswers,
  kEndpointLeaving,
  kEndpointLosesAnswers,
};
/// A fault, a second one that begins 300 ms later, and the duration of both,
/// counted from the second.
struct FaultCase {
  Fault first = Fault::kNone;
  Fault second = Fault::kNone;
  TimeMs duration_ms = 3'000;
};

/// An active fault and the process to which it was applied.
struct ActiveFault {
  Fault fault = Fault::kNone;
  std::string process;
};

void StoreFault(Deployment& deployment, const nlohmann::json& fault) {
  deployment.Control("platform", "/control/fault", fault);
}

void VmFault(Deployment& deployment, const char* standin, const char* key,
             const char* vm, const nlohmann::json& fault) {
  nlohmann::json body = fault;
  body[key] = vm;
  deployment.Control(standin, std::string("/control/fault?") + key + "=" + vm,
                     body);
}

std::string StandbyOf(const std::string& owner) {
  return owner == "sched-1" ? "sched-2" : "sched-1";
}

ActiveFault Begin(Deployment& deployment, Fault fault) {
  ActiveFault active{fault, deployment.Owner()};
  if (active.process.empty()) active.process = "sched-1";
  const std::string owner = active.process;
  switch (fault) {
    case Fault::kNone:
      break;
    case Fault::kKillOwner:
      deployment.Kill(owner);
      break;
    case Fault::kKillEntry:
      active.process = "entry-1";
      deployment.Kill("entry-1");
      break;
    case Fault::kFreezeOwnerShort:
    case Fault::kFreezeOwnerLong:
      deployment.Freeze(owner);
      break;
    case Fault::kFreezeEntry:
      active.process = "entry-1";
      deployment.Freeze("entry-1");
      break;
    case Fault::kCutOwnerStore:
      deployment.Cut(owner + ">platform", "both");
      break;
    case Fault::kCutOwnerStoreAnswers:
      deployment.Cut(owner + ">platform", "backward");
      break;
    case Fault::kCutEntryOwner:
      deployment.Cut("entry-1>" + owner, "both");
      break;
    case Fault::kCutEntryOwnerAnswers:
      deployment.Cut("entry-1>" + owner, "backward");
      break;
    case Fault::kCutStandbyOwner:
      deployment.Cut(StandbyOf(owner) + ">" + owner, "both");
      break;
    case Fault::kCutEntryStore:
      deployment.Cut("entry-1>platform", "both");
      break;
    case Fault::kStoreOutage:
      StoreFault(deployment, {{"outage", true}});
      break;
    case Fault::kStoreSlow:
      StoreFault(deployment, {{"delay_ms", 400}});
      break;
    case Fault::kStoreLosesAnswers:
      StoreFault(deployment, {{"lose_answers", 20}});
      break;
    case Fault::kVmListEmpty:
      deployment.Control("platform", "/control/vms",
                         {{"vms", nlohmann::json::array()}});
      break;
    case Fault::kVmListFrozen:
      StoreFault(deployment, {{"vm_list_frozen", true}});
      break;
    case Fault::kWorkerFailsAll:
      VmFault(deployment, "workers", "worker", "w-1", {{"fail_all", true}});
      break;
    case Fault::kWorkerUnreachable:
      VmFault(deployment, "workers", "worker", "w-1", {{"unreachable", true}});
      break;
    case Fault::kWorkerLosesAnswers:
      VmFault(deployment, "workers", "worker", "w-1", {{"lose_answers", 5}});
      VmFault(deployment, "workers", "worker", "w-2", {{"lose_answers", 5}});
      break;
    case Fault::kEndpointLeaving:
      VmFault(deployment, "endpoints", "endpoint", "e-1", {{"leaving", true}});
      break;
    case Fault::kEndpointLosesAnswers:
      VmFault(deployment, "endpoints", "endpoint", "e-1",
              {{"lose_answers", 10}});
      break;
  }
  return active;
}

void End(Deployment& deployment, const ActiveFault& active) {
  switch (active.fault) {
    case Fault::kKillOwner:
    case Fault::kKillEntry:
      deployment.Restart(active.process);
      break;
    case Fault::kFreezeOwnerShort:
    case Fault::kFreezeOwnerLong:
    case Fault::kFreezeEntry:
      deployment.Thaw(active.process);
      break;
    case Fault::kCutOwnerStore:
    case Fault::kCutOwnerStoreAnswers:
    case Fault::kCutEntryOwner:
    case Fault::kCutEntryOwnerAnswers:
    case Fault::kCutStandbyOwner:
    case Fault::kCutEntryStore:
      deployment.Cut("*", "none");
      break;
    case Fault::kStoreOutage:
      StoreFault(deployment, {{"outage", false}});
      break;
    case Fault::kStoreSlow:
      StoreFault(deployment, {{"delay_ms", 0}});
      break;
    case Fault::kStoreLosesAnswers:
      StoreFault(deployment, {{"lose_answers", 0}});
      break;
    case Fault::kVmListEmpty:
      deployment.Control("platform", "/control/vms",
                         {{"vms", deployment.vms()}});
      break;
    case Fault::kVmListFrozen:
      StoreFault(deployment, {{"vm_list_frozen", false}});
      break;
    case Fault::kWorkerFailsAll:
      VmFault(deployment, "workers", "worker", "w-1", {{"fail_all", false}});
      break;
    case Fault::kWorkerUnreachable:
      VmFault(deployment, "workers", "worker", "w-1", {{"unreachable", false}});
      break;
    default:
      break;
  }
}

TrafficOptions MakeMixedTraffic(uint64_t seed) {
  TrafficOptions options;
  options.seed = seed;
  options.kinds = {
      {"check", false, true, 4, 15, 100},
      {"order", false, false, 3, 15, 100},
      {"dispatch", false, true, 4, 60, 100},
      {"crew", true, false, 3, 60, 100},
      {"audit", true, true, 2, 300, 40'000},
      // Long enough to run across the beginning or the end of a fault.
      {"watch", true, true, 1, 2'500, 100},
      {"gang", true, true, 1, 200, 100, 4},
  };
  return options;
}

uint64_t SeedFromEnvironment() {
  const char* text = std::getenv("DOTTERELCOVE_SEED");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : 20261204;
}

void RunCase(const char* name, const FaultCase& fault_case) {
  const uint64_t seed = SeedFromEnvironment();
  std::fprintf(stderr, "case %s seed %lu\n", name,
               static_cast<unsigned long>(seed));
  DeploymentOptions options;
  options.timing = {{"worker_lease_ms", 3'000},
                    {"max_routed_deadline_ms", 3'000}};
  Deployment deployment(options);
  cr_assert(deployment.Start(), "%s: deployment did not start", name);
  Traffic traffic(deployment, MakeMixedTraffic(seed));
  traffic.Start();
  const auto wait = [&](TimeMs ms) {
    deployment.loop().RunUntil([] { return false; }, ms);
  };
  wait(1'500);
  const ActiveFault first = Begin(deployment, fault_case.first);
  wait(300);
  const ActiveFault second = Begin(deployment, fault_case.second);
  wait(fault_case.duration_ms);
  End(deployment, first);
  End(deployment, second);
  wait(2'000);
  traffic.StopSending();
  deployment.loop().RunUntil([&] { return traffic.open() == 0; }, 45'000);

  VerdictInput input;
  input.worker_journal = deployment.WorkerJournal();
  input.endpoint_journal = deployment.EndpointJournal();
  input.vms = deployment.vms();
  input.sent = traffic.sent();
  const auto violations = FindViolations(input);
  for (const std::string& violation : violations) {
    std::fprintf(stderr, "%s: %s\n", name, violation.c_str());
  }
  const auto counts = CountOutcomes(input.sent);
  std::string summary;
  for (const auto& [outcome, count] : counts) {
    summary += " " + outcome + " " + std::to_string(count);
  }
  std::fprintf(stderr, "case %s:%s\n", name, summary.c_str());
  cr_expect(violations.empty(), "%s: %zu violations", name, violations.size());
}

}  // namespace

// Guard against a task that runs in two places at once, a false "not run", a
// non-idempotent request that runs twice, an exceeded limit, and a lost or
// wrong answer. Each case is a test of its own, so that it can be selected or
// skipped by name.
#define FAULT_CASE(name, ...) \
  Test(Faults, name, .timeout = 120) { RunCase(#name, FaultCase{__VA_ARGS__}); }

FAULT_CASE(none, Fault::kNone)
FAULT_CASE(kill_owner, Fault::kKillOwner)
FAULT_CASE(kill_entry, Fault::kKillEntry)
FAULT_CASE(freeze_owner_short, Fault::kFreezeOwnerShort, Fault::kNone, 500)
FAULT_CASE(freeze_owner_long, Fault::kFreezeOwnerLong)
FAULT_CASE(freeze_entry, Fault::kFreezeEntry)
FAULT_CASE(cut_owner_store, Fault::kCutOwnerStore)
FAULT_CASE(cut_owner_store_answers, Fault::kCutOwnerStoreAnswers)
FAULT_CASE(cut_entry_owner, Fault::kCutEntryOwner)
FAULT_CASE(cut_entry_owner_answers, Fault::kCutEntryOwnerAnswers)
FAULT_CASE(cut_standby_owner, Fault::kCutStandbyOwner)
FAULT_CASE(cut_entry_store, Fault::kCutEntryStore)
FAULT_CASE(store_outage, Fault::kStoreOutage)
FAULT_CASE(store_slow, Fault::kStoreSlow)
FAULT_CASE(store_loses_answers, Fault::kStoreLosesAnswers)
FAULT_CASE(vm_list_empty, Fault::kVmListEmpty)
FAULT_CASE(vm_list_frozen, Fault::kVmListFrozen)
FAULT_CASE(worker_fails_all, Fault::kWorkerFailsAll)
FAULT_CASE(worker_unreachable, Fault::kWorkerUnreachable, Fault::kNone, 5'000)
FAULT_CASE(worker_loses_answers, Fault::kWorkerLosesAnswers)
FAULT_CASE(endpoint_leaving, Fault::kEndpointLeaving)
FAULT_CASE(endpoint_loses_answers, Fault::kEndpointLosesAnswers)
FAULT_CASE(kill_owner_and_kill_entry, Fault::kKillOwner, Fault::kKillEntry)
FAULT_CASE(kill_owner_and_store_slow, Fault::kKillOwner, Fault::kStoreSlow)
FAULT_CASE(kill_owner_and_store_outage, Fault::kKillOwner, Fault::kStoreOutage)
FAULT_CASE(store_outage_and_kill_owner, Fault::kStoreOutage, Fault::kKillOwner)
FAULT_CASE(kill_owner_and_store_loses_answers, Fault::kKillOwner,
           Fault::kStoreLosesAnswers)
FAULT_CASE(kill_owner_and_worker_unreachable, Fault::kKillOwner,
           Fault::kWorkerUnreachable, 5'000)
FAULT_CASE(kill_owner_and_worker_loses_answers, Fault::kKillOwner,
           Fault::kWorkerLosesAnswers)
FAULT_CASE(kill_owner_and_endpoint_loses_answers, Fault::kKillOwner,
           Fault::kEndpointLosesAnswers)
FAULT_CASE(freeze_owner_long_and_store_loses_answers, Fault::kFreezeOwnerLong,
           Fault::kStoreLosesAnswers)
FAULT_CASE(freeze_owner_long_and_cut_entry_owner, Fault::kFreezeOwnerLong,
           Fault::kCutEntryOwner)
FAULT_CASE(cut_owner_store_and_worker_loses_answers, Fault::kCutOwnerStore,
           Fault::kWorkerLosesAnswers)
FAULT_CASE(cut_owner_store_and_vm_list_empty, Fault::kCutOwnerStore,
           Fault::kVmListEmpty)
FAULT_CASE(kill_entry_and_endpoint_loses_answers, Fault::kKillEntry,
           Fault::kEndpointLosesAnswers)
FAULT_CASE(store_slow_and_kill_owner, Fault::kStoreSlow, Fault::kKillOwner)
FAULT_CASE(store_slow_and_kill_entry, Fault::kStoreSlow, Fault::kKillEntry)
FAULT_CASE(worker_unreachable_and_store_outage, Fault::kWorkerUnreachable,
           Fault::kStoreOutage, 5'000)

}  // namespace dotterelcove
