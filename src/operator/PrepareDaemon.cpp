#include <cstdio>

#include "operator/DaemonOptions.h"

namespace dotterelcove {
namespace {

void PrintTo(std::FILE* file, const std::string& text) {
  std::fwrite(text.data(), 1, text.size(), file);
}

}  // namespace

DaemonStart PrepareDaemon(const std::string& program,
                          const std::string& purpose, int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const DaemonOptions options = ParseDaemonOptions(program, purpose, arguments);
  DaemonStart start;
  if (options.action == DaemonAction::kExit) {
    PrintTo(options.exit_code == 0 ? stdout : stderr, options.text);
    start.exit_code = options.exit_code;
    return start;
  }
  return leaf::try_handle_all(
      [&]() -> Result<DaemonStart> {
        BOOST_LEAF_ASSIGN(start.settings,
                          LoadDaemonSettings(options.settings_file));
        if (options.action == DaemonAction::kCheckSettings) {
          PrintTo(stdout, options.settings_file + ": settings are valid\n");
          return start;
        }
        InitLog(start.settings.process, start.settings.zone,
                start.settings.log_level);
        start.should_run = true;
        return start;
      },
      [&](const SettingsError& error) {
        std::string text = FormatFaults(error);
        if (!text.empty() && text.back() != '\n') text += '\n';
        PrintTo(stderr, text);
        start.exit_code = kExitBadSettings;
        return start;
      },
      [&] {
        PrintTo(stderr,
                program + ": cannot read " + options.settings_file + "\n");
        start.exit_code = kExitBadSettings;
        return start;
      });
}

}  // namespace dotterelcove
