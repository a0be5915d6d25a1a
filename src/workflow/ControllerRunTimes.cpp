// What the owner learns of run times: from which runs, where it is stored, and
// how it reaches the jobs and workers that decisions look at.
//
// The row is read beside the other tables, and a takeover does not wait for it:
// until it has arrived, the stated run times are used.
#include <algorithm>
#include <utility>

#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"
#include "workflow/Ordering.h"

namespace dotterelcove::workflow {
namespace {

constexpr const char* kRowKey = "run_times";
/// A refit costs some tens of microseconds, and what it changes reaches every
/// open job.
constexpr TimeMs kFitIntervalMs = 2'000;
constexpr TimeMs kStoreIntervalMs = 10'000;
constexpr TimeMs kReadRetryMs = 500;

/// The label of a worker that is not its rack; empty if it has none.
std::string KindOf(const WorkerInfo& info) {
  for (const std::string& label : info.labels) {
    if (label != info.rack) return label;
  }
  return {};
}

estimates::RunKey KeyOf(const JobSpec& spec, uint32_t step, std::string kind) {
  return {spec.queue, spec.steps[step].image, std::move(kind)};
}

void OnRunTimesRead(Controller& c, const StoreAnswer& answer) {
  LearntRunTimes& learnt = c.run_times;
  learnt.is_read = true;
  if (answer.rows.empty()) return;
  const StoreRow& row = answer.rows.front();
  const auto stored = estimates::DecodeRunTimes(row.value);
  if (!stored) {
    Log(LogLevel::kError, "run_times_unreadable",
        {F("version", row.version), F("bytes", row.value.size())});
    return;
  }
  estimates::Merge(learnt.samples, *stored);
  learnt.is_fit_due = true;
  learnt.next_fit_ms = 0;
}

void Refit(Controller& c) {
  LearntRunTimes& learnt = c.run_times;
  learnt.is_fit_due = false;
  learnt.next_fit_ms = c.runtime.now() + kFitIntervalMs;
  estimates::RunTimeFit fit =
      estimates::FitRunTimes(learnt.samples, c.runtime.wall_ms());
  if (estimates::AreClose(fit, learnt.fit)) return;
  learnt.fit = std::move(fit);
  for (auto& [id, worker] : c.fleet.workers) ApplyRunTimes(c, worker);
  for (auto& [id, job] : c.jobs.jobs) ApplyRunTimes(c, *job);
}

void Store(Controller& c) {
  LearntRunTimes& learnt = c.run_times;
  learnt.is_store_due = false;
  learnt.next_store_ms = c.runtime.now() + kStoreIntervalMs;
  std::string text =
      estimates::EncodeRunTimes(learnt.samples, c.runtime.wall_ms());
  const size_t bytes = text.size();
  const size_t keys = learnt.samples.by_key.size();
  c.log->Commit(
      {{kEstimatesTable, kRowKey, std::move(text)}}, {},
      Guard(c, [bytes, keys](Controller& self) {
        Log(LogLevel::kInfo, "run_times_stored",
            {F("epoch", self.epoch), F("bytes", bytes), F("keys", keys),
             F("kinds", self.run_times.fit.kinds.size())});
      }));
}

/// Whether the run tells how long its task takes on its worker. It does not if
/// its beginning is not known, or if it was not all of the task's work at full
/// speed.
bool IsSample(const PlacedRun& run) {
  const StepSpec& spec = SpecOf(run.task);
  if (run.is_adopted || run.start_in_doubt || run.crash) return false;
  if (run.is_resumed || spec.long_running || spec.filler) return false;
  // The first member that ends counts for its gang, as does the first run of a
  // task that is done.
  return TaskOf(run.task).phase != TaskPhase::kDone;
}

}  // namespace

void ReadRunTimes(Controller& c) {
  if (!c.options.learns_run_times) return;
  c.store.read_one(kEstimatesTable, kRowKey,
                   Guard(c, [](Controller& self, const StoreAnswer& answer) {
                     if (answer.status == StoreStatus::kOk) {
                       OnRunTimesRead(self, answer);
                       return;
                     }
                     self.runtime.after(kReadRetryMs,
                                        Guard(self, [](Controller& later) {
                                          ReadRunTimes(later);
                                        }));
                   }));
}

void RecordRunTime(Controller& c, const Worker& worker, const PlacedRun& run) {
  if (!c.options.learns_run_times || !IsSample(run)) return;
  const TimeMs stated_ms = SpecOf(run.task).estimate_ms;
  if (stated_ms <= 0) return;
  const TimeMs actual_ms = c.runtime.now() - run.placed_ms;
  const estimates::RunKey key =
      KeyOf(run.task.job->spec, run.task.step, KindOf(worker.info));
  if (c.observe_run_time) {
    const TimeMs expected_ms =
        estimates::Expect(c.run_times.fit, key, stated_ms).median_ms;
    const auto actual = static_cast<double>(actual_ms);
    c.observe_run_time("stated", actual / static_cast<double>(stated_ms));
    c.observe_run_time(
        "expected",
        actual / static_cast<double>(std::max<TimeMs>(expected_ms, 1)));
  }
  estimates::Record(c.run_times.samples, key, stated_ms, actual_ms,
                    c.runtime.wall_ms());
  c.run_times.is_fit_due = true;
  c.run_times.is_store_due = true;
}

void UpdateRunTimes(Controller& c) {
  LearntRunTimes& learnt = c.run_times;
  if (!c.loaded) return;
  const TimeMs now_ms = c.runtime.now();
  if (learnt.is_fit_due && now_ms >= learnt.next_fit_ms) Refit(c);
  const bool may_store = learnt.is_read && learnt.is_store_due;
  if (may_store && now_ms >= learnt.next_store_ms) Store(c);
}

void ApplyRunTimes(const Controller& c, Job& job) {
  const estimates::RunTimeFit& fit = c.run_times.fit;
  std::vector<TimeMs> expected_ms = StatedMs(job.spec);
  for (uint32_t i = 0; i < job.spec.steps.size(); ++i) {
    if (job.spec.steps[i].long_running) continue;
    expected_ms[i] =
        estimates::Expect(fit, KeyOf(job.spec, i, {}), expected_ms[i])
            .median_ms;
  }
  SetExpectedMs(job, std::move(expected_ms));
}

void ApplyRunTimes(const Controller& c, Worker& worker) {
  const estimates::RunTimeFit& fit = c.run_times.fit;
  const double factor =
      fit.kinds.empty() ? 1 : estimates::KindFactor(fit, KindOf(worker.info));
  // The slowness is relative to the run time that was expected. Without this,
  // workers of a slow kind would count as degraded after it became known.
  WorkerHealth& health = worker.health;
  if (health.samples > 0) health.slowness *= worker.kind_factor / factor;
  worker.kind_factor = factor;
}

TimeMs LongestRunMs(const Controller& c, const Worker& worker,
                    const TaskRef& task) {
  // Longer than a run on a healthy worker takes, given the run time to expect.
  constexpr double kExpectedFactor = 1.35;
  // Where run times scatter, nine in ten runs end within the high estimate. A
  // higher bound would only delay the discovery of a lost report.
  constexpr double kMostFactor = 3;
  constexpr TimeMs kSlackMs = 100;
  const StepSpec& spec = SpecOf(task);
  if (spec.long_running || spec.estimate_ms <= 0) return 0;
  const estimates::Expectation expected = estimates::Expect(
      c.run_times.fit, KeyOf(task.job->spec, task.step, KindOf(worker.info)),
      spec.estimate_ms);
  const auto median_ms = static_cast<double>(expected.median_ms);
  const double longest_ms =
      std::clamp(static_cast<double>(expected.high_ms),
                 kExpectedFactor * median_ms, kMostFactor * median_ms);
  return kSlackMs + static_cast<TimeMs>(longest_ms);
}

}  // namespace dotterelcove::workflow
