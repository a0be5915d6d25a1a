#include "operator/Options.h"

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <cstdint>

#include "operator/NearestName.h"

namespace dotterelcove {
namespace {

/// Values of long options start above all characters, so that getopt_long's
/// answers tell a long option from a short one.
constexpr int kFirstLongOption = 256;

std::vector<std::string> LongNames(const std::vector<OptionSpec>& specs) {
  std::vector<std::string> names;
  names.reserve(specs.size());
  for (const OptionSpec& spec : specs) names.push_back("--" + spec.name);
  return names;
}

/// Describes the argument that getopt_long could not use.
std::string DescribeError(const std::vector<OptionSpec>& specs, int answer,
                          const std::string& argument) {
  const std::string name = argument.substr(0, argument.find('='));
  if (answer == ':') return "option " + name + " needs a value";
  if (optopt >= kFirstLongOption) {
    return "option --" + specs[optopt - kFirstLongOption].name + " takes no value";
  }
  return DescribeUnknown("option", name, LongNames(specs));
}

}  // namespace

std::string ParsedOptions::Get(const std::string& name,
                               const std::string& fallback) const {
  const auto found = this->values.find(name);
  return found == this->values.end() ? fallback : found->second;
}

ParsedOptions ParseOptions(const std::vector<OptionSpec>& specs,
                           const std::vector<std::string>& arguments) {
  std::vector<option> table;
  for (size_t i = 0; i < specs.size(); ++i) {
    table.push_back(
        {specs[i].name.c_str(),
         specs[i].argument.empty() ? no_argument : required_argument, nullptr,
         kFirstLongOption + static_cast<int>(i)});
  }
  table.push_back({nullptr, 0, nullptr, 0});
  std::vector<std::string> copy = {"program"};
  copy.insert(copy.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(copy.size() + 1);
  for (std::string& argument : copy) argv.push_back(argument.data());
  argv.push_back(nullptr);

  ParsedOptions parsed;
  opterr = 0;
  // 0 makes the GNU implementation forget the state of an earlier parse.
  optind = 0;
  const int argc = static_cast<int>(copy.size());
  while (true) {
    const int before = std::max(optind, 1);
    optopt = 0;
    // '-' returns operands in place as answer 1, so that the argument at
    // `before` is always the one an answer is about.
    const int answer =
        getopt_long(argc, argv.data(), "-:", table.data(), nullptr);
    if (answer == -1) break;
    if (answer == 1) {
      parsed.operands.emplace_back(optarg);
      continue;
    }
    if (answer == '?' || answer == ':') {
      parsed.error = DescribeError(specs, answer, argv[before]);
      return parsed;
    }
    const std::string& name = specs[answer - kFirstLongOption].name;
    if (parsed.values.contains(name)) {
      parsed.error = "option --" + name + " is given twice";
      return parsed;
    }
    parsed.values[name] = optarg == nullptr ? "" : optarg;
  }
  for (int i = optind; i < argc; ++i) parsed.operands.emplace_back(argv[i]);
  return parsed;
}

std::string FormatOptions(const std::vector<OptionSpec>& specs) {
  std::vector<std::string> heads;
  size_t width = 0;
  for (const OptionSpec& spec : specs) {
    std::string head = "--" + spec.name;
    if (!spec.argument.empty()) head += " " + spec.argument;
    width = std::max(width, head.size());
    heads.push_back(std::move(head));
  }
  std::string text;
  for (size_t i = 0; i < specs.size(); ++i) {
    text.append("  ").append(heads[i]);
    text.append(width + 2 - heads[i].size(), ' ');
    text.append(specs[i].help).append("\n");
  }
  return text;
}

bool ParseNumberOption(const ParsedOptions& options, const std::string& name,
                       int64_t low, int64_t high, int64_t& value,
                       std::string& error) {
  if (!options.Has(name)) return true;
  const std::string text = options.Get(name);
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number);
  if (read.ec == std::errc() && read.ptr == end && number >= low &&
      number <= high) {
    value = number;
    return true;
  }
  error = "--" + name + " = " + text + ": allowed: " + std::to_string(low) +
          " to " + std::to_string(high);
  return false;
}

}  // namespace dotterelcove
