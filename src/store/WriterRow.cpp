#include "store/WriterRow.h"

#include <nlohmann/json.hpp>

namespace dotterelcove {
namespace {

using nlohmann::json;

json MarkToJson(const WriterMark& mark) {
  return json::array({mark.owner, mark.sequence});
}

bool MarkFromJson(const json& value, WriterMark& mark) {
  if (!value.is_array() || value.size() != 2 ||
      !value[0].is_number_unsigned() || !value[1].is_number_unsigned()) {
    return false;
  }
  mark = {value[0].get<uint64_t>(), value[1].get<uint64_t>()};
  return true;
}

}  // namespace

std::string WriterRowKey(uint32_t partition) {
  return "writer/" + std::to_string(partition);
}

std::string WriterRowToJson(const WriterRow& row) {
  json past = json::array();
  for (const WriterMark& mark : row.past) past.push_back(MarkToJson(mark));
  return json{{"last", MarkToJson(row.last)}, {"past", std::move(past)}}.dump();
}

bool WriterRowFromJson(const std::string& text, WriterRow& row) {
  row = {};
  if (text.empty()) return true;
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("last") || !body.contains("past") ||
      !MarkFromJson(body["last"], row.last) || !body["past"].is_array()) {
    return false;
  }
  for (const json& entry : body["past"]) {
    WriterMark mark;
    if (!MarkFromJson(entry, mark)) return false;
    row.past.push_back(mark);
  }
  return true;
}

WriterRow AdvanceWriterRow(const WriterRow& row, const WriterMark& next) {
  WriterRow after = row;
  if (row.last.owner != next.owner && row.last.owner != 0) {
    after.past.insert(after.past.begin(), row.last);
    if (after.past.size() > kPastWriterMarks) after.past.pop_back();
  }
  after.last = next;
  return after;
}

std::optional<bool> WasCommitted(const WriterRow& row, const WriterMark& mark) {
  if (row.last.owner == mark.owner) return row.last.sequence >= mark.sequence;
  for (const WriterMark& past : row.past) {
    if (past.owner == mark.owner) return past.sequence >= mark.sequence;
  }
  // Absent from a complete list: that owner never committed anything. Owner row
  // versions only rise, so an older entry shows that nothing was dropped since.
  if (row.past.size() < kPastWriterMarks) return false;
  if (row.past.back().owner < mark.owner) return false;
  return std::nullopt;
}

}  // namespace dotterelcove
