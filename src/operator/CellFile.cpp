#include "operator/CellFile.h"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "operator/NearestName.h"

namespace dotterelcove {
namespace {

using Json = nlohmann::json;

constexpr const char* kUrlRule = "\"http://address:port\" without a final /";

bool IsBaseUrl(const Json& value) {
  if (!value.is_string()) return false;
  const auto& text = value.get_ref<const std::string&>();
  constexpr std::string_view kScheme = "http://";
  return text.starts_with(kScheme) && text.size() > kScheme.size() &&
         !text.ends_with("/");
}

auto Fail(const std::string& file, const std::string& key, const Json& value,
          const std::string& allowed) {
  const std::string shown =
      value.dump(-1, ' ', false, Json::error_handler_t::replace);
  return leaf::new_error(CellFileError{file + ": " + key + " = " + shown +
                                       ": allowed: " + allowed});
}

Result<void> ReadUrls(const Json& root, const std::string& file,
                      const std::string& key, std::vector<std::string>& urls) {
  if (!root.contains(key)) return {};
  const Json& list = root[key];
  if (!list.is_array()) {
    return Fail(file, key, list, std::string("a list of ") + kUrlRule);
  }
  for (const Json& url : list) {
    if (!IsBaseUrl(url)) return Fail(file, key, url, kUrlRule);
    urls.push_back(url.get<std::string>());
  }
  return {};
}

Result<void> ReadUrl(const Json& root, const std::string& file,
                     const std::string& key, std::string& url) {
  if (!root.contains(key)) return {};
  if (!IsBaseUrl(root[key])) return Fail(file, key, root[key], kUrlRule);
  url = root[key].get<std::string>();
  return {};
}

}  // namespace

Result<CellFile> ParseCellFile(const std::string& text,
                               const std::string& file) {
  const Json root = Json::parse(text, nullptr, false, true);
  if (!root.is_object()) {
    return leaf::new_error(
        CellFileError{file + ": allowed: one JSON object (with comments)"});
  }
  const std::vector<std::string> known = {"entries", "schedulers", "tables",
                                          "objects"};
  for (const auto& [key, value] : root.items()) {
    if (std::find(known.begin(), known.end(), key) != known.end()) continue;
    return leaf::new_error(
        CellFileError{file + ": " + DescribeUnknown("key", key, known)});
  }
  CellFile cell;
  BOOST_LEAF_CHECK(ReadUrls(root, file, "entries", cell.entries));
  BOOST_LEAF_CHECK(ReadUrls(root, file, "schedulers", cell.schedulers));
  BOOST_LEAF_CHECK(ReadUrl(root, file, "tables", cell.tables));
  BOOST_LEAF_CHECK(ReadUrl(root, file, "objects", cell.objects));
  if (cell.objects.empty()) cell.objects = cell.tables;
  return cell;
}

Result<CellFile> LoadCellFile(const std::string& file) {
  std::ifstream stream(file);
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  if (!stream.good() && text.empty()) {
    return leaf::new_error(CellFileError{file + ": cannot be read"});
  }
  return ParseCellFile(text, file);
}

}  // namespace dotterelcove
