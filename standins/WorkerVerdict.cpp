#include "standins/WorkerVerdict.h"

#include <set>

namespace dotterelcove::standins {
namespace {

std::string MemberName(const WorkerTask& task) {
  return task.job + "." + std::to_string(task.member);
}

}  // namespace

std::vector<std::string> FindViolations(
    const std::vector<JournalEntry>& entries,
    const std::map<std::string, Resources>& capacities) {
  std::vector<std::string> violations;
  std::map<std::string, std::set<std::string>> running;
  std::map<std::string, int> starts;
  std::map<std::string, Resources> used;
  for (const JournalEntry& entry : entries) {
    const std::string member = MemberName(entry.task);
    if (entry.event == JournalEvent::kEnded) {
      running[member].erase(entry.task.id);
      used[entry.worker] = used[entry.worker] - entry.task.size;
      continue;
    }
    if (entry.event != JournalEvent::kStarted) continue;
    if (!running[member].empty()) {
      violations.push_back(entry.task.id + " started on " + entry.worker +
                           " while " + *running[member].begin() + " ran");
    }
    running[member].insert(entry.task.id);
    if (++starts[member] > 1 && !entry.task.idempotent) {
      violations.push_back("non-idempotent " + entry.task.id +
                           " started again on " + entry.worker);
    }
    used[entry.worker] = used[entry.worker] + entry.task.size;
    const auto capacity = capacities.find(entry.worker);
    if (capacity != capacities.end() &&
        !Fits(used[entry.worker], capacity->second)) {
      violations.push_back("capacity of " + entry.worker + " exceeded by " +
                           entry.task.id);
    }
  }
  return violations;
}

size_t CountEntries(const std::vector<JournalEntry>& entries,
                    JournalEvent event, const std::string& job) {
  size_t count = 0;
  for (const JournalEntry& entry : entries) {
    if (entry.event != event) continue;
    if (!job.empty() && entry.task.job != job) continue;
    count++;
  }
  return count;
}

}  // namespace dotterelcove::standins
