/// Which relay makes a call to a worker.
#pragma once

#include <cstdint>
#include <vector>

#include "node/WorkerRelay.h"

namespace dotterelcove {

/// What kind of call a relay is chosen for.
struct RelayNeed {
  /// It is a sync, which may show whether a relay answers again.
  bool may_probe = false;
  /// It is a sync that the worker answers at once.
  bool is_short = false;
  /// Relays that are not chosen.
  std::vector<uint64_t> excluded;
};

struct FoundRelay {
  /// 0 for none.
  uint64_t link = 0;
  /// The relays that are suited best have no room at present.
  bool is_full = false;
};

/// The relay for a call to the worker: sound before unsound ones, those in the
/// worker's zone before others, among equals the one that rendezvous hashing
/// picks, so that one that comes or goes moves only its own workers.
FoundRelay FindRelay(const WorkerRelays& relays,
                     const workflow::WorkerAddress& worker,
                     const RelayNeed& need);

/// The relay of a connection, null if it has been lost.
Relay* FindConnected(WorkerRelays& relays, uint64_t link);

/// Records whether a relay has answered a call. One whose connection was lost
/// is gone from the table.
void NoteRelay(WorkerRelays& relays, uint64_t link, bool answered);

}  // namespace dotterelcove
