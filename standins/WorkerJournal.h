/// Journal of all tasks that ran on the stand-in workers. Tests check the
/// system against it, never against the system's own logs.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "base/NameTable.h"
#include "border/worker/WorkerMessages.h"

namespace dotterelcove::standins {

enum class JournalEvent : uint8_t {
  kStarted,
  kEnded,
  kThrottled,
  kResumed,
  /// Refusals: nothing ran.
  kStaleToken,
  kNoCapacity,
  kDuplicate,
  kRefused,
  kFenced,
};
inline constexpr auto kJournalEventNames = MakeNameTable<JournalEvent>(
    {{JournalEvent::kStarted, "started"},
     {JournalEvent::kEnded, "ended"},
     {JournalEvent::kThrottled, "throttled"},
     {JournalEvent::kResumed, "resumed"},
     {JournalEvent::kStaleToken, "refused_stale_token"},
     {JournalEvent::kNoCapacity, "refused_no_capacity"},
     {JournalEvent::kDuplicate, "refused_duplicate"},
     {JournalEvent::kRefused, "refused"},
     {JournalEvent::kFenced, "fenced"}});

struct JournalEntry {
  int64_t wall_ms = 0;
  TimeMs monotonic_ms = 0;
  std::string worker;
  JournalEvent event = JournalEvent::kStarted;
  WorkerTask task;
  uint64_t epoch = 0;
  /// How the task ended, or why the worker refused.
  std::string detail;
};

/// Appends one JSON line for each entry to a file, or keeps the entries in
/// memory when there is no file.
class WorkerJournal {
 public:
  /// An empty `file` keeps entries in memory.
  explicit WorkerJournal(const std::string& file);
  ~WorkerJournal();
  WorkerJournal(const WorkerJournal&) = delete;
  WorkerJournal& operator=(const WorkerJournal&) = delete;

  void Add(const std::string& worker, JournalEvent event,
           const WorkerTask& task, uint64_t epoch, std::string detail = {});
  const std::vector<JournalEntry>& entries() const { return this->kept; }

 private:
  std::FILE* file = nullptr;
  std::vector<JournalEntry> kept;
};

/// One JSON object without a line end.
std::string ToJsonLine(const JournalEntry& entry);

}  // namespace dotterelcove::standins
