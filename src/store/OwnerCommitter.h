/// Ownership of a cell and the owner's group commit, both on one row.
///
/// Every transaction of the owner checks and rewrites the owner row, which
/// holds the epoch, the holder and the number of the transaction. So a
/// take-over, which changes the same row, shuts out every transaction of the
/// owner before it, also one that the store carries out late, and after a lost
/// answer the row tells whether the transaction took effect.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/Runtime.h"
#include "store/RowStore.h"

namespace dotterelcove {

inline constexpr const char* kOwnerTable = "owner";
inline constexpr const char* kOwnerKey = "cell";

/// Content of the owner row.
struct OwnerRow {
  uint64_t epoch = 0;
  /// Empty after a planned stop: anyone may take over at once.
  std::string process;
  std::string address;
  uint64_t incarnation = 0;
  /// Transactions of this epoch so far.
  uint64_t sequence = 0;
  /// When it was sent, on the store's clock; 0 for unknown.
  int64_t sent_clock_ms = 0;
  /// Version of the row, 0 for an absent one. Not part of the value.
  uint64_t version = 0;
};

std::string OwnerRowToJson(const OwnerRow& row);
/// Returns false for text that is not an owner row.
bool OwnerRowFromJson(const std::string& text, OwnerRow& row);

enum class CommitResult : uint8_t { kCommitted, kDeposed };

struct OwnerCommitterOptions {
  /// Shortest time between two transactions.
  TimeMs interval_ms = 20;
  /// An idle owner writes its row this often, so that others see it live.
  TimeMs heartbeat_ms = 400;
  TimeMs retry_ms = 80;
  size_t max_entries = 90;
  size_t max_bytes = 700'000;
};

/// The commits of one epoch. Made by a process that has just changed the owner
/// row; ends when another process has taken over.
class OwnerCommitter : public std::enable_shared_from_this<OwnerCommitter> {
 public:
  OwnerCommitter(Runtime runtime, RowStore store, OwnerRow row,
                 OwnerCommitterOptions options, std::function<void()> deposed);

  void Start();
  /// Writes these rows in one transaction, with others that are waiting.
  /// `done` runs when they are stored; after a deposition it never runs.
  void Commit(std::vector<RowPut> puts, std::vector<RowRemoval> removals,
              std::function<void()> done);
  /// Writes what is waiting, then gives the row up; `done` runs at the end,
  /// also when that failed.
  void Release(std::function<void()> done);
  /// Stops all writing; the owner stands down.
  void Stop();

  const OwnerRow& row() const { return this->current; }
  /// How long the last commit took, from its last try.
  TimeMs commit_ms() const { return this->last_commit_ms; }
  /// Age of the last answer of the store to a transaction.
  TimeMs store_age_ms() const;
  size_t waiting() const { return this->queue.size(); }

 private:
  struct Record {
    std::vector<RowPut> puts;
    std::vector<RowRemoval> removals;
    std::function<void()> done;
  };

  /// Writes when something is due, else sets a timer for when it will be.
  void Pump();
  void Write();
  void Send();
  void OnAnswer(const StoreAnswer& answer);
  void ReadBack();
  void OnRow(const OwnerRow& row);
  void OnCommitted(uint64_t version);
  void OnDeposed(const OwnerRow& row);

  Runtime runtime;
  RowStore store;
  OwnerRow current;
  OwnerCommitterOptions options;
  std::function<void()> deposed;
  std::vector<Record> queue;
  std::vector<Record> in_flight;
  OwnerRow next;
  bool writing = false;
  TimeMs armed_for_ms = -1;
  bool stopped = false;
  bool release_requested = false;
  bool releasing = false;
  std::function<void()> released;
  TimeMs last_write_ms = 0;
  TimeMs last_answer_ms = 0;
  TimeMs last_commit_ms = 0;
  /// The store's clock minus this process's, once the store has told it.
  int64_t clock_offset_ms = 0;
  bool clock_known = false;
};

}  // namespace dotterelcove
