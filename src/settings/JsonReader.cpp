#include "settings/JsonReader.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace dotterelcove {
namespace {

using nlohmann::json;

constexpr size_t kMaxShownValueBytes = 80;

/// Reads a text and counts the lines read; copies share the count.
struct CountingIterator {
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  const char* at = nullptr;
  int* line = nullptr;
  const char** position = nullptr;

  reference operator*() const { return *this->at; }
  CountingIterator& operator++() {
    if (*this->at == '\n') ++*this->line;
    ++this->at;
    *this->position = this->at;
    return *this;
  }
  CountingIterator operator++(int) {
    CountingIterator before = *this;
    ++*this;
    return before;
  }
  friend bool operator==(const CountingIterator& a, const CountingIterator& b) {
    return a.at == b.at;
  }
};

/// Receives the parser's events and notes the line of every member.
struct Locator {
  struct Level {
    std::string path;
    bool is_array = false;
    size_t index = 0;
    std::string key;
    std::set<std::string> keys;
  };

  JsonSource& source;
  int line = 1;
  const char* position = nullptr;
  std::vector<Level> levels;

  std::string MemberPath() const {
    if (this->levels.empty()) return "";
    const Level& level = this->levels.back();
    if (level.is_array) {
      return level.path + "[" + std::to_string(level.index) + "]";
    }
    return level.path.empty() ? level.key : level.path + "." + level.key;
  }

  /// The parser reads one byte past a number; a line end there is not counted.
  int LineOfNumber() const {
    return this->position[-1] == '\n' ? this->line - 1 : this->line;
  }

  bool RecordMember(int at_line) {
    this->source.lines.emplace(this->MemberPath(), at_line);
    this->Advance();
    return true;
  }
  void Advance() {
    if (!this->levels.empty()) this->levels.back().index++;
  }
  bool Open(bool is_array) {
    const std::string path = this->MemberPath();
    this->source.lines.emplace(path, this->line);
    this->Advance();
    this->levels.push_back({path, is_array, 0, {}, {}});
    return true;
  }
  bool Close() {
    this->levels.pop_back();
    return true;
  }

  // The names below are those that the library's parser calls.
  bool null() { return this->RecordMember(this->line); }
  bool boolean(bool) { return this->RecordMember(this->line); }
  bool number_integer(json::number_integer_t) {
    return this->RecordMember(this->LineOfNumber());
  }
  bool number_unsigned(json::number_unsigned_t) {
    return this->RecordMember(this->LineOfNumber());
  }
  bool number_float(json::number_float_t, const std::string&) {
    return this->RecordMember(this->LineOfNumber());
  }
  bool string(std::string&) { return this->RecordMember(this->line); }
  bool binary(json::binary_t&) { return this->RecordMember(this->line); }
  bool start_object(std::size_t) { return this->Open(false); }
  bool end_object() { return this->Close(); }
  bool start_array(std::size_t) { return this->Open(true); }
  bool end_array() { return this->Close(); }
  bool key(std::string& name) {
    Level& level = this->levels.back();
    level.key = name;
    const std::string path = this->MemberPath();
    if (!level.keys.insert(name).second) {
      this->source.faults.push_back(
          {this->source.file, this->line, path, "", "each key once"});
    }
    this->source.lines.emplace(path, this->line);
    return true;
  }
  bool parse_error(std::size_t, const std::string& token,
                   const nlohmann::detail::exception&) {
    this->source.faults.push_back(
        {this->source.file, this->line, this->MemberPath(),
         token.substr(0, kMaxShownValueBytes), "JSON with comments"});
    return false;
  }
};

std::string FormatValue(const json* value) {
  if (value == nullptr) return "(absent)";
  std::string text =
      value->dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMaxShownValueBytes) {
    text.resize(kMaxShownValueBytes);
    text.append("…");
  }
  return text;
}

int LineOf(const JsonSource& source, const std::string& path) {
  const auto found = source.lines.find(path);
  return found == source.lines.end() ? 0 : found->second;
}

}  // namespace

JsonSource ParseJsonSource(const std::string& text, const std::string& file) {
  JsonSource source;
  source.file = file;
  source.root = json::object();
  Locator locator{source, 1, text.data(), {}};
  const CountingIterator begin{text.data(), &locator.line, &locator.position};
  const CountingIterator end{text.data() + text.size(), &locator.line,
                             &locator.position};
  if (!json::sax_parse(begin, end, &locator, json::input_format_t::json, true,
                       true)) {
    return source;
  }
  json root = json::parse(text, nullptr, false, true);
  if (!root.is_object()) {
    source.faults.push_back({file, 1, "", FormatValue(&root), "an object"});
    return source;
  }
  source.root = std::move(root);
  return source;
}

JsonNode RootOf(JsonSource& source) { return {&source, &source.root, ""}; }

std::string PathOf(const JsonNode& node, std::string_view key) {
  std::string path = node.path;
  if (!path.empty()) path.append(".");
  return path.append(key);
}

const json* FindMember(const JsonNode& node, std::string_view key) {
  if (node.value == nullptr) return nullptr;
  const auto found = node.value->find(std::string(key));
  return found == node.value->end() ? nullptr : &*found;
}

void AddFault(const JsonNode& node, std::string_view key, std::string allowed) {
  const std::string path = PathOf(node, key);
  int line = LineOf(*node.source, path);
  if (line == 0) line = std::max(1, LineOf(*node.source, node.path));
  node.source->faults.push_back({node.source->file, line, path,
                                 FormatValue(FindMember(node, key)),
                                 std::move(allowed)});
}

bool RequireMember(const JsonNode& node, std::string_view key,
                   std::string_view allowed) {
  if (FindMember(node, key) != nullptr) return true;
  AddFault(node, key, std::string(allowed));
  return false;
}

void RejectUnknownMembers(const JsonNode& node,
                          std::initializer_list<std::string_view> known) {
  if (node.value == nullptr) return;
  for (const auto& [name, value] : node.value->items()) {
    if (std::find(known.begin(), known.end(), name) != known.end()) continue;
    std::string allowed = "no such key; known are";
    for (const std::string_view key : known) allowed.append(" ").append(key);
    AddFault(node, name, std::move(allowed));
  }
}

JsonNode ReadObject(const JsonNode& node, std::string_view key) {
  JsonNode child{node.source, nullptr, PathOf(node, key)};
  const json* member = FindMember(node, key);
  if (member == nullptr) return child;
  if (!member->is_object()) {
    AddFault(node, key, "an object");
    return child;
  }
  child.value = member;
  return child;
}

void ReadInteger(const JsonNode& node, std::string_view key, int64_t low,
                 int64_t high, int64_t& target) {
  const json* member = FindMember(node, key);
  if (member == nullptr) return;
  const bool fits =
      member->is_number_integer() &&
      !(member->is_number_unsigned() &&
        member->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX));
  if (!fits || member->get<int64_t>() < low || member->get<int64_t>() > high) {
    AddFault(node, key,
             "a whole number from " + std::to_string(low) + " to " +
                 std::to_string(high));
    return;
  }
  target = member->get<int64_t>();
}

void ReadFlag(const JsonNode& node, std::string_view key, bool& target) {
  const json* member = FindMember(node, key);
  if (member == nullptr) return;
  if (!member->is_boolean()) {
    AddFault(node, key, "true or false");
    return;
  }
  target = member->get<bool>();
}

void ReadText(const JsonNode& node, std::string_view key,
              bool (*is_allowed)(const std::string&), std::string_view allowed,
              std::string& target) {
  const json* member = FindMember(node, key);
  if (member == nullptr) return;
  if (!member->is_string() ||
      !is_allowed(member->get_ref<const std::string&>())) {
    AddFault(node, key, std::string(allowed));
    return;
  }
  target = member->get<std::string>();
}

void ReadTexts(const JsonNode& node, std::string_view key,
               bool (*is_allowed)(const std::string&), std::string_view allowed,
               std::vector<std::string>& target) {
  const json* member = FindMember(node, key);
  if (member == nullptr) return;
  if (!member->is_array()) {
    AddFault(node, key, "a list of texts, each " + std::string(allowed));
    return;
  }
  std::vector<std::string> read;
  for (size_t i = 0; i < member->size(); ++i) {
    const json& entry = (*member)[i];
    if (entry.is_string() && is_allowed(entry.get_ref<const std::string&>())) {
      read.push_back(entry.get<std::string>());
      continue;
    }
    const std::string path = PathOf(node, key) + "[" + std::to_string(i) + "]";
    node.source->faults.push_back({node.source->file,
                                   LineOf(*node.source, path), path,
                                   FormatValue(&entry), std::string(allowed)});
  }
  target = std::move(read);
}

bool IsIdentifier(const std::string& text) {
  return !text.empty() && text.size() <= 64 &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
         });
}

}  // namespace dotterelcove
