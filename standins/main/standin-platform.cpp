/// Stand-in for the platform's table service, object store and VM list.
#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include "standins/PlatformStandin.h"

namespace dotterelcove {
namespace {

struct Arguments {
  uint16_t port = 0;
  std::string vms_file;
};

bool ParseArguments(int argc, char** argv, Arguments& arguments) {
  static constexpr option kOptions[] = {
      {"port", required_argument, nullptr, 'p'},
      {"vms", required_argument, nullptr, 'v'},
      {nullptr, 0, nullptr, 0}};
  int found = 0;
  while ((found = getopt_long(argc, argv, "p:v:", kOptions, nullptr)) != -1) {
    if (found == 'v') {
      arguments.vms_file = optarg;
      continue;
    }
    if (found != 'p') return false;
    char* end = nullptr;
    const long port = std::strtol(optarg, &end, 10);
    if (*end != '\0' || port < 0 || port > 65'535) return false;
    arguments.port = static_cast<uint16_t>(port);
  }
  return optind == argc;
}

bool LoadVms(const std::string& file, std::vector<Vm>& vms) {
  if (file.empty()) return true;
  std::ifstream stream(file);
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  return !stream.bad() && VmsFromJson(text, vms);
}

int Run(const Arguments& arguments) {
  std::vector<Vm> vms;
  if (!LoadVms(arguments.vms_file, vms)) {
    std::cerr << "standin-platform: " << arguments.vms_file
              << " holds no VM list\n";
    return 1;
  }
  EventLoop loop;
  return leaf::try_handle_all(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(standin, PlatformStandin::Start(loop, arguments.port,
                                                        std::move(vms)));
        // With port 0, the caller reads the chosen port from this line.
        std::cout << "listening on " << standin->url() << std::endl;
        SignalWatch on_interrupt(loop, SIGINT, [&] { loop.Stop(); });
        SignalWatch on_terminate(loop, SIGTERM, [&] { loop.Stop(); });
        loop.Run();
        return 0;
      },
      [](const HttpListenError& error) {
        std::cerr << "standin-platform: cannot listen on " << error.address
                  << ":" << error.port << "\n";
        return 1;
      },
      [] { return 1; });
}

}  // namespace
}  // namespace dotterelcove

int main(int argc, char** argv) {
  dotterelcove::Arguments arguments;
  if (!dotterelcove::ParseArguments(argc, argv, arguments)) {
    std::cerr << "usage: standin-platform [--port N] [--vms FILE]\n";
    return 2;
  }
  return dotterelcove::Run(arguments);
}
