/// The owner row of a cell and the owner's group commit, which is fenced by it.
///
/// Every transaction of the owner is conditional on the owner row and rewrites
/// it with the epoch, the owner's identity and the number of the transaction. A
/// takeover changes the same row, so every transaction of the previous owner
/// fails from then on, also one that the store applies late. After a lost
/// answer the row shows whether the transaction took effect.
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
  /// Name of the owner; empty after a planned stop, when any process may take
  /// over at once.
  std::string process;
  /// Peer address of the owner, "ip:port".
  std::string address;
  uint64_t incarnation = 0;
  /// Transactions committed in this epoch.
  uint64_t sequence = 0;
  /// When the owner sent the transaction, on the store's clock; 0 if unknown.
  int64_t sent_clock_ms = 0;
  /// Daemons of the cell that the owner has counted, itself included; 0 if
  /// unknown.
  uint32_t members = 0;
  /// Version of the row in the store, 0 for an absent row. Not part of the
  /// stored value.
  uint64_t version = 0;
};

std::string OwnerRowToJson(const OwnerRow& row);
/// Returns false if `text` is not a valid owner row.
bool OwnerRowFromJson(const std::string& text, OwnerRow& row);

enum class CommitResult : uint8_t { kCommitted, kDeposed };

struct OwnerCommitterOptions {
  /// Minimum time between two transactions.
  TimeMs interval_ms = 20;
  /// Interval at which an idle owner rewrites its row, which shows the standbys
  /// that it is alive.
  TimeMs heartbeat_ms = 400;
  /// Delay before a transaction or a read without an answer is retried.
  TimeMs retry_ms = 80;
  /// Limits of one transaction: rows written or removed, and bytes of values.
  /// It holds at least one record.
  size_t max_entries = 90;
  size_t max_bytes = 700'000;
};

/// Group commit of the owner in one epoch, with at most one transaction in
/// flight. Created by a process that has just taken ownership over; ends when
/// another process takes over, or when the store keeps rejecting a transaction
/// itself. Before that its records are written one by one, so that only the one
/// that is at fault is rejected.
class OwnerCommitter : public std::enable_shared_from_this<OwnerCommitter> {
 public:
  OwnerCommitter(Runtime runtime, RowStore store, OwnerRow row,
                 OwnerCommitterOptions options, std::function<void()> deposed);

  /// `confirmed_ms` is when the call was sent that showed the ownership.
  void Start(TimeMs confirmed_ms);
  /// Writes these rows in one transaction, together with other queued records.
  /// `done` runs once they are stored; it never runs if ownership is lost
  /// first. If the store keeps rejecting the record, `rejected` runs in place
  /// of it; without that, ownership is given up, and the next owner begins with
  /// what is stored.
  void Commit(std::vector<RowPut> puts, std::vector<RowRemoval> removals,
              std::function<void()> done,
              std::function<void()> rejected = nullptr);
  /// Writes the queued records, then releases the owner row. `done` runs at the
  /// end, also when the release failed.
  void Release(std::function<void()> done);
  /// Sets the number of daemons that the next transaction records.
  void SetMembers(uint32_t members) { this->current.members = members; }
  /// Discards the queued records and stops writing.
  void Stop();

  const OwnerRow& row() const { return this->current; }
  /// Duration of the last commit, from the sending of its last attempt.
  TimeMs commit_ms() const { return this->last_commit_ms; }
  /// Time since the last confirmed commit, or since the creation.
  TimeMs store_age_ms() const;
  /// When the call was sent whose answer last showed that the row is this
  /// owner's. Unlike that of an answer, this time is right also if the process
  /// stood still before it read the answer.
  TimeMs confirmed_ms() const { return this->last_confirmed_ms; }
  /// Number of queued records, without those of the transaction in flight.
  size_t waiting() const { return this->queue.size(); }

 private:
  struct Record {
    std::vector<RowPut> puts;
    std::vector<RowRemoval> removals;
    std::function<void()> done;
    std::function<void()> rejected;
  };

  /// Starts the next transaction if one is due, else sets a timer for it.
  void Pump();
  /// Takes a batch of records from the queue and sends it.
  void Write();
  /// Sends the current batch, also as a retry.
  void Send();
  void OnAnswer(const StoreAnswer& answer);
  /// Reads the owner row to resolve a transaction with an unknown outcome.
  void ReadBack();
  /// The transaction in flight is never accepted: writes its records one by
  /// one, or drops the only one if somebody answers for it, or gives ownership
  /// up.
  void OnRejected();
  void OnRow(const OwnerRow& row);
  void OnCommitted(uint64_t version);
  void OnDeposed(const OwnerRow& row);

  Runtime runtime;
  RowStore store;
  /// The owner row as of the last commit or read.
  OwnerRow current;
  OwnerCommitterOptions options;
  std::function<void()> deposed;
  std::vector<Record> queue;
  std::vector<Record> in_flight;
  /// The owner row that the transaction in flight writes.
  OwnerRow next;
  bool writing = false;
  /// Times that the store has rejected the transaction in flight itself.
  int rejections = 0;
  /// Number of the next records that are written alone.
  size_t single_records = 0;
  /// When the pending timer fires, -1 if none is set.
  TimeMs armed_for_ms = -1;
  bool stopped = false;
  bool release_requested = false;
  bool releasing = false;
  std::function<void()> released;
  TimeMs last_write_ms = 0;
  TimeMs last_answer_ms = 0;
  TimeMs last_commit_ms = 0;
  TimeMs last_confirmed_ms = 0;
  /// The store's clock minus this process's; valid if `clock_known`.
  int64_t clock_offset_ms = 0;
  bool clock_known = false;
};

}  // namespace dotterelcove
