/// Runs the worker stand-ins of one process, see standins/WorkerStandin.h.
#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "standins/WorkerStandin.h"

namespace dotterelcove::standins {
namespace {

constexpr option kOptions[] = {
    {"address", required_argument, nullptr, 'a'},
    {"port", required_argument, nullptr, 'p'},
    {"vms", required_argument, nullptr, 'v'},
    {"journal", required_argument, nullptr, 'j'},
    {"speed", required_argument, nullptr, 's'},
    {"run-ms", required_argument, nullptr, 'r'},
    {"usage-delay-ms", required_argument, nullptr, 'u'},
    {nullptr, 0, nullptr, 0},
};

constexpr const char* kUsage =
    "usage: standin-worker --vms FILE [--address A] [--port N] "
    "[--journal FILE] [--speed X] [--run-ms N] [--usage-delay-ms N]\n";

bool ReadVms(const char* file, std::vector<Vm>& vms) {
  std::ifstream stream(file);
  if (!stream) return false;
  std::stringstream text;
  text << stream.rdbuf();
  return VmsFromJson(text.str(), vms);
}

bool ReadOptions(int argc, char** argv, WorkerStandinOptions& options) {
  bool have_vms = false;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "", kOptions, nullptr)) != -1) {
    switch (choice) {
      case 'a':
        options.address = optarg;
        break;
      case 'p':
        options.port = static_cast<uint16_t>(std::strtoul(optarg, nullptr, 10));
        break;
      case 'v':
        have_vms = ReadVms(optarg, options.vms);
        if (!have_vms) std::cerr << "cannot read VM list " << optarg << "\n";
        break;
      case 'j':
        options.journal_file = optarg;
        break;
      case 's':
        options.speed = std::strtod(optarg, nullptr);
        break;
      case 'r':
        options.default_run_ms = std::strtoll(optarg, nullptr, 10);
        break;
      case 'u':
        options.usage_delay_ms = std::strtoll(optarg, nullptr, 10);
        break;
      default:
        return false;
    }
  }
  return have_vms && options.speed > 0;
}

int RunStandin(const WorkerStandinOptions& options) {
  EventLoop loop;
  return leaf::try_handle_all(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(standin, WorkerStandin::Start(loop, options));
        SignalWatch terminate(loop, SIGTERM, [&loop] { loop.Stop(); });
        SignalWatch interrupt(loop, SIGINT, [&loop] { loop.Stop(); });
        std::cout << "standin-worker listens on port " << standin->port()
                  << std::endl;
        loop.Run();
        return 0;
      },
      [](const HttpListenError& error) {
        std::cerr << "cannot listen on " << error.address << ":" << error.port
                  << "\n";
        return 1;
      },
      [] { return 1; });
}

}  // namespace
}  // namespace dotterelcove::standins

int main(int argc, char** argv) {
  dotterelcove::standins::WorkerStandinOptions options;
  if (!dotterelcove::standins::ReadOptions(argc, argv, options)) {
    std::cerr << dotterelcove::standins::kUsage;
    return 2;
  }
  return dotterelcove::standins::RunStandin(options);
}
