// Sends the pace of each filler to its worker.
#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"
#include "workflow/Pacing.h"

namespace dotterelcove::workflow {
namespace {

/// Minimum interval between evaluations: reported figures cover the last half
/// second, so reports closer together are redundant.
constexpr TimeMs kPaceIntervalMs = 400;

void SendPace(Controller& c, Worker& worker, const PaceChange& change) {
  PlacedRun& run = worker.runs.at(change.task);
  Log(LogLevel::kInfo, "filler_paced",
      {F("task", change.task), F("run", run.run), F("worker", worker.info.id),
       F("from", run.pace_percent), F("to", change.percent),
       F("tail_ratio", WorstTailRatio(worker)),
       F("report_age_ms", c.runtime.now() - worker.clock_read_ms)});
  run.pace_percent = change.percent;
  run.pace_in_flight = true;
  const std::string id = worker.info.id;
  const uint64_t token = TokenFor(c, worker);
  c.port.pace(AddressOf(worker), {change.task, run.run, change.percent, token},
              Guard(c, [id, task = change.task, number = run.run, token](
                           Controller& self, const OrderAnswer& answer) {
                if (answer.status == OrderStatus::kFenced) {
                  OnTokenRejected(self, id, token);
                  return;
                }
                Worker* found = FindWorker(self.fleet, id);
                if (found == nullptr) return;
                const auto paced = (*found).runs.find(task);
                if (paced == (*found).runs.end()) return;
                if (paced->second.run != number) return;
                paced->second.pace_in_flight = false;
                // A pace whose order was not answered is sent again after the
                // next evaluation.
                paced->second.pace_known = answer.status == OrderStatus::kOk;
              }));
}

}  // namespace

void PaceFillers(Controller& c, Worker& worker) {
  if (worker.filler_milli_cores == 0) return;
  const TimeMs now_ms = c.runtime.now();
  const TimeMs elapsed_ms = now_ms - worker.paces_evaluated_ms;
  if (elapsed_ms < kPaceIntervalMs) return;
  worker.paces_evaluated_ms = now_ms;
  for (const PaceChange& change : PlanPaces(worker, elapsed_ms)) {
    SendPace(c, worker, change);
  }
}

}  // namespace dotterelcove::workflow
