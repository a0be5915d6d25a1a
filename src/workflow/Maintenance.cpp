#include "workflow/Maintenance.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterelcove::workflow {
namespace {

using Json = nlohmann::json;

/// The stored form of a target: its id and incarnation.
using StoredTarget = std::pair<std::string, uint64_t>;

constexpr TimeMs kMaxDrainMs = 4'000;

/// Processors of the tasks without checkpoints, which would have to start over.
int64_t WorkAtRisk(const Worker& worker) {
  int64_t milli_cores = 0;
  for (const auto& [name, run] : worker.runs) {
    const StepSpec& spec = SpecOf(run.task);
    if (!spec.checkpoints) milli_cores += spec.size.milli_cores;
  }
  return milli_cores;
}

bool IsUnderWay(VmPhase phase) {
  return phase == VmPhase::kDraining || phase == VmPhase::kOrdered ||
         phase == VmPhase::kDown;
}

}  // namespace

std::string EncodeWaveRecord(const WaveRecord& record) {
  std::map<std::string, StoredTarget> targets;
  for (const auto& [vm, target] : record.targets) {
    targets[vm] = {target.id, target.incarnation};
  }
  return Json{{"ordered", record.ordered},
              {"targets", targets},
              {"done", record.done},
              {"completed", record.completed}}
      .dump();
}

std::optional<WaveRecord> DecodeWaveRecord(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    WaveRecord record;
    record.ordered = json.at("ordered").get<std::set<std::string>>();
    const auto targets =
        json.value("targets", std::map<std::string, StoredTarget>());
    for (const auto& [vm, target] : targets) {
      record.targets[vm] = {target.first, target.second};
    }
    record.done = json.value("done", std::set<std::string>());
    record.completed = json.at("completed").get<bool>();
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

WaveState MakeWaveState(const MaintenanceWave& wave, const WaveRecord& record,
                        TimeMs now_ms) {
  WaveState state;
  state.wave = wave;
  state.completed = record.completed;
  for (const std::string& vm : wave.vms) {
    WaveVm& added = state.vms[vm];
    added.since_ms = now_ms;
    if (record.ordered.contains(vm)) added.phase = VmPhase::kOrdered;
    if (record.done.contains(vm)) added.phase = VmPhase::kDone;
    const auto target = record.targets.find(vm);
    if (target != record.targets.end()) added.target = target->second;
  }
  return state;
}

TimeMs DrainLimitMs(const MaintenanceWave& wave, TimeMs maintenance_ms) {
  const auto cap = std::max<size_t>(wave.cap, 1);
  const auto rounds = static_cast<TimeMs>((wave.vms.size() + cap - 1) / cap);
  if (rounds == 0) return 0;
  // A quarter of each round is reserved for orders, commits and late answers.
  const TimeMs round_ms = wave.duration_ms / rounds * 3 / 4;
  return std::clamp<TimeMs>(round_ms - maintenance_ms, 0, kMaxDrainMs);
}

std::optional<std::string> ChooseNextVm(const WaveState& state,
                                        const VmList& vms, const Fleet& fleet) {
  uint32_t under_way = 0;
  for (const auto& [name, vm] : state.vms) {
    if (IsUnderWay(vm.phase)) ++under_way;
  }
  if (under_way >= std::max(state.wave.cap, 1U)) return std::nullopt;
  std::optional<std::string> best;
  int64_t best_risk = std::numeric_limits<int64_t>::max();
  for (const auto& [name, vm] : state.vms) {
    if (vm.phase != VmPhase::kWaiting) continue;
    const auto listed = vms.find(name);
    if (listed == vms.end() || listed->second.state != VmState::kUp) continue;
    const Worker* worker = FindWorker(fleet, listed->second.worker);
    const int64_t risk = worker == nullptr ? 0 : WorkAtRisk(*worker);
    if (risk >= best_risk) continue;
    best = name;
    best_risk = risk;
  }
  return best;
}

bool IsOver(const WaveState& state) {
  return std::all_of(state.vms.begin(), state.vms.end(), [](const auto& entry) {
    return entry.second.phase == VmPhase::kDone ||
           entry.second.phase == VmPhase::kGone;
  });
}

}  // namespace dotterelcove::workflow
