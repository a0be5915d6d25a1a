// The list of workers: registration, departure and restart of workers, and the
// fleet rows stored for a successor.
#include <algorithm>
#include <utility>

#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"

namespace dotterelcove::workflow {
namespace {

/// The state of one worker in a commit.
struct FleetRecord {
  bool cordoned = false;
  uint32_t state_changes = 0;
};
using FleetRecords = std::map<std::string, FleetRecord>;

/// Called when the records have been stored at `version`. Records that are
/// older than the current state of their worker are ignored.
void OnFleetRecorded(Controller& c, const FleetRecords& records,
                     uint64_t version) {
  for (const auto& [id, record] : records) {
    Worker* found = FindWorker(c.fleet, id);
    if (found == nullptr) continue;
    Worker& worker = *found;
    if (worker.state_changes != record.state_changes) continue;
    if (!record.cordoned) {
      worker.recorded = true;
    } else if (worker.cordoned_version == 0) {
      worker.cordoned_version = version;
    }
  }
  RequestSchedule(c);
}

/// Stops tasks that cannot end before their worker leaves, if they can be
/// moved.
void Evacuate(Controller& c, Worker& worker) {
  constexpr TimeMs kDefaultRemainingMs = 2'500;
  TimeMs left_ms = worker.info.leaves_in_ms;
  if (left_ms < 0) left_ms = kDefaultRemainingMs;
  std::vector<std::string> names;
  for (const auto& [name, run] : worker.runs) {
    if (run.stop_wanted) continue;
    const StepSpec& spec = SpecOf(run.task);
    const TaskState& task = TaskOf(run.task);
    const TimeMs remaining_ms = spec.estimate_ms * (100 - task.percent) / 100;
    const bool can_end = !spec.long_running && remaining_ms < left_ms;
    if (can_end || run.gang != 0) continue;
    if (!spec.long_running && !spec.checkpoints) continue;
    names.push_back(name);
  }
  for (const std::string& name : names) {
    StopRun(c, worker, name, "worker_leaves");
  }
}

/// Whether an entry that names another incarnation than the present one shows
/// that the worker has restarted. The order of two incarnations is not that of
/// their numbers, since these are times of day and the clock may have been set
/// back.
bool ShowsRestart(const Worker& worker, const WorkerInfo& info) {
  if (info.incarnation == 0) return false;
  if (IsFormerIncarnation(worker, info.incarnation)) return false;
  // The worker itself tells which one it is.
  if (worker.reachable && info.address == worker.info.address) return false;
  if (info.incarnation > worker.info.incarnation) return true;
  const bool any_listed =
      std::any_of(worker.runs.begin(), worker.runs.end(),
                  [](const auto& entry) { return entry.second.listed; });
  return worker.sync_failures > 0 && !any_listed;
}

void ApplyListed(Controller& c, Worker& worker, const WorkerInfo& info) {
  worker.listed = true;
  const bool is_other = worker.info.incarnation != 0 &&
                        info.incarnation != worker.info.incarnation;
  if (is_other && ShowsRestart(worker, info)) {
    OnRestarted(c, worker, info.incarnation, LossEvidence::kWorkerList);
    worker.room_gains++;
    worker.info = info;
    worker.entry_outdated = false;
    worker.entry_read_ms = c.runtime.now();
    ApplyRunTimes(c, worker);
    Sync(c, worker, 0);
    return;
  }
  if (is_other) {
    const bool may_be_next = info.incarnation != 0 && worker.reachable &&
                             !IsFormerIncarnation(worker, info.incarnation);
    if (may_be_next) Sync(c, worker, 0);
    return;
  }
  const bool drains_now = info.draining && !worker.info.draining;
  if (worker.info != info) worker.room_gains++;
  worker.info = info;
  worker.entry_outdated = false;
  worker.entry_read_ms = c.runtime.now();
  ApplyRunTimes(c, worker);
  if (!drains_now) return;
  Log(LogLevel::kInfo, "worker_draining",
      {F("worker", info.id), F("runs", worker.runs.size()),
       F("remaining_ms", info.leaves_in_ms)});
  Evacuate(c, worker);
}

}  // namespace

void RecordFleet(Controller& c) {
  if (!c.fleet_dirty || !c.loaded) return;
  c.fleet_dirty = false;
  std::map<std::string, std::vector<RecordedWorker>> by_row;
  FleetRecords records;
  for (const auto& [key, text] : c.fleet_rows) by_row[key];
  for (const auto& [id, worker] : c.fleet.workers) {
    by_row[FleetKeyOf(id)].push_back({worker.info, worker.cordoned,
                                      worker.cordoned_version,
                                      MayHoldLongestLease(c, worker)});
    records[id] = {worker.cordoned, worker.state_changes};
  }
  std::vector<RowPut> puts;
  for (const auto& [key, workers] : by_row) {
    std::string text = EncodeFleet(workers);
    std::string& written = c.fleet_rows[key];
    if (text == written) continue;
    written = text;
    puts.push_back({kFleetTable, key, std::move(text)});
  }
  c.log->Commit(std::move(puts), {}, Guard(c, [records](Controller& self) {
                  OnFleetRecorded(self, records, self.log->row().version);
                }));
}

void CordonWorker(Controller& c, Worker& worker) {
  if (worker.cordoned) return;
  worker.cordoned = true;
  worker.state_changes++;
  worker.cordoned_version = 0;
  worker.recorded = false;
  c.fleet_dirty = true;
}

void UncordonWorker(Controller& c, Worker& worker) {
  if (!worker.cordoned) return;
  worker.cordoned = false;
  worker.state_changes++;
  worker.cordoned_version = 0;
  c.fleet_dirty = true;
}

void UpdateFleet(Controller& c, const std::vector<WorkerInfo>& list) {
  if (c.stopped) return;
  if (!c.loaded) {
    // The runs on a worker can be matched only once the jobs are known.
    c.early_fleet = list;
    return;
  }
  for (auto& [id, worker] : c.fleet.workers) worker.listed = false;
  for (const WorkerInfo& info : list) {
    if (Worker* known = FindWorker(c.fleet, info.id)) {
      ApplyListed(c, *known, info);
      continue;
    }
    Worker& worker = AddWorker(c.fleet, info.id);
    worker.info = info;
    worker.entry_read_ms = c.runtime.now();
    ApplyRunTimes(c, worker);
    // It may have been known before, with any of the tokens used so far.
    worker.token_increment = ++c.worker_restarts;
    c.fleet_dirty = true;
    Log(LogLevel::kInfo, "worker_listed",
        {F("worker", info.id), F("incarnation", info.incarnation),
         F("epoch", c.epoch), F("token_increment", worker.token_increment),
         F("zone", info.zone), F("rack", info.rack),
         F("cores", info.capacity.milli_cores)});
    Sync(c, worker, 0);
  }
  RequestSchedule(c);
}

}  // namespace dotterelcove::workflow
