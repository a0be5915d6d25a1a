/// The state of the stand-in platform service: rows, objects and the journal
/// of committed transactions. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "border/tables/TableClient.h"
#include "border/tables/TableCodec.h"

namespace dotterelcove {

/// One committed transaction.
struct JournalEntry {
  uint64_t version = 0;
  /// Time of the commit on the stand-in's clocks.
  int64_t wall_ms = 0;
  TimeMs monotonic_ms = 0;
  std::vector<TablePut> puts;
};

struct PlatformTables {
  std::map<std::string, TableRow> rows;
  std::map<std::string, std::string> objects;
  std::vector<JournalEntry> journal;
  /// Version of the newest commit; shared by all rows, so a row that was
  /// removed and written again never gets an old version.
  uint64_t version = 0;
};

/// Applies a transaction atomically; never returns kUnavailable or kUnknown.
/// Puts to the same row apply in order.
TransactResult Commit(PlatformTables& tables,
                      const TableTransaction& transaction);

/// Rows by key, in the order of `keys`; absent ones have version 0.
ReadResult Read(const PlatformTables& tables,
                const std::vector<std::string>& keys);

ReadResult Scan(const PlatformTables& tables, const ScanRequest& request);

/// JSON of the journal entries with a version greater than `after`.
std::string JournalToJson(const PlatformTables& tables, uint64_t after);

}  // namespace dotterelcove
