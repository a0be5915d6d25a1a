/// What a new owner reads from the table service before it serves.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/JobRecords.h"
#include "scheduler/Services.h"

namespace dotterelcove {

struct RecoveredJob {
  /// Its deadline is what was left of it when the rows were read.
  wire::SubmitT submit;
  std::vector<MemberResult> members;
  int64_t accepted_wall_ms = 0;
};

struct RecoveredRecords {
  /// In the order in which they were accepted.
  std::vector<RecoveredJob> jobs;
  std::vector<std::pair<std::string, IntentRow>> intents;
  std::set<std::string> entries_down;
  std::vector<UsedWorkerRow> used_workers;
};

/// Reads all records of the partition, and again after failures until it
/// succeeds or is destroyed.
class Recovery {
 public:
  Recovery(Services& services, std::function<void(RecoveredRecords)> done);
  ~Recovery();
  Recovery(const Recovery&) = delete;
  Recovery& operator=(const Recovery&) = delete;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace dotterelcove
