/// The scheduler daemon: candidate for ownership of a partition; the owner
/// places jobs, grants endpoint slots and writes records. See docs/design.md 2.
#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>

#include "operator/DaemonOptions.h"
#include "peer/PeerNode.h"
#include "scheduler/SchedulerDaemon.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

constexpr int kExitFailed = 1;

Result<int> Run(DaemonSettings settings) {
  EventLoop loop;
  const TimeMs drain_limit_ms = settings.timing.drain_limit_ms;
  int status = 0;
  // Stopping the loop from a later callback lets the last heartbeats and
  // answers leave first.
  Timer exit_timer(loop, [&loop] { loop.Stop(); });
  constexpr TimeMs kExitDelayMs = 20;
  BOOST_LEAF_AUTO(
      daemon, SchedulerDaemon::Start(loop, std::move(settings), [&exit_timer] {
        exit_timer.StartAfter(kExitDelayMs);
      }));
  Timer drain_limit(loop, [&] {
    Log(LogLevel::kError, "stop_timed_out");
    status = kExitFailed;
    loop.Stop();
  });
  const auto stop = [&] {
    drain_limit.StartAfter(drain_limit_ms);
    daemon->Stop();
  };
  SignalWatch terminate(loop, SIGTERM, stop);
  SignalWatch interrupt(loop, SIGINT, stop);
  Log(LogLevel::kInfo, "started",
      {F("port", daemon->http_port()), F("version", DOTTERELCOVE_VERSION)});
  loop.Run();
  Log(LogLevel::kInfo, "stopped");
  return status;
}

int Fail(const std::string& message) {
  std::fprintf(stderr, "dotterelcove-schedd: %s\n", message.c_str());
  return kExitFailed;
}

}  // namespace
}  // namespace dotterelcove

int main(int argc, char** argv) {
  using namespace dotterelcove;  // NOLINT(google-build-using-namespace)
  // Writing to a connection that the other side closed must not end the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  DaemonStart start =
      PrepareDaemon("dotterelcove-schedd",
                    "Places jobs and grants endpoint slots.", argc, argv);
  if (!start.should_run) return start.exit_code;
  return leaf::try_handle_all(
      [&] { return Run(std::move(start.settings)); },
      [](const PeerListenError& error) {
        return Fail("cannot listen at " + error.address + ":" +
                    std::to_string(error.port));
      },
      [](const HttpListenError& error) {
        return Fail("cannot listen at " + error.address + ":" +
                    std::to_string(error.port));
      },
      [] { return Fail("cannot start"); });
}
