/// The transactional table service as the owner, the standbys and the entry
/// side use it: rows in named tables, conditions on row versions.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/NameTable.h"
#include "dotterelcove/Types.h"

namespace dotterelcove {

/// A row; version 0 stands for "absent".
struct StoreRow {
  std::string table;
  std::string key;
  std::string value;
  uint64_t version = 0;
  /// Set in changes only: the row was removed at `version`.
  bool removed = false;
};

/// Condition of a transaction: the row has exactly this version.
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
  /// A condition did not hold; nothing was written.
  kConflict,
  /// Nothing was done, for certain.
  kRefused,
  /// No answer: a transaction may have taken effect, or may yet.
  kUnknown,
  /// Changes after the given version are no longer kept.
  kHistoryLost,
};
inline constexpr auto kStoreStatusNames =
    MakeNameTable<StoreStatus>({{StoreStatus::kOk, "ok"},
                                {StoreStatus::kConflict, "conflict"},
                                {StoreStatus::kRefused, "refused"},
                                {StoreStatus::kUnknown, "unknown"},
                                {StoreStatus::kHistoryLost, "history_lost"}});

struct StoreAnswer {
  StoreStatus status = StoreStatus::kUnknown;
  /// For a conflict the present rows of the conditions; for reads and changes
  /// the rows.
  std::vector<StoreRow> rows;
  bool has_more = false;
  /// The newest version of the store, or of the rows written.
  uint64_t version = 0;
  /// The store's steady clock at the answer, 0 when it was not told.
  int64_t store_clock_ms = 0;
};

/// Parts of a table that the store writes one transaction at a time. The job
/// table has many, so that accepted jobs do not queue behind one another nor
/// behind the owner's commits when the store is slow.
uint32_t ShardCount(const std::string& table);
uint32_t ShardOf(const std::string& table, const std::string& key);

using StoreCallback = std::function<void(StoreAnswer)>;

/// Each function calls back exactly once, from the loop.
struct RowStore {
  std::function<void(RowTransaction, StoreCallback)> transact;
  /// Rows of one shard of `table` from the key `from` on, in key order, at most
  /// `limit`.
  std::function<void(const std::string& table, uint32_t shard,
                     const std::string& from, uint32_t limit, StoreCallback)>
      read;
  /// One row; an absent one gives no rows.
  std::function<void(const std::string& table, const std::string& key,
                     StoreCallback)>
      read_one;
  /// Rows of `table` changed after `version`, waiting up to `wait_ms` for one.
  std::function<void(const std::string& table, uint64_t version, TimeMs wait_ms,
                     StoreCallback)>
      changes;
};

/// Reads all shards of a table page by page; fails as a whole. The version
/// given is the lowest of the first pages, so that no later change is missed.
void ReadTable(const RowStore& store, const std::string& table,
               StoreCallback done);

}  // namespace dotterelcove
