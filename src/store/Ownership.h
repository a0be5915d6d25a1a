/// Ownership of one partition: a row with an epoch in the table service and a
/// lease that the owner's heartbeats renew, see docs/design.md 3.4.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "border/tables/TableClient.h"
#include "loop/EventLoop.h"

namespace dotterelcove {

struct OwnershipOptions {
  uint32_t partition = 0;
  std::string process;
  uint64_t incarnation = 0;
  /// Address of this process's peer port, written into the row.
  std::string address;
  /// A heartbeat row that has not changed for this long has no live owner.
  int64_t lease_ms = 900;
  /// Interval of the owner's heartbeats.
  int64_t heartbeat_ms = 250;
  /// Interval of a standby's reads.
  int64_t poll_ms = 300;
  /// Order among standbys: each rank waits 100 ms longer than the one before.
  uint32_t rank = 0;
};

/// The owner row as last read.
struct OwnerView {
  uint64_t epoch = 0;
  std::string process;
  std::string address;
  uint64_t incarnation = 0;
};

struct OwnershipCallbacks {
  /// This process is the owner under `epoch`; `row_version` is the version of
  /// the owner row, which every record transaction checks.
  std::function<void(uint64_t epoch, uint64_t row_version)> acquired;
  /// This process is no longer the owner.
  std::function<void(const std::string& reason)> lost;
  /// The owner row changed.
  std::function<void(const OwnerView&)> changed;
};

class Ownership {
 public:
  Ownership(EventLoop& loop, TableClient tables, OwnershipOptions options,
            OwnershipCallbacks callbacks);
  ~Ownership();
  Ownership(const Ownership&) = delete;
  Ownership& operator=(const Ownership&) = delete;

  /// Starts to watch the owner row and to compete for ownership.
  void Start();
  /// Stops competing; an owner marks its heartbeat row as released, so that a
  /// standby does not wait for the lease to expire. `done` runs when this has
  /// been written or has failed.
  void Release(std::function<void()> done);
  /// The connection to the current owner was lost: polls faster.
  void OwnerLinkLost();
  /// A heartbeat or a refused request showed a higher epoch: an owner steps
  /// down.
  void HigherEpochSeen(uint64_t epoch);

  bool is_owner() const;
  const OwnerView& view() const;
  /// Milliseconds since the last successful renewal or read.
  int64_t store_age_ms() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

std::string OwnerRowKey(uint32_t partition);
std::string HeartbeatRowKey(uint32_t partition);

}  // namespace dotterelcove
