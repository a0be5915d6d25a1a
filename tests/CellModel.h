/// A whole cell on virtual time: the real ownership, controller and job store
/// of several daemons against a modelled store, workers and permit authority.
/// The same seed gives the same run. What the modelled workers and callers saw
/// is judged afterwards, never what the daemons say of themselves.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/Random.h"
#include "base/Runtime.h"
#include "store/Leadership.h"
#include "store/RowStore.h"
#include "workflow/Controller.h"

namespace dotterelcove::model {

/// Virtual time: callbacks in order of their time.
struct VirtualTime {
  struct Entry {
    TimeMs at_ms = 0;
    uint64_t order = 0;
    std::function<void()> callback;
  };
  struct Later {
    bool operator()(const Entry& a, const Entry& b) const {
      return a.at_ms != b.at_ms ? a.at_ms > b.at_ms : a.order > b.order;
    }
  };
  TimeMs now_ms = 1'000;
  uint64_t next_order = 0;
  std::priority_queue<Entry, std::vector<Entry>, Later> entries;

  void After(TimeMs delay_ms, std::function<void()> callback);
  void RunUntil(TimeMs end_ms);
};

/// How the store treats one call.
struct StoreFaults {
  bool down = false;
  /// Daemons whose calls are refused.
  std::set<int> refused;
  /// Share of the writes that are done and not answered.
  double lost_answer_share = 0;
  /// Those are done this much later, 0 for at once.
  TimeMs lost_write_delay_ms = 0;
  TimeMs latency_ms = 4;
};

struct ModelStore {
  struct Change {
    uint64_t version = 0;
    StoreRow row;
  };
  std::map<std::pair<std::string, std::string>, StoreRow> rows;
  std::vector<Change> history;
  uint64_t version = 1;
  /// Changes up to this version are compacted_version.
  uint64_t compacted_version = 0;
  uint64_t transactions = 0;
  StoreFaults faults;
};

/// A run that a modelled worker has begun, and how it went.
struct RunRecord {
  std::string task;
  uint32_t run = 0;
  std::string worker;
  std::string payload;
  std::string checkpoint;
  uint64_t token = 0;
  int daemon = 0;
  TimeMs begin_ms = 0;
  /// -1 while it runs.
  TimeMs end_ms = -1;
  std::string outcome;
  Resources size;
  /// The end was acknowledged by an owner.
  bool acknowledged = false;
};

struct ModelWorker {
  struct Run {
    size_t record = 0;
    uint32_t run = 0;
    TimeMs ends_ms = 0;
    bool fails = false;
    TimeMs stops_ms = -1;
  };
  struct End {
    uint64_t number = 0;
    std::string task;
    uint32_t run = 0;
    workflow::RunEnd end = workflow::RunEnd::kDone;
    size_t record = 0;
  };
  workflow::WorkerInfo info;
  uint64_t token = 0;
  TimeMs lease_end_ms = 0;
  /// When the lease last lapsed; ends before it may never count as
  /// acknowledged.
  TimeMs lease_expired_ms = 0;
  std::map<std::string, Run> running;
  std::map<std::string, uint32_t> tombstones;
  std::vector<End> ends;
  uint64_t next_end = 1;
  bool up = true;
  /// Unreachable for daemons, though it runs on.
  bool partitioned = false;
  /// Fails all that it starts.
  bool fails_all = false;
  /// Makes no progress with anything.
  bool hangs = false;
  /// Share of the orders that are not answered and carried out later.
  double delayed_order_share = 0;
  /// Shares of the orders and syncs that are carried out and not answered.
  double lost_order_share = 0;
  double lost_sync_share = 0;
  bool listed = true;
  TimeMs clock_offset_ms = 0;
};

/// What a caller knows of a job that it handed in.
struct CallerJob {
  workflow::JobSpec spec;
  bool accepted = false;
  bool refused = false;
  TimeMs accepted_ms = 0;
  TimeMs cancelled_ms = -1;
  TimeMs completed_ms = -1;
  std::string final_state;
  /// Tasks whose every run fails.
  bool always_fails = false;
};

struct CellOptions {
  int daemons = 3;
  int workers = 6;
  Resources capacity{16'000, 32'768, 0};
  uint64_t seed = 1;
  /// Permits are needed, and this share of the workers is allowed.
  bool permits = false;
  double allowed_share = 0.5;
  double failure_share = 0.02;
};

struct Daemon;

struct Cell {
  explicit Cell(CellOptions options);
  ~Cell();
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  CellOptions options;
  Random random;
  VirtualTime time;
  ModelStore store;
  std::map<std::string, ModelWorker> workers;
  std::vector<RunRecord> run_records;
  std::map<std::string, CallerJob> jobs;
  std::vector<std::unique_ptr<Daemon>> daemons;
  uint64_t next_job = 1;
  /// Adds ports to each new owner that only some tests need.
  std::function<void(workflow::Controller&)> configure_owner;
};

/// A daemon that may be killed and started again.
struct Daemon {
  int index = 0;
  int start_count = 0;
  bool up = false;
  /// Stands still: its callbacks wait.
  TimeMs frozen_until_ms = 0;
  bool partitioned_from_workers = false;
  std::shared_ptr<bool> alive;
  std::shared_ptr<Leadership> leadership;
  workflow::ControllerPtr controller;
};

void StartDaemon(Cell& cell, int index);
/// The process ends at once.
void KillDaemon(Cell& cell, int index);
/// Hands ownership on, then ends.
void StopDaemon(Cell& cell, int index);
/// The owner's index, -1 for none.
int FindOwner(const Cell& cell);

/// Ends the worker and all that it runs.
void CrashWorker(Cell& cell, const std::string& id);
/// Crashes the worker and starts it again under the same id.
void RestartWorker(Cell& cell, const std::string& id);

/// A job of `steps` steps with `count` tasks each.
workflow::JobSpec MakeChain(Cell& cell, uint32_t steps, uint32_t count,
                            Resources size, TimeMs run_ms);
/// Hands a job in through a daemon; the answer is kept in `cell.jobs`.
void Submit(Cell& cell, int daemon, workflow::JobSpec spec,
            bool always_fails = false);
void Cancel(Cell& cell, int daemon, const std::string& id);

/// Violations of the rules as the workers and callers saw them, empty for none.
/// With `at_end` every accepted job must also have come to its end.
std::vector<std::string> FindViolations(const Cell& cell, bool at_end);

}  // namespace dotterelcove::model
