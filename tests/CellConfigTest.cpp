#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "config/CellConfig.h"
#include "config/ConfigDiff.h"
#include "config/ServiceFiles.h"

namespace dotterelcove {
namespace {

constexpr const char* kTeams = R"(// Teams of the cell.
{"teams": {"care": {"quota": {"milli_cores": 64000, "memory_mb": 1024}}},
 "callers": {"default": {"max_in_progress": 5}}}
)";
constexpr const char* kService = R"({
  "service": "stepline",
  "team": "care",
  "kinds": {
    // Held open.
    "dispatch": {"delivery": "route", "class": "urgent", "deadline_ms": 2000},
    "audit": {"delivery": "place", "class": "batch", "tasks": 2, "gang": true,
              "size": {"milli_cores": 4000, "memory_mb": 8192}}
  }
}
)";

SettingsError FaultsOf(const std::vector<ServiceFile>& files) {
  return leaf::try_handle_all(
      [&]() -> Result<SettingsError> {
        BOOST_LEAF_CHECK(MergeServiceFiles(files));
        return SettingsError{};
      },
      [](const SettingsError& error) { return error; },
      [] {
        return SettingsError{{{"other error", 0, "", "", ""}}};
      });
}

CellConfig Merge(const std::vector<ServiceFile>& files) {
  return leaf::try_handle_all([&] { return MergeServiceFiles(files); },
                              [] { return CellConfig{}; });
}

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  const size_t at = text.find(from);
  cr_assert(at != std::string::npos, "%s", from.c_str());
  return text.replace(at, from.size(), to);
}

}  // namespace

// Guards against content that changes its digest, or its meaning, on the way
// from a service file to a process.
Test(CellConfig, has_one_canonical_content) {
  const CellConfig config =
      Merge({{"cell.json", kTeams}, {"stepline.json", kService}});
  const KindConfig* audit = FindKind(config, "stepline", "audit");
  cr_assert_not_null(audit);
  cr_expect(audit->gang && audit->tasks == 2 && audit->idempotent);
  cr_expect_eq(audit->size.memory_mb, 8192);
  cr_expect_eq(config.callers.at("default").max_in_progress, 5);
  cr_expect_null(FindKind(config, "stepline", "watch"));
  cr_expect_null(FindKind(config, "polecheck", "audit"));
  const std::string content = SerializeCellConfig(config);
  const CellConfig again = leaf::try_handle_all(
      [&] { return ParseCellConfig(content, 9, "config/9"); },
      [] { return CellConfig{}; });
  cr_expect_eq(again.version, 9u);
  cr_expect(SerializeCellConfig(again) == content);
  // The order of files and members must not matter.
  cr_expect(SerializeCellConfig(Merge({{"stepline.json", kService},
                                       {"cell.json", kTeams}})) == content);
}

// Guards against publishing a configuration that the processes would reject.
Test(CellConfig, names_the_file_and_line_of_each_fault) {
  struct Case {
    std::string service;
    int line;
    const char* key;
  };
  const Case cases[] = {
      {Replace(kService, "\"stepline\"", "\"step line\""), 2, "service"},
      {Replace(kService, "  \"service\": \"stepline\",\n", ""), 1, "service"},
      {Replace(kService, "\"care\"", "\"crew\""), 3, "team"},
      {Replace(kService, "\"kinds\"", "\"kind\""), 4, "kind"},
      {Replace(kService, "\"route\"", "\"push\""), 6,
       "kinds.dispatch.delivery"},
      {Replace(kService, "\"class\": \"urgent\", ", ""), 6,
       "kinds.dispatch.class"},
      {Replace(kService, "\"urgent\"", "\"service\""), 6,
       "kinds.dispatch.class"},
      {Replace(kService, "2000", "-1"), 6, "kinds.dispatch.deadline_ms"},
      {Replace(kService, "\"deadline_ms\": 2000", "\"tasks\": 2"), 6,
       "kinds.dispatch.tasks"},
      {Replace(kService, "\"tasks\": 2", "\"tasks\": 1"), 7,
       "kinds.audit.tasks"},
      {Replace(kService, "4000", "0"), 8, "kinds.audit.size"},
      {Replace(kService, "4000", "4.5"), 8, "kinds.audit.size.milli_cores"},
      {Replace(kService, "memory_mb", "memory"), 8, "kinds.audit.size.memory"},
  };
  for (const Case& test_case : cases) {
    const SettingsError error =
        FaultsOf({{"cell.json", kTeams}, {"stepline.json", test_case.service}});
    bool found = false;
    for (const SettingsFault& fault : error.faults) {
      found |= fault.file == "stepline.json" && fault.line == test_case.line &&
               fault.key == test_case.key;
    }
    cr_expect(found, "expected line %d %s, got: %s", test_case.line,
              test_case.key, FormatFaults(error).c_str());
  }
  const SettingsError twice = FaultsOf({{"cell.json", kTeams},
                                        {"a.json", kService},
                                        {"b.json", kService},
                                        {"c.json", kTeams}});
  cr_expect_eq(twice.faults.size(), 3u, "service, team and caller: %s",
               FormatFaults(twice).c_str());
}

// Guards against service files that are overlooked in a folder.
Test(CellConfig, collects_the_files_of_folders) {
  namespace fs = std::filesystem;
  std::string name = (fs::temp_directory_path() / "cell-XXXXXX").string();
  const fs::path folder = mkdtemp(name.data());
  fs::create_directories(folder / "stepline");
  std::ofstream(folder / "cell.json") << kTeams;
  std::ofstream(folder / "stepline" / "service.json") << kService;
  std::ofstream(folder / "notes.txt") << "no service";
  const auto collect = [&](const std::vector<std::string>& folders) {
    return leaf::try_handle_all([&] { return CollectServiceFiles(folders); },
                                [] { return CellConfig{}; });
  };
  cr_expect_eq(collect({folder.string()}).services.size(), 1u);
  cr_expect_eq(collect({folder.string(), (folder / "stepline").string()})
                   .services.size(),
               1u, "a file reached twice counts once");
  cr_expect_eq(collect({(folder / "absent").string()}).teams.size(), 0u);
  fs::remove_all(folder);
}

// Guards against a difference that omits a changed value.
Test(CellConfig, shows_each_value_that_differs) {
  const CellConfig before =
      Merge({{"cell.json", kTeams}, {"s.json", kService}});
  CellConfig after = before;
  cr_expect(DiffConfigs(before, after).empty());
  after.services["stepline"].kinds["dispatch"].deadline_ms = 3'000;
  after.services["stepline"].kinds.erase("audit");
  after.callers["desk"] = {};
  const std::string shown = DiffConfigs(before, after);
  for (const char* line :
       {"~ services/stepline/kinds/dispatch/deadline_ms: 2000 -> 3000\n",
        "- services/stepline/kinds/audit/gang = true\n",
        "+ callers/desk/max_in_progress = 1000\n"}) {
    cr_expect(shown.find(line) != std::string::npos, "%s in %s", line,
              shown.c_str());
  }
}

}  // namespace dotterelcove
