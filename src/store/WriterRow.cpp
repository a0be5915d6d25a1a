#include "store/WriterRow.h"

#include <nlohmann/json.hpp>

namespace dotterelcove {
namespace {

using nlohmann::json;

json TransactionIdToJson(const TransactionId& id) {
  return json::array({id.owner_row_version, id.sequence});
}

bool TransactionIdFromJson(const json& value, TransactionId& id) {
  if (!value.is_array() || value.size() != 2 ||
      !value[0].is_number_unsigned() || !value[1].is_number_unsigned()) {
    return false;
  }
  id = {value[0].get<uint64_t>(), value[1].get<uint64_t>()};
  return true;
}

}  // namespace

std::string WriterRowKey(uint32_t partition) {
  return "writer/" + std::to_string(partition);
}

std::string WriterRowToJson(const WriterRow& row) {
  json past = json::array();
  for (const TransactionId& id : row.past) {
    past.push_back(TransactionIdToJson(id));
  }
  return json{{"last", TransactionIdToJson(row.last)},
              {"past", std::move(past)}}
      .dump();
}

bool WriterRowFromJson(const std::string& text, WriterRow& row) {
  row = {};
  if (text.empty()) return true;
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("last") || !body.contains("past") ||
      !TransactionIdFromJson(body["last"], row.last) ||
      !body["past"].is_array()) {
    return false;
  }
  for (const json& entry : body["past"]) {
    TransactionId id;
    if (!TransactionIdFromJson(entry, id)) return false;
    row.past.push_back(id);
  }
  return true;
}

WriterRow AdvanceWriterRow(const WriterRow& row, const TransactionId& next) {
  WriterRow after = row;
  if (row.last.owner_row_version != next.owner_row_version &&
      row.last.owner_row_version != 0) {
    after.past.insert(after.past.begin(), row.last);
    if (after.past.size() > kMaxPastTransactions) after.past.pop_back();
  }
  after.last = next;
  return after;
}

std::optional<bool> WasCommitted(const WriterRow& row,
                                 const TransactionId& id) {
  if (row.last.owner_row_version == id.owner_row_version) {
    return row.last.sequence >= id.sequence;
  }
  for (const TransactionId& past : row.past) {
    if (past.owner_row_version == id.owner_row_version) {
      return past.sequence >= id.sequence;
    }
  }
  // An owner that is absent from a complete list never committed anything.
  // Owner row versions only increase, so the list is complete back to its
  // oldest entry.
  if (row.past.size() < kMaxPastTransactions) return false;
  if (row.past.back().owner_row_version < id.owner_row_version) return false;
  return std::nullopt;
}

}  // namespace dotterelcove
