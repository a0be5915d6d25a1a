/// Stand-in for a runner: runs tasks under fencing tokens and a lease, as
/// PROTOCOL.md tells. A task's `spec` is "ms=N": it ends `done` after N ms of
/// work; "ms=N fail" ends `failed`, "ms=N save" makes checkpoints, and "lasts"
/// runs until it is stopped.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/Http.h"
#include "review/standin/Store.h"

namespace review {

/// What the runners have seen, in order of time.
struct RunEvent {
  int64_t at_ms = 0;
  /// "start", an end ("done", "failed", "stopped", "lapsed"), "crash", or
  /// "noted" when an end `done` has been taken note of.
  std::string what;
  std::string task;
  uint32_t run = 0;
  std::string runner;
  uint64_t born = 0;
  /// The runner's first label.
  std::string kind;
};

class EventLog {
 public:
  void Add(RunEvent event);
  std::vector<RunEvent> All() const;

 private:
  mutable std::mutex mutex;
  std::vector<RunEvent> events;
};

struct RunnerOptions {
  std::string id;
  std::string ip;
  uint16_t port = 8080;
  std::string service;
  std::string zone;
  std::string kind = "a";
  std::string rack = "r1-1";
  int64_t milli_cores = 16'000;
  int64_t memory_mb = 32'768;
};

/// One runner, which can crash and start again.
class Runner {
 public:
  Runner(RunnerOptions options, Store& store, EventLog& log);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  /// Begins a life: listens, and registers in the store. Returns false if the
  /// address cannot be used.
  bool Boot();
  /// Ends it at once: everything on it is lost, channels are reset. Its entry
  /// stays in the store until it has been silent for three heartbeats.
  void Crash();
  bool is_up() const;
  /// The kind of the next life.
  void SetKind(const std::string& kind) { this->options.kind = kind; }
  void SetId(const std::string& id) { this->options.id = id; }
  const RunnerOptions& about() const { return this->options; }
  /// Tasks that run now.
  std::vector<std::string> Running() const;
  /// Answers from now on: called for each order with its path; returns true if
  /// the order shall get no answer. `late_ms` is then the time until it is
  /// carried out; negative for never.
  std::function<bool(const std::string& path, const std::string& task,
                     int64_t& late_ms)>
      lose;
  /// Whether orders that are carried out late also reach a later life.
  bool late_across_lives = false;
  /// Removes the entry if the runner has been silent for too long.
  void Expire();

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
  };
  struct End {
    uint64_t number = 0;
    std::string task;
    uint32_t run = 0;
    std::string how;
    /// The lease has lapsed since.
    bool lapsed = false;
  };

  Reply Handle(const Request& request);
  Reply Start(const std::string& body);
  Reply Stop(const std::string& body);
  Reply Hold(const std::string& body, uint64_t life);
  void CarryOutLate(const std::string& path, const std::string& body,
                    int64_t late_ms);
  uint64_t Life() const;
  int64_t Clock() const;
  static int64_t PercentOf(const Run& run, int64_t now_ms);
  std::string ClockBody(const std::string& reason) const;
  void Extend(int64_t deadline_ms);
  void Finish(const std::string& task, const std::string& how);
  void Register();
  void Tick(uint64_t life);
  void Note(const std::string& what, const std::string& task, uint32_t run);

  RunnerOptions options;
  Store& store;
  EventLog& log;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::unique_ptr<Server> server;
  std::thread ticker;
  bool up = false;
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

}  // namespace review
