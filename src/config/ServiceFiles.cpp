#include "config/ServiceFiles.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

#include "config/CellConfigReader.h"

namespace dotterelcove {
namespace {

namespace fs = std::filesystem;

/// The place where a service is defined, for checks across files.
struct Definition {
  JsonSource* source = nullptr;
  JsonNode node;
};

void ReadFile(JsonSource& source, CellConfig& config,
              std::map<std::string, Definition>& definitions) {
  const JsonNode root = RootOf(source);
  RejectUnknownMembers(root, {"service", "team", "kinds", "teams", "callers"});
  ReadTeams(ReadObject(root, "teams"), config.teams);
  ReadCallers(ReadObject(root, "callers"), config.callers);
  const bool has_service = FindMember(root, "service") != nullptr ||
                           FindMember(root, "team") != nullptr ||
                           FindMember(root, "kinds") != nullptr;
  if (!has_service) return;
  RequireMember(root, "service", kIdentifierRule);
  std::string name;
  ReadText(root, "service", IsIdentifier, kIdentifierRule, name);
  ServiceConfig service;
  ReadService(root, service);
  if (name.empty()) return;
  if (!config.services.emplace(name, std::move(service)).second) {
    AddFault(root, "service",
             "a service that no other file defines; see " +
                 definitions[name].source->file);
    return;
  }
  definitions[name] = {&source, root};
}

std::vector<SettingsFault> AllFaults(const std::vector<JsonSource>& sources) {
  std::vector<SettingsFault> faults;
  for (const JsonSource& source : sources) {
    faults.insert(faults.end(), source.faults.begin(), source.faults.end());
  }
  return faults;
}

/// Adds the paths of all service files below `folder`; returns false when it
/// cannot be read or holds none.
bool FindFiles(const std::string& folder, std::vector<std::string>& paths) {
  std::error_code error;
  fs::recursive_directory_iterator at(folder, error);
  if (error) return false;
  const size_t before = paths.size();
  for (const auto end = fs::end(at); at != end; at.increment(error)) {
    if (error) return false;
    if (at->path().extension() != ".json") continue;
    if (at->is_regular_file(error)) paths.push_back(at->path().string());
  }
  return paths.size() > before;
}

}  // namespace

Result<CellConfig> MergeServiceFiles(const std::vector<ServiceFile>& files) {
  CellConfig config;
  std::vector<JsonSource> sources;
  sources.reserve(files.size());
  std::map<std::string, Definition> definitions;
  for (const ServiceFile& file : files) {
    sources.push_back(ParseJsonSource(file.text, file.name));
    if (sources.back().faults.empty()) {
      ReadFile(sources.back(), config, definitions);
    }
  }
  for (const auto& [name, service] : config.services) {
    if (service.team.empty() || config.teams.contains(service.team)) continue;
    AddFault(definitions[name].node, "team",
             "a team that a file in the same publication defines");
  }
  auto faults = AllFaults(sources);
  if (!faults.empty()) return leaf::new_error(SettingsError{std::move(faults)});
  return config;
}

Result<CellConfig> CollectServiceFiles(
    const std::vector<std::string>& folders) {
  std::vector<std::string> paths;
  for (const std::string& folder : folders) {
    if (FindFiles(folder, paths)) continue;
    return leaf::new_error(SettingsError{
        {{folder, 0, "", "", "a readable folder with service files *.json"}}});
  }
  // Sorted, since the order of directory entries depends on the file system and
  // that of the reported faults must not.
  std::sort(paths.begin(), paths.end());
  paths.erase(std::unique(paths.begin(), paths.end()), paths.end());
  std::vector<ServiceFile> files;
  for (const std::string& path : paths) {
    std::ifstream stream(path);
    if (!stream.is_open()) {
      return leaf::new_error(
          SettingsError{{{path, 0, "", "", "a readable file"}}});
    }
    files.push_back({path, std::string(std::istreambuf_iterator<char>(stream),
                                       std::istreambuf_iterator<char>())});
  }
  return MergeServiceFiles(files);
}

}  // namespace dotterelcove
