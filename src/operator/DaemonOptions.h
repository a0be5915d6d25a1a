/// Command-line options of the daemons.
#pragma once

#include <string>
#include <vector>

#include "settings/DaemonSettings.h"

namespace dotterelcove {

/// Exit codes of a daemon that fails before it runs.
inline constexpr int kExitBadSettings = 1;
inline constexpr int kExitUsage = 2;

enum class DaemonAction : uint8_t { kRun, kCheckSettings, kExit };

struct DaemonOptions {
  DaemonAction action = DaemonAction::kExit;
  std::string settings_file;
  /// For kExit: the exit code and the text to print; it goes to standard
  /// output for code 0, else to standard error.
  int exit_code = 0;
  std::string text;
};

/// Parses --settings FILE, --check-settings, --help and --version. `purpose`
/// is one line for --help.
DaemonOptions ParseDaemonOptions(const std::string& program,
                                 const std::string& purpose,
                                 const std::vector<std::string>& arguments);

/// Tells main() to run with `settings`, or to exit with `exit_code`.
struct DaemonStart {
  bool should_run = false;
  int exit_code = 0;
  DaemonSettings settings;
};

/// Parses the command line, reads and validates the settings, prints help or
/// errors, and initialises the log when the daemon should run.
DaemonStart PrepareDaemon(const std::string& program,
                          const std::string& purpose, int argc, char** argv);

}  // namespace dotterelcove
