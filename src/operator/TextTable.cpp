#include "operator/TextTable.h"

#include <algorithm>
#include <cstddef>

namespace dotterelcove {
namespace {

/// Number of UTF-8 code points, so that names with accents align.
size_t Width(const std::string& text) {
  return static_cast<size_t>(
      std::count_if(text.begin(), text.end(),
                    [](unsigned char byte) { return (byte & 0xc0) != 0x80; }));
}

void PrintRow(const std::vector<std::string>& cells,
              const std::vector<size_t>& widths, std::ostream& out) {
  for (size_t i = 0; i < cells.size(); ++i) {
    out << cells[i];
    if (i + 1 == cells.size()) continue;
    out << std::string(widths[i] + 2 - Width(cells[i]), ' ');
  }
  out << "\n";
}

}  // namespace

std::string Printable(const std::string& text) {
  std::string clean = text;
  std::replace_if(
      clean.begin(), clean.end(),
      [](unsigned char byte) { return byte < 0x20 || byte == 0x7f; }, '?');
  return clean;
}

void PrintTable(const TextTable& table, std::ostream& out) {
  std::vector<std::vector<std::string>> rows = {table.heading};
  for (const auto& row : table.rows) {
    std::vector<std::string>& cells = rows.emplace_back();
    for (const std::string& cell : row) {
      cells.push_back(cell.empty() ? "-" : Printable(cell));
    }
  }
  std::vector<size_t> widths(table.heading.size());
  for (const auto& row : rows) {
    for (size_t i = 0; i < row.size() && i < widths.size(); ++i) {
      widths[i] = std::max(widths[i], Width(row[i]));
    }
  }
  for (const auto& row : rows) PrintRow(row, widths, out);
}

}  // namespace dotterelcove
