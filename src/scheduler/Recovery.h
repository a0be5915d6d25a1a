/// Reads the records of a partition from the table service, before a new owner
/// begins to serve.
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
  /// `deadline_ms` is the time that was left when the rows were read.
  wire::SubmitT submit;
  std::vector<MemberResult> members;
  int64_t accepted_wall_ms = 0;
};

struct RecoveredRecords {
  /// In the order of acceptance.
  std::vector<RecoveredJob> jobs;
  /// Job ids and rows.
  std::vector<std::pair<std::string, IntentRow>> intents;
  /// Processes of the entry daemons that hold no grant.
  std::set<std::string> entries_down;
  std::vector<UsedWorkerRow> used_workers;
};

/// Reads all records of the partition. After a failure it begins again with
/// exponential backoff, until it succeeds or is destroyed.
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
