#include "standins/PlatformTables.h"

#include <nlohmann/json.hpp>

#include "base/Clock.h"
#include "border/tables/JsonBytes.h"

namespace dotterelcove {
namespace {

TableRow FindRow(const PlatformTables& tables, const std::string& key) {
  const auto found = tables.rows.find(key);
  if (found != tables.rows.end()) return found->second;
  TableRow absent;
  absent.key = key;
  return absent;
}

}  // namespace

TransactResult Commit(PlatformTables& tables,
                      const TableTransaction& transaction) {
  TransactResult result;
  for (const TableCheck& check : transaction.checks) {
    TableRow row = FindRow(tables, check.key);
    if (row.version == check.version) continue;
    result.status = TableStatus::kConflict;
    result.conflict = std::move(row);
    return result;
  }
  const uint64_t version = ++tables.version;
  for (const TablePut& put : transaction.puts) {
    if (put.remove) {
      tables.rows.erase(put.key);
      continue;
    }
    tables.rows[put.key] = {put.key, put.value, version};
  }
  tables.journal.push_back(
      {version, WallMs(), MonotonicMs(), transaction.puts});
  result.status = TableStatus::kOk;
  result.version = version;
  return result;
}

ReadResult Read(const PlatformTables& tables,
                const std::vector<std::string>& keys) {
  ReadResult result;
  result.status = TableStatus::kOk;
  for (const std::string& key : keys) {
    result.rows.push_back(FindRow(tables, key));
  }
  return result;
}

ReadResult Scan(const PlatformTables& tables, const ScanRequest& request) {
  ReadResult result;
  result.status = TableStatus::kOk;
  auto at = request.after < request.prefix
                ? tables.rows.lower_bound(request.prefix)
                : tables.rows.upper_bound(request.after);
  for (; at != tables.rows.end(); ++at) {
    if (!at->first.starts_with(request.prefix)) break;
    if (result.rows.size() == request.limit) {
      result.next = result.rows.back().key;
      break;
    }
    result.rows.push_back(at->second);
  }
  return result;
}

std::string JournalToJson(const PlatformTables& tables, uint64_t after) {
  nlohmann::json entries = nlohmann::json::array();
  for (const JournalEntry& entry : tables.journal) {
    if (entry.version <= after) continue;
    nlohmann::json writes = nlohmann::json::array();
    for (const TablePut& put : entry.puts) {
      nlohmann::json write = {{"key", BytesToJson(put.key)}};
      if (put.remove) {
        write["remove"] = true;
      } else {
        write["value"] = BytesToJson(put.value);
      }
      writes.push_back(std::move(write));
    }
    entries.push_back({{"version", entry.version},
                       {"wall_ms", entry.wall_ms},
                       {"monotonic_ms", entry.monotonic_ms},
                       {"writes", std::move(writes)}});
  }
  return nlohmann::json{{"transactions", std::move(entries)}}.dump();
}

}  // namespace dotterelcove
