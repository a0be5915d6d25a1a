/// The command line that both daemons share.
#pragma once

#include <string>
#include <vector>

#include "settings/DaemonSettings.h"

namespace dotterelcove {

/// Exit codes of a daemon before it runs.
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

/// What main() does next: run with `settings`, or exit with `exit_code`.
struct DaemonStart {
  bool should_run = false;
  int exit_code = 0;
  DaemonSettings settings;
};

/// Parses the command line, reads and checks the settings, prints what there is
/// to print, and initialises the log when the daemon is to run.
DaemonStart PrepareDaemon(const std::string& program,
                          const std::string& purpose, int argc, char** argv);

}  // namespace dotterelcove
