/// The paths from each daemon to the other daemons and to the workers. Each
/// leads over an address of its own, which the store tells the daemon instead
/// of the true one, so that it can be disturbed without the others.
#pragma once

#include <cstdint>
#include <string>

#include "tests/platform/soak/PathProxy.h"
#include "tests/platform/soak/StoreStandin.h"

namespace dotterelcove::soak {

/// Ports of the daemons for each other, and of the workers.
inline constexpr uint16_t kPeerPort = 7720;
inline constexpr uint16_t kWorkerPort = 8080;

class CellPaths {
 public:
  /// `net`: the first two numbers of all addresses, with a dot behind them.
  CellPaths(std::string net, size_t daemons, size_t workers);
  /// Returns false if an address is in use.
  bool Start();
  /// The value of a row as a daemon is to read it: addresses of other daemons
  /// and of workers, also those that another daemon has stored, are replaced by
  /// those of its own paths. Base64, as on the wire.
  std::string ValueFor(size_t daemon, const Row& row) const;
  /// Disturbs all connections between two daemons, whoever connects; "one way"
  /// is from `a` to `b`.
  void SetLink(size_t a, size_t b, PathFault fault);
  void SetPath(size_t daemon, size_t worker, PathFault fault);

 private:
  std::string net;
  size_t daemons;
  size_t workers;
  PathProxy proxy;
};

}  // namespace dotterelcove::soak
