#include "workflow/Workflow.h"

#include <algorithm>

namespace dotterelcove::workflow {
namespace {

constexpr size_t kMaxPayloadBytes = 4'000;
constexpr size_t kIdLength = 16;
constexpr size_t kMaxSteps = 64;

bool IsJobId(const std::string& id) {
  return id.size() == kIdLength &&
         id.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

}  // namespace

uint32_t CountTasks(const JobSpec& spec) {
  uint32_t tasks = 0;
  for (const StepSpec& step : spec.steps) {
    tasks += std::min(step.count, kMaxTasksOfAJob + 1 - tasks);
  }
  return tasks;
}

TimeMs CriticalPathMs(const JobSpec& spec) {
  TimeMs longest = 0;
  std::vector<TimeMs> ends;
  for (const StepSpec& step : spec.steps) {
    TimeMs begin = 0;
    for (const uint32_t before : step.after) {
      if (before >= ends.size()) continue;
      begin = std::max(begin, ends[before]);
    }
    TimeMs length = step.estimate_ms;
    if (spec.policy.permits.required) {
      constexpr double kTypicalWorkers = 30;
      length += static_cast<TimeMs>(spec.policy.permits.decision_ms +
                                    kTypicalWorkers *
                                        spec.policy.permits.per_worker_ms);
    }
    ends.push_back(begin + length);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

std::string FindSpecError(const JobSpec& spec) {
  if (!IsJobId(spec.id)) return "the id is not 16 hexadecimal digits";
  if (spec.payload.size() > kMaxPayloadBytes) return "the payload is too long";
  if (spec.steps.empty()) return "there are no steps";
  if (spec.steps.size() > kMaxSteps) return "there are too many steps";
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    if (step.count == 0 || step.count > kMaxTasksOfAJob) {
      return "a step's number of tasks is out of range";
    }
    if (step.size.milli_cores < 0 || step.size.memory_mb < 0 ||
        step.size.accelerators < 0) {
      return "a size is negative";
    }
    for (const uint32_t before : step.after) {
      if (before >= i) return "a step waits for a later one";
    }
  }
  if (CountTasks(spec) > kMaxTasksOfAJob) {
    return "the steps have more than " + std::to_string(kMaxTasksOfAJob) +
           " tasks";
  }
  return {};
}

}  // namespace dotterelcove::workflow
