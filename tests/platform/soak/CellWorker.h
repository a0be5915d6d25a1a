/// Stand-in for a worker: runs tasks under fencing tokens and a lease, as
/// PROTOCOL.md tells. A task's `spec` is "ms=N": it ends `done` after N ms of
/// work; "ms=N fail" ends `failed`, "ms=N save" makes checkpoints, and "lasts"
/// runs until it is stopped. With "luck=N" some runs, drawn by N, the task and
/// the run, end `failed`. With "gang=S:N" step S is a gang of N.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <semaphore>
#include <string>
#include <thread>
#include <vector>

#include "base/NameTable.h"
#include "tests/platform/soak/GangBoard.h"
#include "tests/platform/soak/Observations.h"
#include "tests/platform/soak/Plant.h"
#include "tests/platform/soak/RawHttp.h"
#include "tests/platform/soak/StoreStandin.h"

namespace dotterelcove::soak {

/// Collects what the workers have seen, in order of time.
class EventLog {
 public:
  void Add(RunEvent event);
  std::vector<RunEvent> All() const;

 private:
  mutable std::mutex mutex;
  std::vector<RunEvent> events;
};

/// What the workers of a cell do with orders now.
class OrderFault {
 public:
  explicit OrderFault(uint64_t seed) : random(seed) {}
  /// A share of the orders gets no answer and is carried out after `late_ms`.
  void Set(uint32_t percent, int64_t late_ms);
  /// Whether the next order is such a one.
  bool Meets(int64_t& late_ms);

 private:
  std::mutex mutex;
  std::mt19937_64 random;
  uint32_t percent = 0;
  int64_t late_ms = 0;
};

/// How the links of a worker, and its way to the store, are cut.
enum class CutKind : uint8_t {
  kNone,
  /// No call reaches it.
  kBothWays,
  /// Calls reach it and are carried out; no answer leaves it.
  kOneWay,
  /// The same, and it crashes and boots again meanwhile, under its id.
  kOneWayRestarted,
};
inline constexpr auto kCutKindNames =
    MakeNameTable<CutKind>({{CutKind::kNone, "none"},
                            {CutKind::kBothWays, "both ways"},
                            {CutKind::kOneWay, "one way"},
                            {CutKind::kOneWayRestarted, "one way, restarted"}});

/// The two kinds of worker, as in the labels of their entries.
inline constexpr const char* kWorkerKinds[] = {"a", "b"};
std::string OtherKind(const std::string& kind);

struct CellWorkerOptions {
  std::string id;
  std::string ip;
  uint16_t port = 8080;
  std::string service;
  std::string zone;
  std::string kind = "a";
  std::string rack = "r1-1";
  int64_t milli_cores = 16'000;
  int64_t memory_mb = 32'768;
  /// Longest lease that it grants.
  int64_t max_hold_ms = 6'000;
  /// Rate of its steady clock, which may be 2 % slow.
  double clock_rate = 1;
  Plant plant = Plant::kNone;
  /// Late orders reach the life that is there by then, if it has the id that
  /// they are for.
  bool late_to_next_life = false;
};

/// One worker, which can crash and start again.
class CellWorker {
 public:
  CellWorker(CellWorkerOptions options, StoreStandin& store, GangBoard& gangs,
             OrderFault& order_fault, EventLog& log);
  ~CellWorker();
  CellWorker(const CellWorker&) = delete;
  CellWorker& operator=(const CellWorker&) = delete;

  /// Begins a life: listens, and registers in the store. With `set_back_ms` its
  /// wall clock was set back, to so much before the start of the life before.
  /// Returns false if the address cannot be used.
  bool Boot(int64_t set_back_ms = 0);
  /// Ends it at once: everything on it is lost, channels are reset. Its entry
  /// stays in the store until it has been silent for three heartbeats.
  void Crash();
  /// The id of the next life.
  void SetId(const std::string& id);
  /// The kind of the next life. To be called while it is down.
  void SetKind(const std::string& kind);
  CellWorkerOptions about() const;
  /// Cut off, the worker runs on; no answer leaves it, and its entry in the
  /// store is not renewed.
  std::atomic<CutKind> cut{CutKind::kNone};
  /// Stands still, as if stopped by a signal, until Continue(): calls wait, and
  /// its entry in the store is not renewed.
  void Pause();
  void Continue();
  /// Reports that the worker leaves in `ms` at the earliest.
  void Drain(int64_t ms);
  /// Ends a life that drained: its entry is removed.
  void Leave();
  /// Removes entries that have been silent for too long.
  void Expire();
  std::vector<WorkerLife> lives() const;
  /// Taken by whoever crashes, cuts off or drains the worker, until it is back.
  std::binary_semaphore free{1};

 private:
  struct Run {
    uint32_t run = 0;
    int64_t began_ms = 0;
    int64_t work_ms = 0;
    bool fails = false;
    bool saves = false;
    bool lasts = false;
    /// When a stop takes effect, 0 for none.
    int64_t stop_ms = 0;
    /// When it ends `failed` by chance, 0 for never.
    int64_t fails_ms = 0;
    /// Its gang, with an empty name if it is no member of one.
    GangRun gang;
    /// Since when a member waits for the others, 0 once it works.
    int64_t waits_since_ms = 0;
  };
  struct End {
    uint64_t number = 0;
    std::string task;
    uint32_t run = 0;
    RunEventKind how = RunEventKind::kDone;
    /// The lease has lapsed since.
    bool lapsed = false;
    bool listed = false;
  };

  /// A call on a connection of the life `number`.
  Reply Handle(const Request& request, uint64_t number);
  /// Whether an order of the life `number` under the token `fence` is carried
  /// out; fills the reply otherwise.
  bool Admit(uint64_t fence, uint64_t number, Reply& reply);
  Reply Start(const std::string& body, uint64_t number, bool is_late);
  Run MakeRun(const std::string& task, uint32_t run, const std::string& spec,
              const std::string& checkpoint);
  /// How the run ends now, if it does.
  std::optional<RunEventKind> EndOf(Run& run);
  Reply Stop(const std::string& body, uint64_t number);
  Reply Hold(const std::string& body, uint64_t life, bool is_late);
  void CarryOutLate(const Request& request, uint64_t number, int64_t late_ms);
  /// Holds a call whose answer is lost, until its caller has given up.
  Reply HoldBack();
  /// Waits while the worker stands still.
  void AwaitContinue(std::unique_lock<std::mutex>& lock);
  Reply Perform(const Request& request, uint64_t life, bool is_late);
  int64_t Clock() const;
  static int64_t PercentOf(const Run& run, int64_t now_ms);
  std::string ClockBody(const std::string& reason) const;
  void Extend(int64_t deadline_ms);
  void Finish(const std::string& task, RunEventKind how);
  /// Ends the runs that are over, those whose lease has lapsed as of then.
  /// Returns whether any is.
  bool EndRuns();
  /// When the next life says that it began.
  uint64_t NextBorn(int64_t set_back_ms) const;
  void Register();
  void Tick(uint64_t life);
  void Note(RunEventKind kind, const std::string& task, uint32_t run,
            bool is_late = false, const std::string& spec = {});
  void Acknowledge(const End& end);
  /// When the lease lapses, on the soak's clock.
  int64_t LapseMs() const;

  CellWorkerOptions options;
  StoreStandin& store;
  GangBoard& gangs;
  OrderFault& order_fault;
  EventLog& log;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::unique_ptr<Server> server;
  std::thread ticker;
  bool up = false;
  /// Since when it stands still, 0 while it does not.
  int64_t paused_ms = 0;
  /// When it leaves at the earliest, 0 while it does not drain.
  int64_t leaves_ms = 0;
  std::atomic<bool> has_ended{false};
  /// Ids of former lives, and when their entries are removed.
  std::map<std::string, int64_t> former;
  std::vector<WorkerLife> all_lives;
  std::vector<std::thread> late;
  /// Number of lives so far.
  uint64_t life = 0;
  uint64_t born = 0;
  int64_t booted_ms = 0;
  uint64_t seq = 0;
  int64_t registered_ms = 0;
  uint64_t token = 0;
  int64_t deadline_ms = 0;
  std::map<std::string, Run> runs;
  /// Highest run stopped or ended, by task.
  std::map<std::string, uint32_t> over;
  std::deque<End> ends;
  uint64_t last_end = 0;
};

}  // namespace dotterelcove::soak
