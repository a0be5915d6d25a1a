/// Interface of the owner, the standbys and the entry side to the transactional
/// table service: rows in named tables, with transactions that are conditional
/// on row versions.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/NameTable.h"
#include "dotterelcove/Types.h"

namespace dotterelcove {

/// A row; version 0 means that it does not exist.
struct StoreRow {
  std::string table;
  std::string key;
  std::string value;
  uint64_t version = 0;
  /// The row was removed at `version`. Set only in answers to `changes`.
  bool removed = false;
};

/// Condition of a transaction: the row has exactly this version, 0 for absent.
struct RowCondition {
  std::string table;
  std::string key;
  uint64_t version = 0;
};

struct RowPut {
  std::string table;
  std::string key;
  std::string value;
};

struct RowRemoval {
  std::string table;
  std::string key;
};

/// Applied as a whole or not at all.
struct RowTransaction {
  std::vector<RowCondition> conditions;
  std::vector<RowPut> puts;
  std::vector<RowRemoval> removals;
};

enum class StoreStatus : uint8_t {
  kOk,
  /// A condition was not met; nothing was written.
  kConflict,
  /// The request was certainly not carried out.
  kRefused,
  /// No answer, or one that tells nothing of the outcome: a transaction may
  /// have taken effect or may still do so.
  kUnknown,
  /// The store no longer has the changes after the given version.
  kHistoryLost,
  /// The store rejects the transaction itself, for example for its size: it
  /// gets the same answer each time. Whether it took effect is not known.
  kInvalid,
};
inline constexpr auto kStoreStatusNames =
    MakeNameTable<StoreStatus>({{StoreStatus::kOk, "ok"},
                                {StoreStatus::kConflict, "conflict"},
                                {StoreStatus::kRefused, "refused"},
                                {StoreStatus::kUnknown, "unknown"},
                                {StoreStatus::kHistoryLost, "history_lost"},
                                {StoreStatus::kInvalid, "invalid"}});

struct StoreAnswer {
  StoreStatus status = StoreStatus::kUnknown;
  /// On a conflict the current rows of the conditions; for reads and changes
  /// the rows found.
  std::vector<StoreRow> rows;
  /// More rows follow those in `rows`.
  bool has_more = false;
  /// The newest version in the store; for a transaction that of the rows
  /// written.
  uint64_t version = 0;
  /// The store's monotonic clock at the time of the answer, 0 if not given.
  int64_t store_clock_ms = 0;
  /// How the call ended, for logs: an HTTP status or the name of a failure.
  std::string reason;
};

/// The store applies transactions on one shard of a table one at a time. The
/// job table has many shards, so that inserts of jobs do not wait for one
/// another or for the owner's commits when the store is slow.
uint32_t ShardCount(const std::string& table);
uint32_t ShardOf(const std::string& table, const std::string& key);

using StoreCallback = std::function<void(StoreAnswer)>;

/// Each function calls back exactly once, from the event loop.
struct RowStore {
  std::function<void(RowTransaction, StoreCallback)> transact;
  /// Reads up to `limit` rows of one shard of `table`, in key order, starting
  /// at the key `from`.
  std::function<void(const std::string& table, uint32_t shard,
                     const std::string& from, uint32_t limit, StoreCallback)>
      read;
  /// Reads one row; the answer has no rows if it does not exist.
  std::function<void(const std::string& table, const std::string& key,
                     StoreCallback)>
      read_one;
  /// Long poll: returns rows of `table` changed after `version`, waiting up to
  /// `wait_ms` for the first.
  std::function<void(const std::string& table, uint64_t version, TimeMs wait_ms,
                     StoreCallback)>
      changes;
};

/// Reads all shards of a table page by page. If any page fails, the answer has
/// its status. The version in the answer is the lowest of the first pages, so
/// that following the changes from it misses none.
void ReadTable(const RowStore& store, const std::string& table,
               StoreCallback done);

}  // namespace dotterelcove
