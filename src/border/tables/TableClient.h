/// Client of the platform's transactional table service.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/NameTable.h"
#include "http/HttpClient.h"

namespace dotterelcove {

/// Version 0 means that the row is absent. Each write assigns a higher version.
struct TableRow {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

/// Precondition of a transaction: the row has exactly this version.
struct TableCheck {
  std::string key;
  uint64_t version = 0;
};

/// Writes a row, or removes it.
struct TablePut {
  std::string key;
  std::string value;
  bool remove = false;
};

struct TableTransaction {
  std::vector<TableCheck> checks;
  std::vector<TablePut> puts;
};

enum class TableStatus : uint8_t {
  kOk,
  /// A check did not hold; nothing was written.
  kConflict,
  /// The request certainly had no effect.
  kUnavailable,
  /// The answer was lost; a transaction may have taken effect.
  kUnknown,
};
inline constexpr auto kTableStatusNames =
    MakeNameTable<TableStatus>({{TableStatus::kOk, "ok"},
                                {TableStatus::kConflict, "conflict"},
                                {TableStatus::kUnavailable, "unavailable"},
                                {TableStatus::kUnknown, "unknown"}});

struct TransactResult {
  TableStatus status = TableStatus::kUnknown;
  /// The new version of all rows written.
  uint64_t version = 0;
  /// For a conflict: the row whose check failed, as it is now.
  TableRow conflict;
};

struct ReadResult {
  TableStatus status = TableStatus::kUnknown;
  std::vector<TableRow> rows;
  /// Scans only: key to continue after, empty at the end.
  std::string next;
};

/// The service at one base URL.
struct TableClient {
  HttpClient& http;
  std::string base_url;
  int64_t timeout_ms = 1'000;
};

void Transact(const TableClient& client, const TableTransaction& transaction,
              std::function<void(TransactResult)> done);

/// Reads rows by key; absent ones are returned with version 0.
void ReadRows(const TableClient& client, const std::vector<std::string>& keys,
              std::function<void(ReadResult)> done);

/// Reads up to `limit` rows whose key starts with `prefix`, in key order,
/// after the key `after`.
void ScanRows(const TableClient& client, const std::string& prefix,
              const std::string& after, uint32_t limit,
              std::function<void(ReadResult)> done);

/// Reads all pages of a prefix; one failed page fails the whole scan.
void ScanAllRows(const TableClient& client, const std::string& prefix,
                 std::function<void(ReadResult)> done);

}  // namespace dotterelcove
