#include "node/WorkerRelay.h"

#include <algorithm>
#include <utility>

#include "node/RelayChoice.h"
#include "node/RelayFrames.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

using workflow::OrderAnswer;
using workflow::OrderStatus;
using workflow::SyncAnswer;
using workflow::WorkerAddress;

/// Longer than a relay needs to make an order, or to find that it is not
/// answered.
constexpr TimeMs kOrderTimeoutMs = 700;
/// The same for a sync, beyond the time that the worker may wait.
constexpr TimeMs kSyncSlackMs = 750;
/// The same for a sync that is made again: the worker does not wait, and a
/// relay gives it 450 ms.
constexpr TimeMs kRepeatTimeoutMs = 600;
/// Peers connect to a new owner, or to one that stalled for so long that they
/// disconnected, and send their first heartbeats within this.
constexpr TimeMs kRelaysKnownMs = 1'500;
/// A sync that waits for a way ends after this, later than the relays are
/// known.
constexpr TimeMs kMaxSyncWaitMs = 2'000;
/// The same for one that is made again: with the calls before and after, it
/// ends before the lease that it may have to renew.
constexpr TimeMs kMaxRepeatWaitMs = 250;
/// Interval of the attempts to make waiting syncs.
constexpr TimeMs kResumeIntervalMs = 50;

/// Sends an order through a relay. Without an answer its outcome is unknown: it
/// may have been carried out, or may yet be.
void RelayOrder(const WorkerRelaysPtr& relays, uint64_t link,
                wire::WorkerCallT call, workflow::OrderCallback done) {
  relays->ask(
      link, std::move(call), kOrderTimeoutMs,
      [relays, link, done = std::move(done)](const wire::FrameT* frame) {
        const wire::WorkerReplyT* reply = ReplyIn(frame);
        NoteRelay(*relays, link, reply != nullptr);
        done(DecodeOrderAnswer(reply));
      });
}

/// Whether the owner's own calls are limited. Not those of a small fleet.
bool IsLimited(const WorkerRelays& relays) {
  return relays.enabled || relays.fleet_size == 0;
}

size_t MaxOwnWorkers(const WorkerRelays& relays) {
  size_t fleet = relays.fleet_size;
  if (fleet == 0 && relays.count_recorded) fleet = relays.count_recorded();
  const size_t with_relays = fleet <= kMaxFleetOfOwnCalls
                                 ? std::max(fleet, kMaxOwnWorkers)
                                 : kMaxOwnWorkers;
  const bool are_expected =
      relays.expected_relays != 0 &&
      relays.runtime.now() < relays.without_relays_since_ms + kRelaysKnownMs;
  if (!relays.relays.empty() || are_expected) return with_relays;
  return std::max(relays.own.max_without_relays, with_relays);
}

void PruneOwnWorkers(WorkerRelays& relays) {
  constexpr TimeMs kIntervalMs = 1'000;
  const TimeMs now_ms = relays.runtime.now();
  if (now_ms < relays.own.next_pruning_ms) return;
  relays.own.next_pruning_ms = now_ms + kIntervalMs;
  std::erase_if(relays.own.workers, [&](const auto& entry) {
    return now_ms - entry.second >= kOwnWorkerMs;
  });
}

void NoteHeldBack(WorkerRelays& relays) {
  constexpr TimeMs kLogIntervalMs = 1'000;
  OwnCalls& own = relays.own;
  own.held_back++;
  const TimeMs now_ms = relays.runtime.now();
  if (now_ms < own.next_log_ms) return;
  own.next_log_ms = now_ms + kLogIntervalMs;
  Log(LogLevel::kWarning, "worker_calls_held_back",
      {F("limit", MaxOwnWorkers(relays)), F("in_flight", own.in_flight),
       F("workers", own.workers.size()), F("held_back", own.held_back),
       F("relays", relays.relays.size())});
}

/// Whether the owner may call the worker itself. If so, the call counts from
/// now on.
bool BeginOwnCall(WorkerRelays& relays, const std::string& worker) {
  OwnCalls& own = relays.own;
  if (IsLimited(relays)) {
    PruneOwnWorkers(relays);
    const size_t limit = MaxOwnWorkers(relays);
    if (own.in_flight >= limit) return false;
    if (own.workers.size() >= limit && !own.workers.contains(worker)) {
      return false;
    }
    own.workers[worker] = relays.runtime.now();
  }
  own.in_flight++;
  return true;
}

void MakeSync(const WorkerRelaysPtr& relays, WaitingSync sync);

void BeginSync(WorkerRelays& relays, const std::string& worker, uint64_t link) {
  relays.syncing[worker].push_back(link);
}

void EndSync(WorkerRelays& relays, const std::string& worker, uint64_t link) {
  const auto found = relays.syncing.find(worker);
  if (found == relays.syncing.end()) return;
  std::vector<uint64_t>& links = found->second;
  const auto ended = std::find(links.begin(), links.end(), link);
  if (ended != links.end()) links.erase(ended);
  if (links.empty()) relays.syncing.erase(found);
}

/// Makes a sync from this process. BeginOwnCall() must have allowed it.
void SyncDirectly(const WorkerRelaysPtr& relays, const WaitingSync& sync) {
  BeginSync(*relays, sync.worker.id, 0);
  relays->direct.sync(sync.worker, sync.order,
                      [relays, id = sync.worker.id,
                       done = sync.done](const SyncAnswer& answer) {
                        EndSync(*relays, id, 0);
                        relays->own.in_flight--;
                        done(answer);
                      });
}

/// Removes what must not reach a later incarnation of the worker, which may
/// have restarted since the order was made. The lease end is of the earlier
/// incarnation's clock then. The worker answers at once, so that the next sync
/// renews the lease.
void MakeHarmless(workflow::SyncOrder& order) {
  order.wait_ms = 0;
  order.acked = 0;
  order.lease_end_clock_ms = 0;
}

/// Makes a sync again that a relay has left without a result. The worker may be
/// well and only the relay slow or cut off.
void RepeatSync(const WorkerRelaysPtr& relays, WaitingSync sync, uint64_t link,
                bool answered) {
  // As many as fit into a lease that the sync may have to renew.
  constexpr size_t kMaxTried = 3;
  // A lost relay is not chosen again, and many may be lost at the same time.
  if (relays->relays.contains(link)) sync.tried.push_back(link);
  sync.is_repeated = true;
  MakeHarmless(sync.order);
  sync.expires_ms = relays->runtime.now() + kMaxRepeatWaitMs;
  if (sync.tried.size() <= 1) {
    MakeSync(relays, std::move(sync));
    return;
  }
  // Two daemons have found that the worker does not answer.
  if (answered) {
    sync.done({});
    return;
  }
  if (BeginOwnCall(*relays, sync.worker.id)) {
    SyncDirectly(relays, sync);
    return;
  }
  NoteHeldBack(*relays);
  if (sync.tried.size() < kMaxTried) {
    MakeSync(relays, std::move(sync));
    return;
  }
  sync.done({});
}

void ResumeZone(const WorkerRelaysPtr& relays, const std::string& zone);

void RelaySync(const WorkerRelaysPtr& relays, uint64_t link, WaitingSync sync) {
  Relay& relay = relays->relays.at(link);
  const bool is_probe = relay.failures > 0 && !relay.is_probed;
  if (is_probe) {
    relay.is_probed = true;
    // A relay that is still late delays the worker's reports for less time.
    sync.order.wait_ms = 0;
  }
  const bool is_short = sync.order.wait_ms == 0;
  if (is_short) relay.short_syncs++;
  BeginSync(*relays, sync.worker.id, link);
  const TimeMs timeout_ms =
      sync.is_repeated ? kRepeatTimeoutMs : sync.order.wait_ms + kSyncSlackMs;
  wire::WorkerCallT call = EncodeSync(sync.worker, sync.order);
  relays->ask(link, std::move(call), timeout_ms,
              [relays, link, is_probe, is_short,
               sync = std::move(sync)](const wire::FrameT* frame) {
                EndSync(*relays, sync.worker.id, link);
                const wire::WorkerReplyT* reply = ReplyIn(frame);
                NoteRelay(*relays, link, reply != nullptr);
                if (Relay* ended = FindConnected(*relays, link)) {
                  if (is_probe) ended->is_probed = false;
                  if (is_short && ended->short_syncs > 0) ended->short_syncs--;
                  // Copied, since the relay may be lost during the calls below.
                  const std::string zone = ended->zone;
                  if (is_short) ResumeZone(relays, zone);
                }
                if (reply != nullptr &&
                    DecodeStatus(reply->status) != OrderStatus::kUnknown) {
                  sync.done(DecodeSyncAnswer(*reply));
                  return;
                }
                RepeatSync(relays, sync, link, reply != nullptr);
              });
}

/// Makes the sync if there is a way for it now.
bool TrySync(const WorkerRelaysPtr& relays, const WaitingSync& sync) {
  WorkerRelays& r = *relays;
  const bool is_small = !IsLimited(r);
  // Before the first worker list the fleet may be a small one.
  const bool is_own_first = is_small || !r.enabled;
  if (is_own_first && BeginOwnCall(r, sync.worker.id)) {
    SyncDirectly(relays, sync);
    return true;
  }
  RelayNeed need{true, sync.order.wait_ms == 0, sync.tried};
  const auto beside = r.syncing.find(sync.worker.id);
  if (beside != r.syncing.end()) {
    need.excluded.insert(need.excluded.end(), beside->second.begin(),
                         beside->second.end());
  }
  const FoundRelay found = FindRelay(r, sync.worker, need);
  if (found.link != 0) {
    RelaySync(relays, found.link, sync);
    return true;
  }
  if (found.is_full) return false;
  if (!is_own_first && BeginOwnCall(r, sync.worker.id)) {
    SyncDirectly(relays, sync);
    return true;
  }
  // The way of the sync beside it is better than none.
  need.excluded = sync.tried;
  const FoundRelay same = FindRelay(r, sync.worker, need);
  if (same.link == 0) return false;
  RelaySync(relays, same.link, sync);
  return true;
}

/// Answers a sync that has waited for too long. One that a relay has left
/// without a result may have been carried out.
void EndWaiting(const WaitingSync& sync) {
  SyncAnswer answer;
  answer.status =
      sync.is_repeated ? OrderStatus::kUnknown : OrderStatus::kNotSent;
  sync.done(answer);
}

void ResumeZone(const WorkerRelaysPtr& relays, const std::string& zone) {
  for (;;) {
    const auto found = relays->waiting.find(zone);
    if (found == relays->waiting.end()) return;
    std::deque<WaitingSync>& queue = found->second;
    if (queue.empty()) {
      relays->waiting.erase(found);
      return;
    }
    // Removed first, since a callback may make further syncs wait.
    WaitingSync first = std::move(queue.front());
    queue.pop_front();
    const bool may_act = !relays->may_act || relays->may_act();
    if (relays->runtime.now() >= first.expires_ms) {
      EndWaiting(first);
      continue;
    }
    if (may_act && TrySync(relays, first)) continue;
    relays->waiting[zone].push_front(std::move(first));
    return;
  }
}

void PlanResume(const WorkerRelaysPtr& relays) {
  if (relays->is_resume_planned || relays->waiting.empty()) return;
  relays->is_resume_planned = true;
  relays->runtime.after(kResumeIntervalMs,
                        [weak = std::weak_ptr<WorkerRelays>(relays)] {
                          const WorkerRelaysPtr self = weak.lock();
                          if (!self) return;
                          self->is_resume_planned = false;
                          ResumeSyncs(self);
                          PlanResume(self);
                        });
}

/// Makes the sync, at once or as soon as there is a way for it.
void MakeSync(const WorkerRelaysPtr& relays, WaitingSync sync) {
  // Those that renew a lease or are made again do not queue behind others.
  const bool is_urgent = sync.order.wait_ms > 0 || sync.is_repeated;
  const bool must_wait =
      !is_urgent && relays->waiting.contains(sync.worker.zone);
  if (!must_wait && TrySync(relays, sync)) return;
  NoteHeldBack(*relays);
  MakeHarmless(sync.order);
  std::deque<WaitingSync>& queue = relays->waiting[sync.worker.zone];
  if (sync.is_repeated) {
    queue.push_front(std::move(sync));
  } else {
    queue.push_back(std::move(sync));
  }
  PlanResume(relays);
}

/// Builds the function of one kind of order.
template <class Order, class Encode>
std::function<void(const WorkerAddress&, const Order&, workflow::OrderCallback)>
MakeOrderPort(const WorkerRelaysPtr& relays,
              std::function<void(const WorkerAddress&, const Order&,
                                 workflow::OrderCallback)>
                  workflow::WorkerPort::*direct,
              Encode encode) {
  return [relays, direct, encode](const WorkerAddress& worker,
                                  const Order& order,
                                  workflow::OrderCallback done) {
    uint64_t link = relays->enabled ? FindRelay(*relays, worker, {}).link : 0;
    if (link == 0 && BeginOwnCall(*relays, worker.id)) {
      (relays->direct.*direct)(
          worker, order,
          [relays, done = std::move(done)](const OrderAnswer& answer) {
            relays->own.in_flight--;
            done(answer);
          });
      return;
    }
    // Before the first worker list, calls are made directly if possible.
    if (link == 0) link = FindRelay(*relays, worker, {}).link;
    if (link == 0) {
      NoteHeldBack(*relays);
      relays->runtime.after(0, [done = std::move(done)] {
        done({OrderStatus::kNotSent, 0});
      });
      return;
    }
    RelayOrder(relays, link, encode(worker, order), std::move(done));
  };
}

}  // namespace

uint64_t ChooseRelay(const WorkerRelays& relays, const WorkerAddress& worker) {
  if (!relays.enabled) return 0;
  const uint64_t link = FindRelay(relays, worker, {}).link;
  if (link == 0 || relays.relays.at(link).zone != worker.zone) return 0;
  return link;
}

void RemoveRelay(WorkerRelays& relays, uint64_t link) {
  if (relays.relays.erase(link) == 0) return;
  relays.without_relays_since_ms = relays.runtime.now();
}

void ResumeSyncs(const WorkerRelaysPtr& relays) {
  std::vector<std::string> zones;
  for (const auto& [zone, queue] : relays->waiting) zones.push_back(zone);
  for (const std::string& zone : zones) ResumeZone(relays, zone);
}

workflow::WorkerPort MakeRelayPort(const WorkerRelaysPtr& relays) {
  workflow::WorkerPort port;
  port.start = MakeOrderPort<workflow::StartOrder>(
      relays, &workflow::WorkerPort::start, EncodeStart);
  port.stop = MakeOrderPort<workflow::StopOrder>(
      relays, &workflow::WorkerPort::stop, EncodeStop);
  port.pace = MakeOrderPort<workflow::PaceOrder>(
      relays, &workflow::WorkerPort::pace, EncodePace);
  port.sync = [relays](const WorkerAddress& worker,
                       const workflow::SyncOrder& order,
                       workflow::SyncCallback done) {
    MakeSync(relays, {worker, order, std::move(done),
                      relays->runtime.now() + kMaxSyncWaitMs});
  };
  return port;
}

void MakeRelayedCall(const workflow::WorkerPort& direct,
                     const wire::WorkerCallT& call,
                     const std::function<void(wire::WorkerReplyT)>& done) {
  const WorkerAddress worker{call.worker, call.address, "", call.incarnation};
  const auto order_done = [number = call.call,
                           done](const OrderAnswer& answer) {
    wire::WorkerReplyT reply;
    reply.call = number;
    reply.status = static_cast<uint8_t>(answer.status);
    reply.clock_ms = answer.clock_ms;
    done(std::move(reply));
  };
  switch (call.kind) {
    case wire::WorkerCallKind::Start:
      direct.start(worker,
                   {call.task, call.run, call.payload, call.lease_end_clock_ms,
                    call.token, call.checkpoint, call.ticket},
                   order_done);
      return;
    case wire::WorkerCallKind::Stop:
      direct.stop(worker, {call.task, call.run, call.token}, order_done);
      return;
    case wire::WorkerCallKind::Pace:
      direct.pace(worker, {call.task, call.run, call.percent, call.token},
                  order_done);
      return;
    case wire::WorkerCallKind::Sync:
      direct.sync(
          worker,
          {call.token, call.acked, call.lease_end_clock_ms, call.wait_ms},
          [number = call.call, done](const SyncAnswer& answer) {
            wire::WorkerReplyT reply = EncodeSyncAnswer(answer);
            reply.call = number;
            done(std::move(reply));
          });
      return;
  }
  Log(LogLevel::kWarning, "relayed_call_unknown",
      {F("kind", static_cast<int>(call.kind)), F("worker", call.worker)});
}

}  // namespace dotterelcove
