#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "operator/DaemonOptions.h"
#include "operator/NearestName.h"
#include "operator/Options.h"

namespace dotterelcove {

// Guards against a suggestion that names the wrong command.
Test(NearestName, names_the_likeliest_candidate_or_none) {
  const std::vector<std::string> commands = {"submit", "status", "list",
                                             "cancel", "drain",  "events"};
  struct Case {
    const char* typed;
    const char* expected;
  };
  const Case cases[] = {
      {"sumbit", "submit"},
      {"stauts", "status"},
      {"lst", "list"},
      {"lits", "list"},
      {"cancle", "cancel"},
      {"event", "events"},
      {"explode", ""},
      {"x", ""},
      {"", ""},
  };
  for (const Case& test_case : cases) {
    const std::string nearest = NearestName(test_case.typed, commands);
    cr_expect_str_eq(nearest.c_str(), test_case.expected, "%s",
                     test_case.typed);
  }
}

// Guards against an invalid command line that is accepted without an error.
Test(Options, describes_every_fault) {
  const std::vector<OptionSpec> specs = {{"cell", "FILE", "cell file"},
                                         {"json", "", "print JSON"},
                                         {"limit", "N", "rows"}};
  struct Case {
    std::vector<std::string> arguments;
    const char* error;
  };
  const Case cases[] = {
      {{"--cell", "a", "job", "--json"}, ""},
      {{"--", "--json"}, ""},
      {{"--jsn"}, "unknown option --jsn, did you mean --json?"},
      {{"--cel=x"}, ""},
      {{"--cekl=x"}, "unknown option --cekl, did you mean --cell?"},
      {{"--wholly-other"}, "unknown option --wholly-other"},
      {{"job", "--cell"}, "option --cell needs a value"},
      {{"--json=yes"}, "option --json takes no value"},
      {{"--json", "--json"}, "option --json is given twice"},
      {{"-x"}, "unknown option -x"},
  };
  for (const Case& test_case : cases) {
    const ParsedOptions parsed = ParseOptions(specs, test_case.arguments);
    cr_expect_str_eq(parsed.error.c_str(), test_case.error, "%s: %s",
                     test_case.arguments.back().c_str(), parsed.error.c_str());
  }
  const ParsedOptions mixed =
      ParseOptions(specs, {"a", "--cell", "c", "b", "--", "--json"});
  cr_expect_eq(mixed.operands.size(), 3u);
  cr_expect_str_eq(mixed.operands.back().c_str(), "--json");
  cr_expect(!mixed.Has("json"));
  cr_expect(mixed.Get("cell") == "c");
}

// Guards against accepting a number that is malformed or out of range.
Test(Options, checks_numbers) {
  const std::vector<OptionSpec> specs = {{"limit", "N", "rows"}};
  struct Case {
    const char* text;
    bool valid;
  };
  const Case cases[] = {{"1", true},   {"100", true},
                        {"0", false},  {"101", false},
                        {"5x", false}, {"", false},
                        {"-3", false}, {"99999999999999999999", false}};
  for (const Case& test_case : cases) {
    const ParsedOptions parsed =
        ParseOptions(specs, {std::string("--limit=") + test_case.text});
    int64_t value = 0;
    std::string error;
    cr_expect_eq(ParseNumberOption(parsed, "limit", 1, 100, value, error),
                 test_case.valid, "%s", test_case.text);
    cr_expect_eq(error.empty(), test_case.valid, "%s", test_case.text);
  }
}

// Guards against a daemon that starts, or exits with 0, on an invalid command
// line.
Test(DaemonOptions, choose_the_action_and_exit_code) {
  struct Case {
    std::vector<std::string> arguments;
    DaemonAction action;
    int exit_code;
    const char* text;
  };
  const Case cases[] = {
      {{"--settings", "f"}, DaemonAction::kRun, 0, ""},
      {{"--settings", "f", "--check-settings"},
       DaemonAction::kCheckSettings,
       0,
       ""},
      {{}, DaemonAction::kExit, 2, "--settings FILE is missing"},
      {{"--setings", "f"}, DaemonAction::kExit, 2, "did you mean --settings?"},
      {{"--settings", "f", "more"}, DaemonAction::kExit, 2, "unexpected"},
      {{"--help"}, DaemonAction::kExit, 0, "Usage: prog"},
      {{"--version"}, DaemonAction::kExit, 0, "prog " DOTTERELCOVE_VERSION},
  };
  for (const Case& test_case : cases) {
    const DaemonOptions options =
        ParseDaemonOptions("prog", "A purpose.", test_case.arguments);
    cr_expect_eq(static_cast<int>(options.action),
                 static_cast<int>(test_case.action), "%s", test_case.text);
    cr_expect_eq(options.exit_code, test_case.exit_code, "%s", test_case.text);
    cr_expect_neq(options.text.find(test_case.text), std::string::npos, "%s",
                  options.text.c_str());
  }
}

}  // namespace dotterelcove
