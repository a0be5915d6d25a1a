#include "bench/BenchTable.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterelcove::bench {
namespace {

std::string Format(std::optional<double> value) {
  if (!value) return "-";
  char text[32];
  std::snprintf(text, sizeof(text), "%.4g", *value);
  return text;
}

std::optional<double> RatioOf(const BenchRow& row) {
  if (!row.baseline || *row.baseline == 0) return std::nullopt;
  return row.ours / *row.baseline;
}

const char* VerdictOf(const BenchRow& row) {
  if (!row.met) return "-";
  return *row.met ? "met" : "MISSED";
}

void PrintRow(const BenchRow& row) {
  std::printf("%-58s %-10s %-16s %10s %10s %8s  %-6s %s\n", row.name.c_str(),
              row.unit.c_str(), row.target.c_str(),
              Format(row.baseline).c_str(), Format(row.ours).c_str(),
              Format(RatioOf(row)).c_str(), VerdictOf(row), row.note.c_str());
  std::fflush(stdout);
}

}  // namespace

void AddRow(BenchTable& table, BenchRow row) {
  PrintRow(row);
  table.rows.push_back(std::move(row));
}

void PrintTable(const BenchTable& table) {
  std::printf("%-58s %-10s %-16s %10s %10s %8s  %-6s %s\n", "measure", "unit",
              "target", "baseline", "ours", "ratio", "", "note");
  for (const BenchRow& row : table.rows) PrintRow(row);
}

std::string ToJson(const BenchTable& table) {
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const BenchRow& row : table.rows) {
    nlohmann::ordered_json entry = {{"name", row.name},
                                    {"unit", row.unit},
                                    {"target", row.target},
                                    {"ours", row.ours},
                                    {"note", row.note}};
    if (row.baseline) entry["baseline"] = *row.baseline;
    if (const auto ratio = RatioOf(row)) entry["ratio"] = *ratio;
    if (row.met) entry["met"] = *row.met;
    rows.push_back(std::move(entry));
  }
  return nlohmann::ordered_json{{"seed", table.seed}, {"rows", rows}}.dump(2);
}

}  // namespace dotterelcove::bench
