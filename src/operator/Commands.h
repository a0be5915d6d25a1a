/// The subcommands of dotterelcovectl. Each is a free function in a file of its
/// own that returns an exit code (ExitCode.h).
#pragma once

#include <string>
#include <vector>

#include "operator/CtlContext.h"
#include "operator/Options.h"

namespace dotterelcove {

int RunSubmit(CtlContext& context, const ParsedOptions& options);
int RunStatus(CtlContext& context, const ParsedOptions& options);
int RunCancel(CtlContext& context, const ParsedOptions& options);
int RunList(CtlContext& context, const ParsedOptions& options);
int RunExplain(CtlContext& context, const ParsedOptions& options);
int RunConfigCheck(CtlContext& context, const ParsedOptions& options);
int RunConfigDiff(CtlContext& context, const ParsedOptions& options);
int RunConfigPublish(CtlContext& context, const ParsedOptions& options);
int RunConfigShow(CtlContext& context, const ParsedOptions& options);
int RunDrain(CtlContext& context, const ParsedOptions& options);
int RunEvents(CtlContext& context, const ParsedOptions& options);
int RunHealth(CtlContext& context, const ParsedOptions& options);

/// One subcommand: how it is called and described.
struct CommandSpec {
  /// "submit" or "config check".
  std::string name;
  /// Placeholder of the operands, as "KEY".
  std::string operands;
  std::string summary;
  std::vector<OptionSpec> options;
  size_t min_operands = 0;
  size_t max_operands = 0;
  bool needs_cell = true;
  int (*run)(CtlContext&, const ParsedOptions&) = nullptr;
};

const std::vector<CommandSpec>& AllCommands();

/// What the process gives to the command line.
struct CommandLineInput {
  std::vector<std::string> arguments;
  /// Values of DOTTERELCOVE_CELL and DOTTERELCOVE_CALLER, empty when unset.
  std::string default_cell;
  std::string default_caller;
  bool is_terminal = false;
};

/// Runs dotterelcovectl and returns its exit code.
int RunCommandLine(const CommandLineInput& input, std::ostream& out,
                   std::ostream& err);

}  // namespace dotterelcove
