#include <criterion/criterion.h>

#include <string>

#include "settings/DaemonSettings.h"

namespace dotterelcove {
namespace {

constexpr const char* kValid = R"(// An entry daemon.
{
  "process": "entry-1",
  "zone": "kpong",
  "http": {"address": "127.0.0.1", "port": 7000},
  "schedulers": ["127.0.0.1:7100", "127.0.0.1:7101"],
  "entries": ["entry-1"],
  "platform": {
    "tables": "http://127.0.0.1:7200",
    "objects": "http://127.0.0.1:7200/o",
    "vm_list": "http://127.0.0.1:7200"
  },
  "partition": 0,
  "timing": {"worker_lease_ms": 9000},
  "limits": {"max_in_progress": 7},
  "log_level": "warning"
}
)";

/// The valid settings with one part replaced.
std::string Replace(const std::string& from, const std::string& to) {
  std::string text = kValid;
  const size_t at = text.find(from);
  cr_assert(at != std::string::npos, "%s", from.c_str());
  return text.replace(at, from.size(), to);
}

SettingsError FaultsOf(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> Result<SettingsError> {
        BOOST_LEAF_CHECK(ParseDaemonSettings(text, "entry.json"));
        return SettingsError{};
      },
      [](const SettingsError& error) { return error; },
      [] {
        return SettingsError{{{"other error", 0, "", "", ""}}};
      });
}

}  // namespace

// Guards against settings in the file that are ignored in favour of the
// defaults.
Test(DaemonSettings, reads_every_member) {
  DaemonSettings settings = leaf::try_handle_all(
      [] { return ParseDaemonSettings(kValid, "entry.json"); },
      [] { return DaemonSettings{}; });
  cr_expect_str_eq(settings.process.c_str(), "entry-1");
  cr_expect_str_eq(settings.zone.c_str(), "kpong");
  cr_expect_eq(settings.http.port, 7000);
  cr_expect_eq(settings.peer.port, 0);
  cr_expect_eq(settings.schedulers.size(), 2u);
  cr_expect_eq(settings.entries.size(), 1u);
  cr_expect_str_eq(settings.platform.objects.c_str(),
                   "http://127.0.0.1:7200/o");
  cr_expect_eq(settings.timing.worker_lease_ms, 9'000);
  cr_expect_eq(settings.timing.owner_lease_ms, 900);
  cr_expect_eq(settings.limits.max_in_progress, 7);
  cr_expect(settings.log_level == LogLevel::kWarning);
}

// Guards against a daemon that starts with an invalid value, and against errors
// without the line, key, value or allowed values.
Test(DaemonSettings, names_line_key_value_and_what_is_allowed) {
  struct Case {
    std::string text;
    int line;
    const char* key;
    const char* value;
    const char* allowed;
  };
  const Case cases[] = {
      {Replace("\"entry-1\",", "\"\","), 3, "process", "\"\"", "1 to 64"},
      {Replace("\"entry-1\",", "17,"), 3, "process", "17", "1 to 64"},
      {Replace("  \"zone\": \"kpong\",\n", ""), 2, "zone", "(absent)", "1 to"},
      {Replace("7000", "0"), 5, "http.port", "0", "from 1 to 65535"},
      {Replace("7000", "65536"), 5, "http.port", "65536", "from 1 to 65535"},
      {Replace("7000", "-1"), 5, "http.port", "-1", "from 1 to 65535"},
      {Replace("7000", "70.5"), 5, "http.port", "70.5", "whole number"},
      {Replace("7000", "18446744073709551615"), 5, "http.port",
       "18446744073709551615", "from 1 to 65535"},
      {Replace("7000", "\"7000\""), 5, "http.port", "\"7000\"", "whole number"},
      {Replace("\"port\"", "\"prot\""), 5, "http.prot", "7000", "no such key"},
      {Replace("\"127.0.0.1\", \"port\"", "\"localhost\", \"port\""), 5,
       "http.address", "\"localhost\"", "IP number"},
      {Replace("127.0.0.1:7101", "127.0.0.1:0"), 6, "schedulers[1]",
       "\"127.0.0.1:0\"", "ip:port"},
      {Replace("127.0.0.1:7101", "127.0.0.1:7100"), 6, "schedulers", "[",
       "once"},
      {Replace("[\"127.0.0.1:7100\", \"127.0.0.1:7101\"]", "[]"), 6,
       "schedulers", "[]", "at least one"},
      {Replace("\"http://127.0.0.1:7200\",", "\"127.0.0.1:7200\","), 9,
       "platform.tables", "\"127.0.0.1:7200\"", "http://"},
      {Replace("7200/o", "7200/"), 10, "platform.objects", "\"http", "slash"},
      {Replace("\"partition\": 0", "\"partition\": true"), 13, "partition",
       "true", "whole number"},
      {Replace("9000", "1"), 14, "timing.worker_lease_ms", "1", "from 500"},
      {Replace("\"worker_lease_ms\": 9000", "\"owner_beat_ms\": 450"), 14,
       "timing.owner_beat_ms", "450", "less than half"},
      {Replace("{\"max_in_progress\": 7}", "5"), 15, "limits", "5", "object"},
      {Replace("\"warning\"", "\"loud\""), 16, "log_level", "\"loud\"",
       "one of debug info"},
      {Replace("\"entries\"", "\"zone\""), 7, "zone", "", "once"},
      {Replace("\"partition\": 0,", "\"partition\": 0 0,"), 13, "partition", "",
       "JSON with comments"},
      {"", 1, "", "", "JSON with comments"},
      {"[]", 1, "", "[]", "an object"},
  };
  for (const Case& test_case : cases) {
    const SettingsError error = FaultsOf(test_case.text);
    const std::string shown = FormatFaults(error);
    bool found = false;
    for (const SettingsFault& fault : error.faults) {
      found |= fault.file == "entry.json" && fault.line == test_case.line &&
               fault.key == test_case.key &&
               fault.value.starts_with(test_case.value) &&
               fault.allowed.find(test_case.allowed) != std::string::npos;
    }
    cr_expect(found, "expected line %d %s, got: %s", test_case.line,
              test_case.key, shown.c_str());
  }
}

// Guards against validation that stops at the first error, so that an operator
// has to restart the daemon once per mistake.
Test(DaemonSettings, reports_all_faults_at_once_in_the_order_of_lines) {
  std::string text = Replace("9000", "1");
  text.replace(text.find("\"kpong\""), 7, "\"\"");
  text.replace(text.find("7000"), 4, "99999");
  const SettingsError error = FaultsOf(text);
  cr_assert_eq(error.faults.size(), 3u);
  cr_expect_eq(error.faults[0].line, 4);
  cr_expect_eq(error.faults[1].line, 5);
  cr_expect_eq(error.faults[2].line, 14);
  const std::string shown = FormatFaults(error);
  cr_expect(shown.starts_with("entry.json:4: zone = \"\": allowed: "), "%s",
            shown.c_str());
  const std::string unreadable =
      FormatFaults({{{"a.json", 0, "", "", "a readable file"}}});
  cr_expect(unreadable == "a.json: allowed: a readable file\n", "%s",
            unreadable.c_str());
  const bool loaded = leaf::try_handle_all(
      []() -> Result<bool> {
        BOOST_LEAF_CHECK(LoadDaemonSettings("/nonexistent/entry.json"));
        return true;
      },
      [](const SettingsError&) { return false; }, [] { return true; });
  cr_expect_not(loaded);
}

}  // namespace dotterelcove
