/// TWICE, BUDGET, ORDER and UNASKED: which runs workers were told to begin.
/// ACKNOWLEDGED: which of their ends they were told to forget.
/// The soak hands in no step with `speculative` and no job with `times`.
#include <algorithm>
#include <set>

#include "tests/platform/soak/JudgeCase.h"

namespace dotterelcove::soak {
namespace {

/// "Over a second after [...] the job was shown as `completed`" (TWICE).
constexpr int64_t kAfterCompletedMs = 1'000;

void Report(JudgeCase& judged, Rule rule, const RunEvent& start,
            const std::string& text) {
  judged.found.push_back(
      {start.at_ms, rule, start.task, Describe(start) + " " + text});
}

/// When a client was first told that the job is completed.
int64_t CompletedAt(const JudgeCase& judged, const std::string& job) {
  const auto calls = judged.calls.find(job);
  if (calls == judged.calls.end()) return kNever;
  for (const ClientCall* call : calls->second) {
    if (call->state == "completed") return call->ended_ms;
  }
  return kNever;
}

void CheckTwice(JudgeCase& judged, const std::string& name,
                const TaskHistory& task) {
  const std::vector<TaskEnd> done = DoneEndsOf(judged, name);
  const int64_t completed_ms =
      CompletedAt(judged, name.substr(0, name.find('.')));
  for (size_t i = 0; i < task.runs.size(); ++i) {
    const RunEvent& start = task.runs[i].start;
    const auto other = std::find_if(
        task.runs.begin(), task.runs.begin() + static_cast<ptrdiff_t>(i),
        [&](const TaskRun& run) { return run.end_ms > start.at_ms; });
    if (other != task.runs.begin() + static_cast<ptrdiff_t>(i)) {
      Report(judged, Rule::kTwice, start,
             "began beside " + Describe(other->start) + " of " +
                 std::to_string(start.at_ms - other->start.at_ms) +
                 " ms before");
      continue;
    }
    const auto end =
        std::find_if(done.begin(), done.end(), [&](const TaskEnd& candidate) {
          return candidate.at_ms < start.at_ms && candidate.noted_ms != kNever;
        });
    if (end != done.end()) {
      Report(judged, Rule::kTwice, start,
             "began " + std::to_string(start.at_ms - end->at_ms) +
                 " ms after run " + std::to_string(end->run) + " on " +
                 end->place + " was done");
      continue;
    }
    // The sender of an order is not known, so all daemons have to be in touch.
    const bool is_after = completed_ms != kNever &&
                          start.at_ms > completed_ms + kAfterCompletedMs;
    if (!is_after || start.is_late) continue;
    if (!IsInTouch(judged, "", start.at_ms, start.at_ms)) continue;
    Report(judged, Rule::kTwice, start,
           "began after the job was shown as completed");
  }
}

void CheckBudget(JudgeCase& judged, const StepSpec& step, uint32_t attempts,
                 const TaskHistory& task) {
  if (step.long_running) return;
  for (const TaskRun& run : task.runs) {
    std::set<uint32_t> failed;
    for (const TaskEnd& end : task.failed) {
      if (end.at_ms >= run.start.at_ms || end.noted_ms == kNever) continue;
      failed.insert(end.run);
    }
    if (failed.size() < attempts) continue;
    Report(judged, Rule::kBudget, run.start,
           "began after " + std::to_string(failed.size()) + " runs had failed");
  }
}

/// A task of the step that had not ended `done` by then; empty for none.
std::string FindUndone(const JudgeCase& judged, const TaskParts& step,
                       uint32_t count, int64_t by_ms) {
  TaskParts parts = step;
  for (parts.index = 0; parts.index < count; ++parts.index) {
    const std::string name = StepPrefix(parts) + std::to_string(parts.index);
    const std::vector<TaskEnd> done = DoneEndsOf(judged, name);
    const bool is_done =
        std::any_of(done.begin(), done.end(),
                    [&](const TaskEnd& end) { return end.at_ms <= by_ms; });
    if (!is_done) return name;
  }
  return {};
}

void CheckOrder(JudgeCase& judged, const TaskParts& parts, const StepSpec& step,
                const TaskHistory& task) {
  const std::vector<StepSpec>& steps = judged.seen.jobs.at(parts.job).steps;
  for (const TaskRun& run : task.runs) {
    for (const uint32_t before : step.after) {
      const TaskParts earlier{parts.job, parts.occurrence, before, 0};
      const std::string undone =
          FindUndone(judged, earlier, steps.at(before).count, run.start.at_ms);
      if (undone.empty()) continue;
      Report(judged, Rule::kOrder, run.start,
             "began before " + undone + " was done");
      break;
    }
  }
}

/// When the cancelling of a job was acknowledged. An answer of 410 counts once
/// all daemons have to know the job.
int64_t CancelAcknowledgedAt(const JudgeCase& judged, const std::string& job) {
  const auto calls = judged.calls.find(job);
  if (calls == judged.calls.end()) return kNever;
  constexpr int kGone = 410;
  const int64_t accepted_ms = AcceptedAt(judged, job);
  for (const ClientCall* call : calls->second) {
    if (call->method != ClientMethod::kCancel) continue;
    if (IsSuccess(call->status)) return call->ended_ms;
    if (call->status != kGone || accepted_ms == kNever) continue;
    if (call->sent_ms > accepted_ms + judged.bounds.visible_ms) {
      return call->ended_ms;
    }
  }
  return kNever;
}

void CheckCancelled(JudgeCase& judged, const std::string& job,
                    const TaskHistory& task) {
  const int64_t acknowledged_ms = CancelAcknowledgedAt(judged, job);
  if (acknowledged_ms == kNever) return;
  const JudgeBounds& bounds = judged.bounds;
  const int64_t last_start_ms = acknowledged_ms + bounds.cancel_ms;
  for (const TaskRun& run : task.runs) {
    const RunEvent& start = run.start;
    if (start.at_ms > last_start_ms && !start.is_late &&
        IsInTouch(judged, "", start.at_ms, start.at_ms)) {
      Report(judged, Rule::kUnasked, start,
             "began " + std::to_string(start.at_ms - acknowledged_ms) +
                 " ms after the job's cancelling was acknowledged");
      continue;
    }
    int64_t stopped_ms = last_start_ms + bounds.stop_timeout_ms;
    if (start.is_late) {
      stopped_ms = std::max(stopped_ms, start.at_ms + bounds.stable_window_ms);
    }
    if (start.at_ms > stopped_ms || run.end_ms <= stopped_ms) continue;
    if (stopped_ms > judged.seen.asked_ms) continue;
    const int64_t near_ms = acknowledged_ms - bounds.stable_window_ms;
    if (!IsCalm(judged, near_ms, stopped_ms)) continue;
    Report(judged, Rule::kUnasked, start,
           "ran on after the job's cancelling was acknowledged");
  }
}

void CheckAcknowledged(JudgeCase& judged) {
  for (const RunEvent& event : judged.seen.runs) {
    if (event.kind != RunEventKind::kAcknowledgedUnseen) continue;
    Report(judged, Rule::kAcknowledged, event,
           "had its end acknowledged, which no answer of this life had listed");
  }
}

}  // namespace

void CheckRuns(JudgeCase& judged) {
  CheckAcknowledged(judged);
  for (const auto& [name, task] : judged.tasks) {
    CheckTwice(judged, name, task);
    const auto parts = ParseTask(name);
    const StepSpec* step = parts ? FindStep(judged, *parts) : nullptr;
    if (step == nullptr) {
      for (const TaskRun& run : task.runs) {
        Report(judged, Rule::kUnasked, run.start,
               "began, and no client handed that task in");
      }
      continue;
    }
    const JobSpec& job = judged.seen.jobs.at(parts->job);
    for (const TaskRun& run : task.runs) {
      if (run.start.spec == job.spec) continue;
      Report(judged, Rule::kUnasked, run.start,
             "began with the spec \"" + run.start.spec + "\"");
    }
    CheckBudget(judged, *step, job.attempts, task);
    CheckOrder(judged, *parts, *step, task);
    CheckCancelled(judged, parts->job, task);
  }
}

}  // namespace dotterelcove::soak
