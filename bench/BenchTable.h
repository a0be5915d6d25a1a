/// The benchmark result table: one row per target or comparison.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dotterelcove::bench {

struct BenchRow {
  std::string name;
  std::string unit;
  /// The target as printed; empty for an informational row.
  std::string target;
  /// Result of the baseline, in the same unit.
  std::optional<double> baseline;
  /// Result of the system under test.
  double ours = 0;
  /// Whether the target was met; unset for a row without a target.
  std::optional<bool> met;
  std::string note;
};

struct BenchTable {
  uint64_t seed = 1;
  /// Only groups whose name contains this string are run; empty runs all.
  std::string group_filter;
  std::vector<BenchRow> rows;
};

/// Prints the row to standard output at once and appends it to the table.
void AddRow(BenchTable& table, BenchRow row);
/// Prints the column headings and the rows added so far.
void PrintTable(const BenchTable& table);
std::string ToJson(const BenchTable& table);

}  // namespace dotterelcove::bench
