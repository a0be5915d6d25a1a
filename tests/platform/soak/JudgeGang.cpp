/// GANG: runs that ended `alone` because the other members did not come.
#include <algorithm>
#include <set>

#include "tests/platform/soak/JudgeCase.h"

namespace dotterelcove::soak {
namespace {

/// When the run began that ended by the event; kNever if it is not known.
int64_t StartOf(const JudgeCase& judged, const RunEvent& end) {
  const auto task = judged.tasks.find(end.task);
  if (task == judged.tasks.end()) return kNever;
  for (const TaskRun& run : task->second.runs) {
    const bool is_it =
        run.start.run == end.run && PlaceOf(run.start) == PlaceOf(end);
    if (is_it) return run.start.at_ms;
  }
  return kNever;
}

/// Maintenance ends runs, and the rule does not count it among what may be
/// near.
bool HadMaintenance(const JudgeCase& judged, int64_t from_ms, int64_t to_ms) {
  return std::any_of(judged.seen.vm_orders.begin(), judged.seen.vm_orders.end(),
                     [&](const VmOrder& order) {
                       return order.at_ms >= from_ms && order.at_ms <= to_ms;
                     });
}

}  // namespace

void CheckGangs(JudgeCase& judged) {
  std::set<std::string> reported;
  for (const RunEvent& event : judged.seen.runs) {
    if (event.kind != RunEventKind::kAlone) continue;
    const auto parts = ParseTask(event.task);
    if (!parts || CancelledAt(judged, parts->job) <= event.at_ms) continue;
    const int64_t began_ms = StartOf(judged, event);
    if (began_ms == kNever) continue;
    const int64_t near_ms = began_ms - judged.bounds.stable_window_ms;
    if (!IsCalm(judged, near_ms, event.at_ms)) continue;
    if (HadMaintenance(judged, near_ms, event.at_ms)) continue;
    const std::string gang_run =
        StepPrefix(*parts) + " " + std::to_string(event.run);
    if (!reported.insert(gang_run).second) continue;
    judged.found.push_back({event.at_ms, Rule::kGang, event.task,
                            "run " + std::to_string(event.run) + " on " +
                                PlaceOf(event) + " ended alone " +
                                std::to_string(event.at_ms - began_ms) +
                                " ms after its start"});
  }
}

}  // namespace dotterelcove::soak
