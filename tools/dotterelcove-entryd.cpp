/// The entry daemon: caller API, admission and routing. See docs/design.md 2.
#include <getopt.h>

#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <string>

#include "entry/EntryDaemon.h"
#include "peer/PeerNode.h"
#include "settings/DaemonSettings.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

constexpr int kExitUsage = 2;
constexpr int kExitFailed = 1;
constexpr int64_t kMaxNoticeMs = 600'000;
constexpr const char* kUsage =
    "usage: dotterelcove-entryd --settings FILE [--balancer-notice-ms N]\n"
    "\n"
    "  --settings FILE          settings of this daemon (JSON with comments)\n"
    "  --balancer-notice-ms N   after SIGTERM, time in which new requests are\n"
    "                           still served (0 to 600000, default 2000)\n"
    "  --check                  check the settings and exit\n"
    "  --version                print the version and exit\n"
    "  --help                   print this help and exit\n"
    "\n"
    "SIGTERM begins a planned stop, a second one ends it at once.\n"
    "Exit status: 0 stopped without interrupting a request, 1 failed or\n"
    "interrupted requests, 2 bad command line.\n";

struct CommandLine {
  std::string settings;
  int64_t balancer_notice_ms = 2'000;
  bool check = false;
};

enum class ParseStatus : uint8_t { kRun, kExit, kUsageError };

ParseStatus ParseCommandLine(int argc, char** argv, CommandLine& line) {
  const option known[] = {
      {"settings", required_argument, nullptr, 's'},
      {"balancer-notice-ms", required_argument, nullptr, 'n'},
      {"check", no_argument, nullptr, 'c'},
      {"version", no_argument, nullptr, 'v'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "", known, nullptr)) != -1) {
    switch (choice) {
      case 's':
        line.settings = optarg;
        break;
      case 'n': {
        const char* end = optarg + std::strlen(optarg);
        const auto [stop, error] =
            std::from_chars(optarg, end, line.balancer_notice_ms);
        if (error != std::errc() || stop != end ||
            line.balancer_notice_ms < 0 ||
            line.balancer_notice_ms > kMaxNoticeMs) {
          std::fprintf(stderr,
                       "--balancer-notice-ms = %s: allowed: 0 to %lld\n",
                       optarg, static_cast<long long>(kMaxNoticeMs));
          return ParseStatus::kUsageError;
        }
        break;
      }
      case 'c':
        line.check = true;
        break;
      case 'v':
        std::puts("dotterelcove-entryd " DOTTERELCOVE_VERSION);
        return ParseStatus::kExit;
      case 'h':
        std::fputs(kUsage, stdout);
        return ParseStatus::kExit;
      default:
        return ParseStatus::kUsageError;
    }
  }
  if (!line.settings.empty() && optind == argc) return ParseStatus::kRun;
  std::fputs(kUsage, stderr);
  return ParseStatus::kUsageError;
}

Result<int> Run(const CommandLine& line) {
  EntryDaemonOptions options;
  BOOST_LEAF_ASSIGN(options.settings, LoadDaemonSettings(line.settings));
  options.balancer_notice_ms = line.balancer_notice_ms;
  if (line.check) return 0;
  InitLog(options.settings.process, options.settings.zone,
          options.settings.log_level);
  EventLoop loop;
  int status = 0;
  BOOST_LEAF_AUTO(daemon,
                  EntryDaemon::Start(loop, std::move(options), [&](int code) {
                    status = code;
                    loop.Stop();
                  }));
  EntryDaemon* running = daemon.get();
  SignalWatch terminate(loop, SIGTERM, [running] { running->Stop(); });
  SignalWatch interrupt(loop, SIGINT, [running] { running->Stop(); });
  Log(LogLevel::kInfo, "started",
      {F("port", running->port()), F("version", DOTTERELCOVE_VERSION)});
  loop.Run();
  return status;
}

int Fail(const std::string& message) {
  std::fprintf(stderr, "dotterelcove-entryd: %s\n", message.c_str());
  return kExitFailed;
}

}  // namespace
}  // namespace dotterelcove

int main(int argc, char** argv) {
  using namespace dotterelcove;  // NOLINT(google-build-using-namespace)
  // Writing to a connection that the other side closed must not end the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  CommandLine line;
  switch (ParseCommandLine(argc, argv, line)) {
    case ParseStatus::kUsageError:
      return kExitUsage;
    case ParseStatus::kExit:
      return 0;
    case ParseStatus::kRun:
      break;
  }
  return leaf::try_handle_all(
      [&] { return Run(line); },
      [](const SettingsError& error) { return Fail(FormatFaults(error)); },
      [](const PeerListenError& error) {
        return Fail("cannot listen at " + error.address);
      },
      [](const HttpListenError& error) {
        return Fail("cannot listen at " + error.address + ":" +
                    std::to_string(error.port));
      },
      [] { return Fail("cannot start"); });
}
