/// Table-driven wrapper of getopt_long that suggests the nearest name for a
/// misspelled option.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dotterelcove {

/// One long option. `argument` is the placeholder of its value, empty for a
/// flag.
struct OptionSpec {
  std::string name;
  std::string argument;
  std::string help;
};

struct ParsedOptions {
  /// Values by option name; flags have the value "".
  std::map<std::string, std::string> values;
  std::vector<std::string> operands;
  /// Error message; empty when the command line is valid.
  std::string error;

  bool Has(const std::string& name) const {
    return this->values.contains(name);
  }
  /// The value, or `fallback` when the option is absent.
  std::string Get(const std::string& name,
                  const std::string& fallback = "") const;
};

/// Parses `arguments` (without the program's name). Options and operands may
/// be mixed; "--" ends the options. An option given twice is an error.
ParsedOptions ParseOptions(const std::vector<OptionSpec>& specs,
                           const std::vector<std::string>& arguments);

/// The options as aligned lines for --help.
std::string FormatOptions(const std::vector<OptionSpec>& specs);

/// Reads a whole number in [low, high]; on failure returns false and sets
/// `error` to "--name = text: allowed: low to high".
bool ParseNumberOption(const ParsedOptions& options, const std::string& name,
                       int64_t low, int64_t high, int64_t& value,
                       std::string& error);

}  // namespace dotterelcove
