/// What is known about the permits of one step: the tickets at hand and the
/// authority's answers so far. Indexed by worker slot, since a busy owner looks
/// permits up for hundreds of steps and workers many times a second.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dotterelcove/Types.h"

namespace dotterelcove::workflow {

/// A permit to start the tasks of one step on one worker.
struct Ticket {
  std::string text;
  TimeMs valid_until_ms = 0;
  /// Incarnation of the worker that it was issued for.
  uint64_t incarnation = 0;
  /// Slot of the worker.
  uint32_t slot = 0;
};

/// The authority's answer for a worker, which does not change.
enum class Permission : uint8_t { kUnknown, kDenied, kGranted };

struct StepPermits {
  /// The latest ticket for each worker, also if it has expired.
  std::vector<Ticket> tickets;
  /// By worker slot; a slot beyond the end is unknown.
  std::vector<Permission> permissions;
  /// Requests to the permit authority in flight.
  int requests = 0;
  TimeMs next_request_ms = 0;
  /// When to check next whether permits should be requested ahead.
  TimeMs next_prefetch_ms = 0;
};

Permission PermissionFor(const StepPermits& permits, uint32_t slot);
/// The latest ticket for the worker, null if there is none.
const Ticket* FindTicket(const StepPermits& permits, uint32_t slot);
/// Replaces the ticket for its worker.
void AddTicket(StepPermits& permits, Ticket ticket);
/// Removes the tickets that have expired. What is known of their workers stays.
void RemoveExpired(StepPermits& permits, TimeMs now_ms);
void AddDenial(StepPermits& permits, uint32_t slot);
/// Makes the ticket for the worker unusable: the worker has rejected it.
void ExpireTicket(StepPermits& permits, uint32_t slot);

}  // namespace dotterelcove::workflow
