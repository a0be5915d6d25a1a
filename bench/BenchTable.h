/// The table of measurements: one row per target or comparison.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dotterelcove::bench {

struct BenchRow {
  std::string name;
  std::string unit;
  /// The target in words, empty for a row that only informs.
  std::string target;
  std::optional<double> baseline;
  double ours = 0;
  /// Set for rows with a target.
  std::optional<bool> met;
  std::string note;
};

struct BenchTable {
  uint64_t seed = 1;
  /// Only groups whose name contains this run; empty for all.
  std::string group_filter;
  std::vector<BenchRow> rows;
};

void AddRow(BenchTable& table, BenchRow row);
void PrintTable(const BenchTable& table);
std::string ToJson(const BenchTable& table);

}  // namespace dotterelcove::bench
