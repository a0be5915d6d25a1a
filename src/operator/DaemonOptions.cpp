#include "operator/DaemonOptions.h"

#include "operator/Options.h"

namespace dotterelcove {
namespace {

std::vector<OptionSpec> Specs() {
  return {{"settings", "FILE", "settings of this daemon (JSON with comments)"},
          {"check-settings", "", "check the settings and exit"},
          {"help", "", "print this help and exit"},
          {"version", "", "print the version and exit"}};
}

std::string HelpText(const std::string& program, const std::string& purpose) {
  return "Usage: " + program + " --settings FILE [--check-settings]\n" +
         purpose + "\n\n" + FormatOptions(Specs()) +
         "\nExit codes: 0 normal end, 1 bad settings or failed start, "
         "2 bad command line.\n";
}

DaemonOptions MakeUsageError(const std::string& program,
                             const std::string& error) {
  DaemonOptions options;
  options.exit_code = kExitUsage;
  options.text = program + ": " + error + "\nTry " + program + " --help.\n";
  return options;
}

}  // namespace

DaemonOptions ParseDaemonOptions(const std::string& program,
                                 const std::string& purpose,
                                 const std::vector<std::string>& arguments) {
  const ParsedOptions parsed = ParseOptions(Specs(), arguments);
  if (!parsed.error.empty()) return MakeUsageError(program, parsed.error);
  DaemonOptions options;
  if (parsed.Has("help")) {
    options.text = HelpText(program, purpose);
    return options;
  }
  if (parsed.Has("version")) {
    options.text = program + " " DOTTERELCOVE_VERSION "\n";
    return options;
  }
  if (!parsed.operands.empty()) {
    return MakeUsageError(program,
                          "unexpected argument " + parsed.operands.front());
  }
  options.settings_file = parsed.Get("settings");
  if (options.settings_file.empty()) {
    return MakeUsageError(program, "option --settings FILE is missing");
  }
  options.action = parsed.Has("check-settings") ? DaemonAction::kCheckSettings
                                                : DaemonAction::kRun;
  return options;
}

}  // namespace dotterelcove
