/// Test double of the platform's endpoints, see standins/EndpointStandin.h.
#include <getopt.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "standins/EndpointStandin.h"

namespace {

constexpr const char* kUsage =
    "usage: standin-endpoint --vms FILE [--journal FILE] [--port PORT]\n"
    "Serves every endpoint of the VM list at the port of its address, and\n"
    "POST /control/fault for all of them at PORT.\n";

struct Options {
  std::string vms;
  std::string journal;
  uint16_t port = 0;
};

bool ParseOptions(int argc, char** argv, Options& options) {
  const option known[] = {{"vms", required_argument, nullptr, 'v'},
                          {"port", required_argument, nullptr, 'p'},
                          {"journal", required_argument, nullptr, 'j'},
                          {nullptr, 0, nullptr, 0}};
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "", known, nullptr)) != -1) {
    if (choice == 'v') {
      options.vms = optarg;
    } else if (choice == 'j') {
      options.journal = optarg;
    } else if (choice == 'p') {
      const long port = std::strtol(optarg, nullptr, 10);
      if (port < 1 || port > UINT16_MAX) return false;
      options.port = static_cast<uint16_t>(port);
    } else {
      return false;
    }
  }
  return !options.vms.empty() && optind == argc;
}

}  // namespace

int main(int argc, char** argv) {
  using dotterelcove::EndpointStandin;
  Options options;
  if (!ParseOptions(argc, argv, options)) {
    std::fputs(kUsage, stderr);
    return 2;
  }
  std::ifstream file(options.vms);
  std::stringstream text;
  text << file.rdbuf();
  std::vector<dotterelcove::Vm> vms;
  if (!file || !dotterelcove::VmsFromJson(text.str(), vms)) {
    std::fprintf(stderr, "%s: not a VM list\n", options.vms.c_str());
    return 1;
  }
  dotterelcove::EventLoop loop;
  return dotterelcove::leaf::try_handle_all(
      [&]() -> dotterelcove::Result<int> {
        BOOST_LEAF_AUTO(standin, EndpointStandin::Start(
                                     loop, vms, options.journal, options.port));
        dotterelcove::SignalWatch terminate(loop, SIGTERM,
                                            [&] { loop.Stop(); });
        dotterelcove::SignalWatch interrupt(loop, SIGINT, [&] { loop.Stop(); });
        loop.Run();
        return 0;
      },
      [&](const dotterelcove::HttpListenError& error) {
        std::fprintf(stderr, "cannot listen at %s\n", error.address.c_str());
        return 1;
      },
      [] { return 1; });
}
