/// The command-line tool for operators and callers.
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "operator/Commands.h"

namespace {

std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

}  // namespace

int main(int argc, char** argv) {
  // A reader such as `head` that closes the pipe ends the program quietly.
  std::signal(SIGPIPE, SIG_DFL);
  dotterelcove::CommandLineInput input;
  input.arguments.assign(argv + 1, argv + argc);
  input.default_cell = Environment("DOTTERELCOVE_CELL");
  input.default_caller = Environment("DOTTERELCOVE_CALLER");
  input.is_terminal = isatty(STDERR_FILENO) == 1;
  return dotterelcove::RunCommandLine(input, std::cout, std::cerr);
}
