#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace dotterelcove {

/// Replaces control characters, so that untrusted text cannot send escape
/// sequences to the operator's terminal.
std::string Printable(const std::string& text);

/// Rows of text under a heading, for human-readable output.
struct TextTable {
  std::vector<std::string> heading;
  std::vector<std::vector<std::string>> rows;
};

/// Prints columns as wide as their longest cell; the last one is not padded.
void PrintTable(const TextTable& table, std::ostream& out);

}  // namespace dotterelcove
