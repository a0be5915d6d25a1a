/// JSON bodies of the table service's HTTP interface, shared by the client and
/// the stand-in; see docs/platform-protocol.md. The `…FromJson` functions
/// return false for malformed input.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "border/tables/TableClient.h"

namespace dotterelcove {

/// Body of POST /v1/scan.
struct ScanRequest {
  std::string prefix;
  std::string after;
  uint32_t limit = 0;
};

std::string TransactionToJson(const TableTransaction& transaction);
bool TransactionFromJson(const std::string& text,
                         TableTransaction& transaction);

std::string KeysToJson(const std::vector<std::string>& keys);
bool KeysFromJson(const std::string& text, std::vector<std::string>& keys);

std::string ScanRequestToJson(const ScanRequest& request);
bool ScanRequestFromJson(const std::string& text, ScanRequest& request);

/// Answers of reads and scans.
std::string RowsToJson(const ReadResult& result);
bool RowsFromJson(const std::string& text, ReadResult& result);

/// Answers of transactions, with status 200 and 409.
std::string CommitToJson(uint64_t version);
bool CommitFromJson(const std::string& text, uint64_t& version);
std::string ConflictToJson(const TableRow& row);
bool ConflictFromJson(const std::string& text, TableRow& row);

}  // namespace dotterelcove
