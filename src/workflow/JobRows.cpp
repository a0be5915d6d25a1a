#include "workflow/JobRows.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/Hash.h"
#include "telemetry/Log.h"

namespace dotterelcove::workflow {
namespace {

using Json = nlohmann::json;

/// Writes a member unless its value equals `absent`, the default on reading.
template <class T>
void PutUnless(Json& json, const char* name, const T& value, const T& absent) {
  if (value != absent) json[name] = value;
}

template <class T>
T Get(const Json& json, const char* name, T fallback) {
  const auto found = json.find(name);
  return found == json.end() ? fallback : found->template get<T>();
}

Json StepToJson(const StepSpec& step) {
  const StepSpec plain;
  Json json = Json::object();
  json["count"] = step.count;
  json["cores"] = step.size.milli_cores;
  json["memory"] = step.size.memory_mb;
  PutUnless(json, "accelerators", step.size.accelerators, int64_t{0});
  PutUnless(json, "estimate", step.estimate_ms, plain.estimate_ms);
  if (!step.after.empty()) json["after"] = step.after;
  PutUnless(json, "checkpoints", step.checkpoints, false);
  PutUnless(json, "gang", step.gang, false);
  PutUnless(json, "same_rack", step.same_rack, false);
  PutUnless(json, "speculative", step.speculative, false);
  PutUnless(json, "long_running", step.long_running, false);
  PutUnless(json, "filler", step.filler, false);
  PutUnless(json, "label", step.required_label, std::string());
  PutUnless(json, "rack", step.data_rack, std::string());
  PutUnless(json, "spread", step.max_per_worker, 0U);
  PutUnless(json, "image", step.image, std::string());
  PutUnless(json, "tail_target", step.tail_target_ms, plain.tail_target_ms);
  PutUnless(json, "allowance", step.disruption_allowance, 0U);
  return json;
}

StepSpec StepFromJson(const Json& json) {
  StepSpec step;
  step.count = Get(json, "count", 1U);
  step.size.milli_cores = Get(json, "cores", int64_t{0});
  step.size.memory_mb = Get(json, "memory", int64_t{0});
  step.size.accelerators = Get(json, "accelerators", int64_t{0});
  step.estimate_ms = Get(json, "estimate", TimeMs{0});
  step.after = Get(json, "after", std::vector<uint32_t>());
  step.checkpoints = Get(json, "checkpoints", false);
  step.gang = Get(json, "gang", false);
  step.same_rack = Get(json, "same_rack", false);
  step.speculative = Get(json, "speculative", false);
  step.long_running = Get(json, "long_running", false);
  step.filler = Get(json, "filler", false);
  step.required_label = Get(json, "label", std::string());
  step.data_rack = Get(json, "rack", std::string());
  step.max_per_worker = Get(json, "spread", 0U);
  step.image = Get(json, "image", std::string());
  step.tail_target_ms = Get(json, "tail_target", TimeMs{0});
  step.disruption_allowance = Get(json, "allowance", 0U);
  return step;
}

Json PolicyToJson(const QueuePolicy& policy) {
  Json json{{"priority", policy.priority},
            {"attempts", policy.attempts},
            {"stretch", policy.stretch},
            {"target", policy.target_ms}};
  if (policy.permits.required) {
    json["permits"] = {policy.permits.decision_ms, policy.permits.per_worker_ms,
                       policy.permits.validity_ms};
  }
  return json;
}

QueuePolicy PolicyFromJson(const Json& json) {
  QueuePolicy policy;
  policy.priority = Get(json, "priority", 0);
  policy.attempts = Get(json, "attempts", 1U);
  policy.stretch = Get(json, "stretch", 1.0);
  policy.target_ms = Get(json, "target", TimeMs{0});
  const auto permits = json.find("permits");
  if (permits != json.end()) {
    policy.permits.required = true;
    policy.permits.decision_ms = permits->at(0).get<double>();
    policy.permits.per_worker_ms = permits->at(1).get<double>();
    policy.permits.validity_ms = permits->at(2).get<TimeMs>();
  }
  return policy;
}

JobSpec SpecFromJson(const Json& json) {
  JobSpec spec;
  spec.id = json.at("id").get<std::string>();
  spec.queue = Get(json, "queue", std::string());
  spec.account = Get(json, "account", std::string());
  const auto quota = json.find("account_quota");
  if (quota != json.end()) {
    spec.account_quota = {quota->at(0).get<int64_t>(),
                          quota->at(1).get<int64_t>(),
                          quota->at(2).get<int64_t>()};
  }
  spec.payload = Get(json, "payload", std::string());
  for (const Json& step : json.at("steps")) {
    spec.steps.push_back(StepFromJson(step));
  }
  spec.occurrences = Get(json, "occurrences", 0U);
  spec.first_start_wall_ms = Get(json, "first_start", int64_t{0});
  spec.interval_ms = Get(json, "interval", int64_t{0});
  spec.policy = PolicyFromJson(json.at("policy"));
  spec.policy.service = Get(json, "service", std::string());
  spec.policy_version = Get(json, "policy_version", uint64_t{0});
  spec.accepted_wall_ms = Get(json, "accepted", int64_t{0});
  return spec;
}

Json CrashesToJson(const TaskCrashes& crashes) {
  Json json = Json::object();
  for (const auto& [run, crash] : crashes) {
    json[std::to_string(run)] = NameOf(kCrashPhaseNames, crash.phase);
  }
  return json;
}

/// Beside the phases, so that daemons of older versions read those.
Json CrashWeightsToJson(const TaskCrashes& crashes) {
  Json json = Json::object();
  for (const auto& [run, crash] : crashes) {
    json[std::to_string(run)] = crash.weight;
  }
  return json;
}

/// Crashes without a weight were stored by a daemon of an older version.
TaskCrashes CrashesFromJson(const Json& phases, const Json& weights) {
  TaskCrashes crashes;
  for (const auto& [run, name] : phases.items()) {
    Crash crash;
    crash.phase = ValueOf(kCrashPhaseNames, name.get<std::string>())
                      .value_or(CrashPhase::kUnconfirmed);
    const int full = FullWeight(crash.phase);
    crash.weight = std::clamp(Get(weights, run.c_str(), full), 0, full);
    crashes[static_cast<uint32_t>(std::stoul(run))] = crash;
  }
  return crashes;
}

/// What a progress row tells of the tasks that are not done. Each level
/// includes those before it.
enum class ProgressDetail : uint8_t {
  /// What limits their further starts.
  kFailures,
  /// The runs that have ended. Without them, a successor relies on run numbers
  /// that rise from owner to owner.
  kEndedRuns,
  /// Without them, runs begin at the start of their work.
  kCheckpoints,
};
constexpr ProgressDetail kProgressDetails[] = {ProgressDetail::kCheckpoints,
                                               ProgressDetail::kEndedRuns,
                                               ProgressDetail::kFailures};

bool IsStored(const TaskState& task, ProgressDetail detail) {
  if (!task.failed_runs.empty() || !task.crashes.empty()) return true;
  if (detail == ProgressDetail::kFailures) return false;
  if (task.ended_run > 0) return true;
  return detail == ProgressDetail::kCheckpoints && !task.checkpoint.empty();
}

Json StepProgressToJson(const StepState& step, ProgressDetail detail) {
  std::string done;
  Json others = Json::object();
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    const TaskState& task = step.tasks[i];
    done += task.phase == TaskPhase::kDone ? '1' : '0';
    if (task.phase == TaskPhase::kDone) continue;
    if (!IsStored(task, detail)) continue;
    const bool has_checkpoint = detail == ProgressDetail::kCheckpoints;
    // Only ended runs are stored: the next owner adopts those that still run.
    others[std::to_string(i)] = {
        task.ended_run, task.failed_runs,
        has_checkpoint ? task.checkpoint : std::string(),
        CrashesToJson(task.crashes), CrashWeightsToJson(task.crashes)};
  }
  return {done, others};
}

void ApplyStepProgress(const Json& json, StepState& step) {
  const std::string done = json.at(0).get<std::string>();
  step.done = 0;
  for (size_t i = 0; i < step.tasks.size() && i < done.size(); ++i) {
    if (done[i] != '1') continue;
    SetPhase(step, step.tasks[i], TaskPhase::kDone);
    step.done++;
  }
  for (const auto& [key, value] : json.at(1).items()) {
    const size_t index = std::stoul(key);
    if (index >= step.tasks.size()) continue;
    TaskState& task = step.tasks[index];
    task.ended_run = value.at(0).get<uint32_t>();
    task.run = task.ended_run;
    task.failed_runs = value.at(1).get<std::set<uint32_t>>();
    task.checkpoint = value.at(2).get<std::string>();
    // Rows of older versions end here.
    if (value.size() <= 3) continue;
    const Json weights = value.size() > 4 ? value.at(4) : Json::object();
    task.crashes = CrashesFromJson(value.at(3), weights);
  }
}

}  // namespace

std::string EncodeJob(const JobSpec& spec) {
  Json json{{"id", spec.id},
            {"queue", spec.queue},
            {"service", spec.policy.service},
            {"payload", spec.payload},
            {"policy", PolicyToJson(spec.policy)},
            {"accepted", spec.accepted_wall_ms}};
  PutUnless(json, "policy_version", spec.policy_version, uint64_t{0});
  PutUnless(json, "account", spec.account, std::string());
  if (spec.account_quota != Resources()) {
    json["account_quota"] = {spec.account_quota.milli_cores,
                             spec.account_quota.memory_mb,
                             spec.account_quota.accelerators};
  }
  for (const StepSpec& step : spec.steps) {
    json["steps"].push_back(StepToJson(step));
  }
  PutUnless(json, "occurrences", spec.occurrences, 0U);
  PutUnless(json, "first_start", spec.first_start_wall_ms, int64_t{0});
  PutUnless(json, "interval", spec.interval_ms, int64_t{0});
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string EncodeJobEnd(const JobEnd& end) {
  return Json{{"ended", NameOf(kJobPhaseNames, end.phase)},
              {"at", end.ended_wall_ms}}
      .dump();
}

DecodedJob DecodeJob(const std::string& text) {
  DecodedJob decoded;
  try {
    const Json json = Json::parse(text);
    const auto ended = json.find("ended");
    if (ended != json.end()) {
      const auto phase = ValueOf(kJobPhaseNames, ended->get<std::string>());
      if (phase) decoded.ended = JobEnd{*phase, Get(json, "at", int64_t{0})};
      return decoded;
    }
    decoded.open = SpecFromJson(json);
  } catch (const Json::exception&) {
    decoded = {};
  }
  return decoded;
}

std::optional<JobEnd> DecodeEnd(const std::string& text) {
  // Most progress rows are of open jobs; a text search avoids parsing them.
  if (text.find("\"ended\"") == std::string::npos) return std::nullopt;
  return DecodeJob(text).ended;
}

bool HasStarted(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  return json.is_object() && Get(json, "started", false);
}

namespace {

/// The occurrences that are open, and the last one that was added. Those before
/// it that are not listed are complete. Daemons of older versions, which expect
/// all of them, begin none of them again, but do not count them either: they
/// leave it to the next owner to complete the job.
Json OccurrencesToJson(const Job& job, ProgressDetail detail) {
  Json json = Json::object();
  if (job.next_occurrence > 0) {
    json[std::to_string(job.next_occurrence - 1)] = Json::array();
  }
  for (const auto& [number, occurrence] : job.occurrences) {
    if (occurrence.complete) continue;
    Json steps = Json::array();
    for (const StepState& step : occurrence.steps) {
      steps.push_back(StepProgressToJson(step, detail));
    }
    json[std::to_string(number)] = std::move(steps);
  }
  return json;
}

Occurrence OccurrenceFromJson(const Json& json, const JobSpec& spec) {
  Occurrence occurrence = MakeOccurrence(spec);
  for (size_t i = 0; i < occurrence.steps.size() && i < json.size(); ++i) {
    ApplyStepProgress(json.at(i), occurrence.steps[i]);
  }
  return occurrence;
}

}  // namespace

std::string EncodeProgress(const Job& job, size_t max_bytes) {
  std::string text;
  for (const ProgressDetail detail : kProgressDetails) {
    Json json{{"occurrences", OccurrencesToJson(job, detail)}};
    if (job.started) json["started"] = true;
    if (job.has_moved) {
      json["route"] = {job.spec.policy.service, job.spec.policy_version};
    }
    text = json.dump();
    if (text.size() <= max_bytes) break;
  }
  return text;
}

bool ApplyProgress(const std::string& text, Job& job) {
  try {
    const Json json = Json::parse(text);
    job.started = Get(json, "started", false);
    const auto route = json.find("route");
    if (route != json.end()) {
      job.has_moved = true;
      job.spec.policy.service = route->at(0).get<std::string>();
      job.spec.policy_version = route->at(1).get<uint64_t>();
    }
    std::map<uint32_t, Occurrence> open;
    uint32_t next = 0;
    for (const auto& [key, steps] : json.at("occurrences").items()) {
      const auto number = static_cast<uint32_t>(std::stoul(key));
      next = std::max(next, number + 1);
      if (steps.empty()) continue;
      open[number] = OccurrenceFromJson(steps, job.spec);
    }
    if (next == 0) return true;
    job.occurrences_done = next - static_cast<uint32_t>(open.size());
    job.occurrences = std::move(open);
    job.next_occurrence = next;
  } catch (const std::exception&) {
    return false;
  }
  return true;
}

std::string FleetKeyOf(const std::string& worker) {
  return "workers." + std::to_string(Hash64(worker) % kFleetRows);
}

std::string EncodeFleet(const std::vector<RecordedWorker>& workers) {
  Json json = Json::array();
  for (const RecordedWorker& worker : workers) {
    const WorkerInfo& info = worker.info;
    Json entry{info.id,          info.address,    info.service,
               info.incarnation, worker.cordoned, worker.cordoned_version};
    if (worker.restarted_lately) entry.push_back(true);
    json.push_back(std::move(entry));
  }
  return json.dump();
}

namespace {

/// Returns false for an entry without a readable id.
bool DecodeFleetEntry(const Json& entry, RecordedWorker& worker) {
  if (!entry.is_array() || entry.empty() || !entry[0].is_string()) return false;
  worker.info.id = entry[0].get<std::string>();
  try {
    RecordedWorker whole = worker;
    whole.info.address = entry.at(1).get<std::string>();
    whole.info.service = entry.at(2).get<std::string>();
    whole.info.incarnation = entry.at(3).get<uint64_t>();
    whole.cordoned = entry.at(4).get<bool>();
    whole.cordoned_version = entry.at(5).get<uint64_t>();
    // Earlier versions have written no such field.
    if (entry.size() > 6) whole.restarted_lately = entry[6].get<bool>();
    worker = std::move(whole);
  } catch (const Json::exception& error) {
    Log(LogLevel::kError, "fleet_entry_damaged",
        {F("worker", worker.info.id), F("error", error.what())});
  }
  return true;
}

}  // namespace

DecodedFleet DecodeFleet(const std::string& text) {
  DecodedFleet fleet;
  const Json row = Json::parse(text, nullptr, false);
  if (!row.is_array()) {
    fleet.unnamed = 1;
    return fleet;
  }
  for (const Json& entry : row) {
    RecordedWorker worker;
    if (DecodeFleetEntry(entry, worker)) {
      fleet.workers.push_back(std::move(worker));
    } else {
      fleet.unnamed++;
    }
  }
  return fleet;
}

}  // namespace dotterelcove::workflow
