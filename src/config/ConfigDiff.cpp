#include "config/ConfigDiff.h"

#include <map>
#include <nlohmann/json.hpp>

namespace dotterelcove {
namespace {

using nlohmann::json;

/// Values of the canonical content by path, as in "teams/care/quota/memory_mb".
std::map<std::string, std::string> Flatten(const CellConfig& config) {
  const json content =
      json::parse(SerializeCellConfig(config), nullptr, false).flatten();
  std::map<std::string, std::string> values;
  for (const auto& [path, value] : content.items()) {
    if (value.is_null()) continue;
    values[path.substr(1)] = value.dump();
  }
  return values;
}

}  // namespace

std::string DiffConfigs(const CellConfig& before, const CellConfig& after) {
  const auto old_values = Flatten(before);
  const auto new_values = Flatten(after);
  auto all = old_values;
  all.insert(new_values.begin(), new_values.end());
  std::string text;
  for (const auto& [path, any] : all) {
    const auto old_value = old_values.find(path);
    const auto new_value = new_values.find(path);
    if (old_value == old_values.end()) {
      text.append("+ " + path + " = " + new_value->second + "\n");
      continue;
    }
    if (new_value == new_values.end()) {
      text.append("- " + path + " = " + old_value->second + "\n");
      continue;
    }
    if (old_value->second == new_value->second) continue;
    text.append("~ " + path + ": " + old_value->second + " -> " +
                new_value->second + "\n");
  }
  return text;
}

}  // namespace dotterelcove
