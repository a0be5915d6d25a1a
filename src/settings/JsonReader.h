/// Checked reading of JSON files with comments: every fault is collected with
/// its line, and values out of range never reach the program.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/NameTable.h"
#include "settings/DaemonSettings.h"

namespace dotterelcove {

/// A parsed file and the faults found in it so far.
struct JsonSource {
  std::string file;
  nlohmann::json root;
  /// Line of each member, by its path as in "timing.owner_lease_ms" or
  /// "schedulers[2]".
  std::map<std::string, int> lines;
  std::vector<SettingsFault> faults;
};

/// One object inside a source. `value` is null for an absent one, which reads
/// as if it were empty.
struct JsonNode {
  JsonSource* source = nullptr;
  const nlohmann::json* value = nullptr;
  std::string path;
};

/// Parses `text`; a syntax error or a repeated key becomes a fault.
JsonSource ParseJsonSource(const std::string& text, const std::string& file);

JsonNode RootOf(JsonSource& source);

/// The path of a member of `node`.
std::string PathOf(const JsonNode& node, std::string_view key);

/// The member `key`, or null.
const nlohmann::json* FindMember(const JsonNode& node, std::string_view key);

/// Adds a fault about the member `key` of `node`.
void AddFault(const JsonNode& node, std::string_view key, std::string allowed);

/// Adds a fault when `key` is absent; returns whether it is present.
bool RequireMember(const JsonNode& node, std::string_view key,
                   std::string_view allowed);

/// Adds a fault for every member that is not in `known`.
void RejectUnknownMembers(const JsonNode& node,
                          std::initializer_list<std::string_view> known);

/// The object `key` of `node`; another type is a fault and reads as empty.
JsonNode ReadObject(const JsonNode& node, std::string_view key);

/// The readers below leave `target` as it is when the member is absent or at
/// fault.
void ReadInteger(const JsonNode& node, std::string_view key, int64_t low,
                 int64_t high, int64_t& target);
void ReadFlag(const JsonNode& node, std::string_view key, bool& target);
/// Text that `is_allowed` accepts; `allowed` describes it.
void ReadText(const JsonNode& node, std::string_view key,
              bool (*is_allowed)(const std::string&), std::string_view allowed,
              std::string& target);
/// A list of such texts.
void ReadTexts(const JsonNode& node, std::string_view key,
               bool (*is_allowed)(const std::string&), std::string_view allowed,
               std::vector<std::string>& target);

/// Text from a table of names.
template <class E, std::size_t N>
void ReadEnum(const JsonNode& node, std::string_view key,
              const NameTable<E, N>& table, E& target) {
  const nlohmann::json* member = FindMember(node, key);
  if (member == nullptr) return;
  if (member->is_string()) {
    const auto value = ValueOf(table, member->get_ref<const std::string&>());
    if (value) {
      target = *value;
      return;
    }
  }
  std::string allowed = "one of";
  for (const auto& row : table.rows) allowed.append(" ").append(row.name);
  AddFault(node, key, allowed);
}

/// 1 to 64 letters, digits, '-', '_' or '.': usable in row keys and URLs.
bool IsIdentifier(const std::string& text);
inline constexpr std::string_view kIdentifierRule =
    "1 to 64 letters, digits, '-', '_' or '.'";

}  // namespace dotterelcove
