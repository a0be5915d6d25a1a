#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "border/vmlist/VmList.h"
#include "config/ServiceFiles.h"
#include "operator/CellFile.h"
#include "operator/DaemonOptions.h"

namespace dotterelcove {
namespace {

namespace fs = std::filesystem;

/// The root of the source tree. __FILE__ is absolute, or relative to the build
/// folder, in which this binary lies.
fs::path Root() {
  const fs::path file = __FILE__;
  const fs::path binary = fs::read_symlink("/proc/self/exe");
  return (binary.parent_path() / file).parent_path().parent_path();
}

template <class F>
std::string FaultsOf(F read) {
  return leaf::try_handle_all(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(read());
        return std::string();
      },
      [](const SettingsError& error) { return FormatFaults(error); },
      [](const CellFileError& error) { return error.message; },
      [] { return std::string("other error"); });
}

std::string ReadFile(const fs::path& file) {
  std::ifstream stream(file);
  return {std::istreambuf_iterator<char>(stream),
          std::istreambuf_iterator<char>()};
}

/// A folder that is removed at the end of the test.
struct TemporaryFolder {
  fs::path path;
  TemporaryFolder() {
    std::string pattern = (fs::temp_directory_path() / "dc-XXXXXX").string();
    path = mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { fs::remove_all(path); }
};

int RunPrepare(std::vector<std::string> words, bool& run) {
  words.insert(words.begin(), "program");
  std::vector<char*> argv;
  for (std::string& word : words) argv.push_back(word.data());
  const DaemonStart start = PrepareDaemon(
      "program", "purpose", static_cast<int>(argv.size()), argv.data());
  run = start.should_run;
  return start.exit_code;
}

}  // namespace

// Guards against shipped examples that the programs refuse.
Test(Examples, are_accepted) {
  for (const char* deployment : {"ulaanbaatar", "volta"}) {
    const fs::path folder = Root() / "examples" / deployment;
    for (const char* daemon : {"entryd.json", "schedd.json"}) {
      const std::string faults =
          FaultsOf([&] { return LoadDaemonSettings(folder / daemon); });
      cr_expect(faults.empty(), "%s", faults.c_str());
    }
    std::string faults =
        FaultsOf([&] { return LoadCellFile(folder / "cell.json"); });
    cr_expect(faults.empty(), "%s", faults.c_str());
    faults = FaultsOf([&] { return CollectServiceFiles({folder / "config"}); });
    cr_expect(faults.empty(), "%s", faults.c_str());
  }
}

// Guards against a generator whose output the programs refuse.
Test(Examples, generated_deployments_are_accepted) {
  for (const char* deployment : {"ulaanbaatar", "volta"}) {
    const TemporaryFolder folder;
    const std::string command = (Root() / "tools/make-deployment").string() +
                                " --deployment " + deployment + " --out " +
                                folder.path.string() + " >/dev/null";
    cr_assert_eq(std::system(command.c_str()), 0);
    size_t count = 0;
    for (const auto& entry : fs::directory_iterator(folder.path / "settings")) {
      const std::string faults =
          FaultsOf([&] { return LoadDaemonSettings(entry.path()); });
      cr_expect(faults.empty(), "%s", faults.c_str());
      count++;
    }
    cr_expect_eq(count, 18u, "two daemons on each of nine entry VMs");
    std::string faults =
        FaultsOf([&] { return LoadCellFile(folder.path / "cell.json"); });
    cr_expect(faults.empty(), "%s", faults.c_str());
    faults =
        FaultsOf([&] { return CollectServiceFiles({folder.path / "config"}); });
    cr_expect(faults.empty(), "%s", faults.c_str());
    std::vector<Vm> vms;
    cr_assert(VmsFromJson(ReadFile(folder.path / "vms.json"), vms));
    cr_expect_eq(vms.size(), 100u, "50 workers and 50 endpoints");
  }
}

// Guards against a daemon that starts on bad settings, or reports success.
Test(Examples, daemons_refuse_bad_settings) {
  const TemporaryFolder folder;
  const std::string good = ReadFile(Root() / "examples/volta/schedd.json");
  struct Case {
    const char* name;
    std::string text;
    bool check_only;
    int exit_code;
    bool run;
  };
  const Case cases[] = {
      {"good", good, false, 0, true},
      {"good, check only", good, true, 0, false},
      {"empty", "", false, 1, false},
      {"no object", "[]", true, 1, false},
      {"cut short", good.substr(0, good.size() / 2), false, 1, false},
      {"unknown key", "{\"proces\": \"x\"}", true, 1, false},
  };
  for (const Case& test_case : cases) {
    const std::string file = folder.path / "settings.json";
    std::ofstream(file) << test_case.text;
    std::vector<std::string> words = {"--settings", file};
    if (test_case.check_only) words.emplace_back("--check-settings");
    bool run = false;
    cr_expect_eq(RunPrepare(words, run), test_case.exit_code, "%s",
                 test_case.name);
    cr_expect_eq(run, test_case.run, "%s", test_case.name);
  }
  bool run = false;
  cr_expect_eq(RunPrepare({"--settings", "/none"}, run), 1);
  cr_expect_not(run);
  cr_expect_eq(RunPrepare({"--setings", "/none"}, run), 2);
  cr_expect_not(run);
}

}  // namespace dotterelcove
