/// The whole entry daemon on one event loop: HTTP server, connections to the
/// schedulers, operator routes and the planned stop.
#pragma once

#include <functional>
#include <memory>

#include "dotterelcove/Result.h"
#include "entry/Entry.h"
#include "settings/DaemonSettings.h"

namespace dotterelcove {

struct EntryDaemonOptions {
  DaemonSettings settings;
  /// Time after the start of a planned stop in which new requests are still
  /// served, so that the load balancer sees /readyz fail first.
  int64_t balancer_notice_ms = 2'000;
};

/// Stage of a planned stop. kNotice: /readyz fails, new requests are still
/// served. kDraining: new requests are rejected, open ones run to their end.
enum class StopStage : uint8_t { kRunning, kNotice, kDraining, kStopped };

class EntryDaemon {
 public:
  /// Fails with a PeerListenError or HttpListenError. `stopped` is called once,
  /// from the loop, with the exit status: 0 after a stop that interrupted no
  /// request, 1 after one that did.
  static Result<std::unique_ptr<EntryDaemon>> Start(
      EventLoop& loop, EntryDaemonOptions options,
      std::function<void(int)> stopped);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  /// Begins a planned stop; a second call ends all open requests and stops at
  /// once.
  void Stop();
  uint16_t port() const;
  Entry& entry();
  StopStage stage() const;

 private:
  struct State;
  explicit EntryDaemon(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace dotterelcove
