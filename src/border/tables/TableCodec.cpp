#include "border/tables/TableCodec.h"

#include <nlohmann/json.hpp>

#include "border/tables/JsonBytes.h"

namespace dotterelcove {
namespace {

using nlohmann::json;

json Parse(const std::string& text) {
  return json::parse(text, nullptr, false);
}

bool GetBytes(const json& object, const char* name, std::string& bytes) {
  if (!object.is_object()) return false;
  const auto found = object.find(name);
  return found != object.end() && BytesFromJson(*found, bytes);
}

bool GetNumber(const json& object, const char* name, uint64_t& number) {
  if (!object.is_object()) return false;
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number_unsigned()) return false;
  number = found->get<uint64_t>();
  return true;
}

const json* FindArray(const json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  const auto found = object.find(name);
  return found != object.end() && found->is_array() ? &*found : nullptr;
}

json RowToJson(const TableRow& row) {
  return {{"key", BytesToJson(row.key)},
          {"value", BytesToJson(row.value)},
          {"version", row.version}};
}

bool RowFromJson(const json& object, TableRow& row) {
  return GetBytes(object, "key", row.key) &&
         GetBytes(object, "value", row.value) &&
         GetNumber(object, "version", row.version);
}

}  // namespace

std::string TransactionToJson(const TableTransaction& transaction) {
  json checks = json::array();
  for (const TableCheck& check : transaction.checks) {
    checks.push_back(
        {{"key", BytesToJson(check.key)}, {"version", check.version}});
  }
  json puts = json::array();
  for (const TablePut& put : transaction.puts) {
    json entry = {{"key", BytesToJson(put.key)}};
    if (put.remove) {
      entry["remove"] = true;
    } else {
      entry["value"] = BytesToJson(put.value);
    }
    puts.push_back(std::move(entry));
  }
  return json{{"checks", std::move(checks)}, {"puts", std::move(puts)}}.dump();
}

bool TransactionFromJson(const std::string& text,
                         TableTransaction& transaction) {
  const json body = Parse(text);
  const json* checks = FindArray(body, "checks");
  const json* puts = FindArray(body, "puts");
  if (checks == nullptr || puts == nullptr) return false;
  transaction = {};
  for (const json& entry : *checks) {
    TableCheck check;
    if (!GetBytes(entry, "key", check.key) ||
        !GetNumber(entry, "version", check.version)) {
      return false;
    }
    transaction.checks.push_back(std::move(check));
  }
  for (const json& entry : *puts) {
    TablePut put;
    if (!GetBytes(entry, "key", put.key)) return false;
    put.remove = entry.value("remove", json()) == json(true);
    if (!put.remove && !GetBytes(entry, "value", put.value)) return false;
    transaction.puts.push_back(std::move(put));
  }
  return true;
}

std::string KeysToJson(const std::vector<std::string>& keys) {
  json list = json::array();
  for (const std::string& key : keys) list.push_back(BytesToJson(key));
  return json{{"keys", std::move(list)}}.dump();
}

bool KeysFromJson(const std::string& text, std::vector<std::string>& keys) {
  const json body = Parse(text);
  const json* list = FindArray(body, "keys");
  if (list == nullptr) return false;
  keys.clear();
  for (const json& entry : *list) {
    std::string key;
    if (!BytesFromJson(entry, key)) return false;
    keys.push_back(std::move(key));
  }
  return true;
}

std::string ScanRequestToJson(const ScanRequest& request) {
  return json{{"prefix", BytesToJson(request.prefix)},
              {"after", BytesToJson(request.after)},
              {"limit", request.limit}}
      .dump();
}

bool ScanRequestFromJson(const std::string& text, ScanRequest& request) {
  const json body = Parse(text);
  uint64_t limit = 0;
  if (!GetBytes(body, "prefix", request.prefix) ||
      !GetBytes(body, "after", request.after) ||
      !GetNumber(body, "limit", limit) || limit == 0 || limit > UINT32_MAX) {
    return false;
  }
  request.limit = static_cast<uint32_t>(limit);
  return true;
}

std::string RowsToJson(const ReadResult& result) {
  json rows = json::array();
  for (const TableRow& row : result.rows) rows.push_back(RowToJson(row));
  return json{{"rows", std::move(rows)}, {"next", BytesToJson(result.next)}}
      .dump();
}

bool RowsFromJson(const std::string& text, ReadResult& result) {
  const json body = Parse(text);
  const json* rows = FindArray(body, "rows");
  if (rows == nullptr || !GetBytes(body, "next", result.next)) return false;
  result.rows.clear();
  for (const json& entry : *rows) {
    TableRow row;
    if (!RowFromJson(entry, row)) return false;
    result.rows.push_back(std::move(row));
  }
  return true;
}

std::string CommitToJson(uint64_t version) {
  return json{{"version", version}}.dump();
}

bool CommitFromJson(const std::string& text, uint64_t& version) {
  return GetNumber(Parse(text), "version", version);
}

std::string ConflictToJson(const TableRow& row) {
  return json{{"conflict", RowToJson(row)}}.dump();
}

bool ConflictFromJson(const std::string& text, TableRow& row) {
  const json body = Parse(text);
  if (!body.is_object()) return false;
  const auto found = body.find("conflict");
  return found != body.end() && RowFromJson(*found, row);
}

}  // namespace dotterelcove
