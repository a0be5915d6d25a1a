#include <algorithm>

#include "operator/Commands.h"
#include "operator/NearestName.h"

namespace dotterelcove {
namespace {

const std::vector<OptionSpec>& CommonOptions() {
  static const std::vector<OptionSpec> options = {
      {"cell", "FILE", "cell file (default: $DOTTERELCOVE_CELL)"},
      {"caller", "NAME",
       "caller of requests (default: $DOTTERELCOVE_CALLER, else operator)"},
      {"json", "", "print JSON for scripts"},
      {"timeout-ms", "N", "longest time for one call (default 5000)"},
      {"help", "", "print this help and exit"},
      {"version", "", "print the version and exit"}};
  return options;
}

constexpr const char* kExitCodesText =
    "Exit codes: 0 ok, 1 failed or not_run, 2 bad command line or cell file,\n"
    "3 unavailable (nothing was done, try again), 4 conflict, 5 unknown "
    "outcome.\n";

/// The command line cut into the subcommand and its arguments; options may come
/// before the subcommand too.
struct SplitLine {
  std::vector<std::string> words;
  std::vector<std::string> arguments;
};

bool TakesValue(const std::string& argument) {
  for (const OptionSpec& spec : CommonOptions()) {
    if (argument == "--" + spec.name) return !spec.argument.empty();
  }
  return false;
}

SplitLine Split(const std::vector<std::string>& arguments) {
  SplitLine line;
  size_t i = 0;
  while (i < arguments.size() && arguments[i].starts_with("-")) {
    line.arguments.push_back(arguments[i]);
    const bool value = TakesValue(arguments[i]) && i + 1 < arguments.size();
    if (value) line.arguments.push_back(arguments[++i]);
    i++;
  }
  if (i < arguments.size()) line.words.push_back(arguments[i++]);
  const bool grouped = !line.words.empty() && line.words[0] == "config";
  if (grouped && i < arguments.size() && !arguments[i].starts_with("-")) {
    line.words.push_back(arguments[i++]);
  }
  line.arguments.insert(line.arguments.end(), arguments.begin() + i,
                        arguments.end());
  return line;
}

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += text.empty() ? word : " " + word;
  }
  return text;
}

const CommandSpec* FindCommand(const std::string& name) {
  for (const CommandSpec& command : AllCommands()) {
    if (command.name == name) return &command;
  }
  return nullptr;
}

/// Names that begin with `prefix`, without it.
std::vector<std::string> NamesAfter(const std::string& prefix) {
  std::vector<std::string> names;
  for (const CommandSpec& command : AllCommands()) {
    if (!command.name.starts_with(prefix)) continue;
    const std::string rest = command.name.substr(prefix.size());
    const std::string word = rest.substr(0, rest.find(' '));
    if (names.empty() || names.back() != word) names.push_back(word);
  }
  return names;
}

void PrintOverview(const std::string& prefix, std::ostream& out) {
  out << "Usage: dotterelcovectl [option…] " << prefix
      << "COMMAND [option…]\n\n";
  for (const CommandSpec& command : AllCommands()) {
    if (!command.name.starts_with(prefix)) continue;
    const std::string head = command.name + " " + command.operands;
    out << "  " << head
        << std::string(head.size() < 18 ? 18 - head.size() : 1, ' ')
        << command.summary << "\n";
  }
  out << "\n"
      << FormatOptions(CommonOptions()) << "\n"
      << kExitCodesText << "Each command has its own --help.\n";
}

void PrintCommandHelp(const CommandSpec& command, std::ostream& out) {
  out << "Usage: dotterelcovectl " << command.name
      << (command.operands.empty() ? "" : " " + command.operands)
      << " [option…]\n"
      << command.summary << "\n\n"
      << FormatOptions(command.options) << (command.options.empty() ? "" : "\n")
      << FormatOptions(CommonOptions()) << "\n"
      << kExitCodesText;
}

int UsageError(std::ostream& err, const std::string& message,
               const std::string& command) {
  err << "dotterelcovectl: " << message << "\nTry dotterelcovectl "
      << (command.empty() ? "" : command + " ") << "--help.\n";
  return kExitBadCommandLine;
}

/// Answers a line without a known subcommand.
int RunWithoutCommand(const SplitLine& line, std::ostream& out,
                      std::ostream& err) {
  const ParsedOptions parsed = ParseOptions(CommonOptions(), line.arguments);
  if (!parsed.error.empty() && line.words.empty()) {
    return UsageError(err, parsed.error, "");
  }
  const bool group = line.words.size() == 1 && line.words[0] == "config";
  if (parsed.Has("help") && (line.words.empty() || group)) {
    PrintOverview(group ? "config " : "", out);
    return kExitOk;
  }
  if (parsed.Has("version") && line.words.empty()) {
    out << "dotterelcovectl " DOTTERELCOVE_VERSION "\n";
    return kExitOk;
  }
  if (line.words.empty()) return UsageError(err, "a command is missing", "");
  if (group) {
    return UsageError(err, "config needs one of check, diff, publish, show",
                      "config");
  }
  const bool second = line.words.size() > 1;
  const std::string prefix = second ? "config " : "";
  return UsageError(
      err,
      DescribeUnknown(
          "command", prefix + line.words.back(),
          second ? std::vector<std::string>{"config check", "config diff",
                                            "config publish", "config show"}
                 : NamesAfter("")),
      "");
}

std::string CheckOperands(const CommandSpec& command,
                          const ParsedOptions& parsed) {
  const size_t count = parsed.operands.size();
  if (count < command.min_operands) return command.operands + " is missing";
  if (count > command.max_operands) {
    return "unexpected argument " + parsed.operands[command.max_operands];
  }
  return "";
}

/// Fills the context from the common options; returns what is wrong.
std::string ApplyCommonOptions(const CommandSpec& command,
                               const ParsedOptions& parsed,
                               const CommandLineInput& input,
                               CtlContext& context) {
  context.json = parsed.Has("json");
  context.caller = parsed.Get("caller", input.default_caller);
  if (context.caller.empty()) context.caller = "operator";
  context.show_progress = input.is_terminal;
  std::string error;
  if (!ParseNumberOption(parsed, "timeout-ms", 1, 600'000, context.timeout_ms,
                         error)) {
    return error;
  }
  if (!command.needs_cell) return "";
  const std::string file = parsed.Get("cell", input.default_cell);
  if (file.empty()) {
    return "no cell file: give --cell FILE or set DOTTERELCOVE_CELL";
  }
  return leaf::try_handle_all(
      [&]() -> Result<std::string> {
        BOOST_LEAF_ASSIGN(context.cell, LoadCellFile(file));
        return std::string();
      },
      [](const CellFileError& fault) { return fault.message; },
      [&] { return file + ": cannot be read"; });
}

}  // namespace

int RunCommandLine(const CommandLineInput& input, std::ostream& out,
                   std::ostream& err) {
  const SplitLine line = Split(input.arguments);
  const CommandSpec* command = FindCommand(Join(line.words));
  if (command == nullptr) return RunWithoutCommand(line, out, err);
  std::vector<OptionSpec> specs = command->options;
  specs.insert(specs.end(), CommonOptions().begin(), CommonOptions().end());
  const ParsedOptions parsed = ParseOptions(specs, line.arguments);
  if (!parsed.error.empty()) {
    return UsageError(err, parsed.error, command->name);
  }
  if (parsed.Has("help")) {
    PrintCommandHelp(*command, out);
    return kExitOk;
  }
  if (parsed.Has("version")) {
    out << "dotterelcovectl " DOTTERELCOVE_VERSION "\n";
    return kExitOk;
  }
  std::string error = CheckOperands(*command, parsed);
  EventLoop loop;
  HttpClient http(loop);
  CtlContext context{loop, http, out, err};
  if (error.empty()) {
    error = ApplyCommonOptions(*command, parsed, input, context);
  }
  if (!error.empty()) return UsageError(err, error, command->name);
  return command->run(context, parsed);
}

}  // namespace dotterelcove
