/// ROUTE, and LIMIT as to the capacity of a worker, of which only processor
/// cores are counted: whether a worker may run the tasks that it began. A start
/// is judged by the life that carried it out and by what ran on it, as the
/// worker itself has seen it, not by what a daemon knew.
#include <algorithm>

#include "tests/platform/soak/JudgeCase.h"

namespace dotterelcove::soak {
namespace {

/// A run that has not ended, on the life that began it.
struct OpenRun {
  RunEvent start;
  bool is_stopping = false;
};

/// The tasks of one step that run on one life, by name. A later run of a task
/// replaces an earlier one there, which is for TWICE to judge.
using OpenRuns = std::map<std::string, OpenRun>;

const WorkerLife* FindLife(const JudgeCase& judged, const RunEvent& start) {
  for (const WorkerLife& life : judged.seen.lives) {
    if (PlaceOf(life) == PlaceOf(start)) return &life;
  }
  return nullptr;
}

/// The life of the same id before this one; nullptr if there was none.
const WorkerLife* FindLifeBefore(const JudgeCase& judged,
                                 const WorkerLife& life) {
  const WorkerLife* before = nullptr;
  for (const WorkerLife& other : judged.seen.lives) {
    if (other.worker != life.worker || other.from_ms >= life.from_ms) continue;
    if (before == nullptr || other.from_ms > before->from_ms) before = &other;
  }
  return before;
}

std::string DescribeLife(const JudgeCase& judged, const WorkerLife& life,
                         const RunEvent& start) {
  std::string text = "a worker of service \"" + life.service +
                     "\" and kind \"" + life.kind + "\" for " +
                     std::to_string(start.at_ms - life.from_ms) + " ms";
  const WorkerLife* before = FindLifeBefore(judged, life);
  if (before == nullptr) return text + ", the first life of this id";
  return text + ", before of kind \"" + before->kind + "\" until " +
         std::to_string(life.from_ms - before->to_ms) + " ms earlier";
}

bool IsSentTo(const JudgeCase& judged, const std::string& queue,
              const std::string& service) {
  return std::any_of(judged.seen.manifests.begin(), judged.seen.manifests.end(),
                     [&](const ManifestChange& manifest) {
                       return manifest.service == service &&
                              std::find(manifest.queues.begin(),
                                        manifest.queues.end(),
                                        queue) != manifest.queues.end();
                     });
}

std::string DescribeOthers(const OpenRuns& others, const RunEvent& start) {
  std::string text;
  for (const auto& [task, open] : others) {
    if (task == start.task) continue;
    text += (text.empty() ? "" : ", ") + task + " " + Describe(open.start) +
            " of " + std::to_string(start.at_ms - open.start.at_ms) +
            " ms before" + (open.is_stopping ? ", being stopped" : "");
  }
  return text;
}

void CheckStart(JudgeCase& judged, const std::string& queue,
                const StepSpec& step, const RunEvent& start,
                const OpenRuns& on_life) {
  const WorkerLife* life = FindLife(judged, start);
  const std::string where = life != nullptr ? DescribeLife(judged, *life, start)
                                            : "an unknown worker";
  const auto report = [&](const std::string& text) {
    judged.found.push_back(
        {start.at_ms, Rule::kRoute, start.task,
         Describe(start) + " began " + text + "; on " + where});
  };
  if (life != nullptr && !IsSentTo(judged, queue, life->service)) {
    report("on a service to which no manifest sends the queue " + queue);
  }
  const std::string& label = step.required_label;
  if (life != nullptr && !label.empty() && life->kind != label) {
    report("without the label \"" + label + "\"");
  }
  const size_t others = on_life.size() - on_life.count(start.task);
  if (step.max_per_worker > 0 && others >= step.max_per_worker) {
    report("beyond the limit of " + std::to_string(step.max_per_worker) +
           " on a worker, beside " + DescribeOthers(on_life, start));
  }
}

/// What the runs that have not ended take of one life.
void CheckCapacity(JudgeCase& judged, const RunEvent& start,
                   int64_t milli_cores) {
  const WorkerLife* life = FindLife(judged, start);
  if (life == nullptr || milli_cores <= life->milli_cores) return;
  judged.found.push_back({start.at_ms, Rule::kLimit, start.task,
                          Describe(start) + " began, and the worker runs " +
                              std::to_string(milli_cores) + " of " +
                              std::to_string(life->milli_cores) +
                              " thousandths of a core; on " +
                              DescribeLife(judged, *life, start)});
}

}  // namespace

void CheckRoutes(JudgeCase& judged) {
  std::map<std::string, OpenRuns> open;
  std::map<std::string, int64_t> milli_cores;
  for (const RunEvent& event : judged.seen.runs) {
    const auto parts = ParseTask(event.task);
    const StepSpec* step = parts ? FindStep(judged, *parts) : nullptr;
    if (step == nullptr) continue;
    OpenRuns& on_life = open[PlaceOf(event) + " " + StepPrefix(*parts)];
    const auto known = on_life.find(event.task);
    const bool is_known =
        known != on_life.end() && known->second.start.run == event.run;
    switch (event.kind) {
      case RunEventKind::kStart:
        CheckStart(judged, judged.seen.jobs.at(parts->job).queue, *step, event,
                   on_life);
        // A later run of a task replaces the one there.
        if (known == on_life.end()) {
          milli_cores[PlaceOf(event)] += step->milli_cores;
        }
        CheckCapacity(judged, event, milli_cores[PlaceOf(event)]);
        on_life[event.task] = {event, false};
        break;
      case RunEventKind::kStopping:
        if (is_known) known->second.is_stopping = true;
        break;
      case RunEventKind::kDone:
      case RunEventKind::kFailed:
      case RunEventKind::kStopped:
      case RunEventKind::kLapsed:
      case RunEventKind::kBroken:
      case RunEventKind::kAlone:
      case RunEventKind::kCrashed:
        if (!is_known) break;
        on_life.erase(known);
        milli_cores[PlaceOf(event)] -= step->milli_cores;
        break;
      case RunEventKind::kDoneAcknowledged:
      case RunEventKind::kFailedAcknowledged:
      case RunEventKind::kListed:
      case RunEventKind::kAcknowledgedUnseen:
        break;
    }
  }
}

}  // namespace dotterelcove::soak
