#include "node/WorkerRelay.h"

#include <utility>

#include "base/Hash.h"
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
/// How long a relay that left a call unanswered is not used.
constexpr TimeMs kAvoidMs = 2'000;

OrderStatus DecodeStatus(uint8_t status) {
  if (status > static_cast<uint8_t>(OrderStatus::kUnknown)) {
    return OrderStatus::kUnknown;
  }
  return static_cast<OrderStatus>(status);
}

/// An unknown kind of end is never a success.
workflow::RunEnd DecodeRunEnd(uint8_t end) {
  if (end > static_cast<uint8_t>(workflow::RunEnd::kAlone)) {
    return workflow::RunEnd::kStopped;
  }
  return static_cast<workflow::RunEnd>(end);
}

OrderAnswer DecodeOrderAnswer(const wire::WorkerReplyT* reply) {
  if (reply == nullptr) return {};
  return {DecodeStatus(reply->status), reply->clock_ms};
}

SyncAnswer DecodeSyncAnswer(const wire::WorkerReplyT& reply) {
  SyncAnswer answer;
  answer.status = DecodeStatus(reply.status);
  answer.clock_ms = reply.clock_ms;
  answer.incarnation = reply.incarnation;
  for (const auto& run : reply.running) {
    answer.running.push_back(
        {run->task, run->run, run->checkpoint, run->percent, run->usage});
  }
  for (const auto& end : reply.ended) {
    answer.ended.push_back({end->number, end->task, end->run,
                            DecodeRunEnd(end->end), end->checkpoint});
  }
  return answer;
}

wire::WorkerReplyT EncodeSyncAnswer(const SyncAnswer& answer) {
  wire::WorkerReplyT reply;
  reply.status = static_cast<uint8_t>(answer.status);
  reply.clock_ms = answer.clock_ms;
  reply.incarnation = answer.incarnation;
  for (const workflow::ReportedRun& run : answer.running) {
    auto row = std::make_unique<wire::RunReportT>();
    row->task = run.task;
    row->run = run.run;
    row->checkpoint = run.checkpoint;
    row->percent = run.percent;
    row->usage = run.usage;
    reply.running.push_back(std::move(row));
  }
  for (const workflow::ReportedEnd& end : answer.ended) {
    auto row = std::make_unique<wire::EndReportT>();
    row->number = end.number;
    row->task = end.task;
    row->run = end.run;
    row->end = static_cast<uint8_t>(end.end);
    row->checkpoint = end.checkpoint;
    reply.ended.push_back(std::move(row));
  }
  return reply;
}

wire::WorkerCallT MakeCall(wire::WorkerCallKind kind,
                           const WorkerAddress& worker) {
  wire::WorkerCallT call;
  call.kind = kind;
  call.worker = worker.id;
  call.address = worker.address;
  call.incarnation = worker.incarnation;
  return call;
}

wire::WorkerCallT EncodeStart(const WorkerAddress& worker,
                              const workflow::StartOrder& order) {
  wire::WorkerCallT call = MakeCall(wire::WorkerCallKind::Start, worker);
  call.task = order.task;
  call.run = order.run;
  call.payload = order.payload;
  call.lease_end_clock_ms = order.lease_end_clock_ms;
  call.token = order.token;
  call.checkpoint = order.checkpoint;
  call.ticket = order.ticket;
  return call;
}

wire::WorkerCallT EncodeStop(const WorkerAddress& worker,
                             const workflow::StopOrder& order) {
  wire::WorkerCallT call = MakeCall(wire::WorkerCallKind::Stop, worker);
  call.task = order.task;
  call.run = order.run;
  call.token = order.token;
  return call;
}

wire::WorkerCallT EncodePace(const WorkerAddress& worker,
                             const workflow::PaceOrder& order) {
  wire::WorkerCallT call = MakeCall(wire::WorkerCallKind::Pace, worker);
  call.task = order.task;
  call.run = order.run;
  call.percent = order.percent;
  call.token = order.token;
  return call;
}

wire::WorkerCallT EncodeSync(const WorkerAddress& worker,
                             const workflow::SyncOrder& order) {
  wire::WorkerCallT call = MakeCall(wire::WorkerCallKind::Sync, worker);
  call.token = order.token;
  call.acked = order.acked;
  call.lease_end_clock_ms = order.lease_end_clock_ms;
  call.wait_ms = order.wait_ms;
  return call;
}

const wire::WorkerReplyT* ReplyIn(const wire::FrameT* frame) {
  return frame == nullptr ? nullptr : frame->body.AsWorkerReply();
}

void AvoidRelay(WorkerRelays& relays, uint64_t link) {
  const auto found = relays.relays.find(link);
  // A relay whose connection was lost is gone from the table.
  if (found == relays.relays.end()) return;
  found->second.avoided_until_ms = relays.runtime.now() + kAvoidMs;
  Log(LogLevel::kWarning, "relay_unanswered",
      {F("relay", found->second.process), F("avoided_ms", kAvoidMs)});
}

/// Sends an order through a relay. Without an answer its outcome is unknown: it
/// may have been carried out, or may yet be.
void RelayOrder(const WorkerRelaysPtr& relays, uint64_t link,
                wire::WorkerCallT call, workflow::OrderCallback done) {
  relays->ask(
      link, std::move(call), kOrderTimeoutMs,
      [relays, link, done = std::move(done)](const wire::FrameT* frame) {
        const wire::WorkerReplyT* reply = ReplyIn(frame);
        if (reply == nullptr) AvoidRelay(*relays, link);
        done(DecodeOrderAnswer(reply));
      });
}

void RelaySync(const WorkerRelaysPtr& relays, uint64_t link,
               const WorkerAddress& worker, const workflow::SyncOrder& order,
               workflow::SyncCallback done) {
  relays->syncing.insert(worker.id);
  relays->ask(link, EncodeSync(worker, order), order.wait_ms + kSyncSlackMs,
              [relays, link, worker, order,
               done = std::move(done)](const wire::FrameT* frame) {
                relays->syncing.erase(worker.id);
                const wire::WorkerReplyT* reply = ReplyIn(frame);
                if (reply == nullptr) AvoidRelay(*relays, link);
                if (reply != nullptr &&
                    DecodeStatus(reply->status) != OrderStatus::kUnknown) {
                  done(DecodeSyncAnswer(*reply));
                  return;
                }
                // The worker may be well and only its relay slow or cut off.
                workflow::SyncOrder again = order;
                again.wait_ms = 0;
                // The worker may have restarted since the order was made. The
                // lease end is of the earlier incarnation's clock then.
                again.acked = 0;
                again.lease_end_clock_ms = 0;
                relays->direct.sync(worker, again, done);
              });
}

/// Builds the function of one kind of order.
template <class Order, class Encode>
std::function<void(const WorkerAddress&, const Order&, workflow::OrderCallback)>
MakeOrderPort(const WorkerRelaysPtr& relays,
              std::function<void(const WorkerAddress&, const Order&,
                                 workflow::OrderCallback)>
                  workflow::WorkerPort::*direct,
              Encode encode) {
  return
      [relays, direct, encode](const WorkerAddress& worker, const Order& order,
                               workflow::OrderCallback done) {
        const uint64_t link = ChooseRelay(*relays, worker);
        if (link == 0) {
          (relays->direct.*direct)(worker, order, std::move(done));
          return;
        }
        RelayOrder(relays, link, encode(worker, order), std::move(done));
      };
}

}  // namespace

uint64_t ChooseRelay(const WorkerRelays& relays, const WorkerAddress& worker) {
  if (!relays.enabled) return 0;
  const TimeMs now_ms = relays.runtime.now();
  // Rendezvous hashing: a relay that comes or goes moves only its own workers.
  uint64_t chosen = 0;
  uint64_t highest = 0;
  for (const auto& [link, relay] : relays.relays) {
    if (relay.zone != worker.zone || now_ms < relay.avoided_until_ms) continue;
    const uint64_t weight = Hash64(relay.process + worker.id);
    if (chosen != 0 && weight <= highest) continue;
    chosen = link;
    highest = weight;
  }
  return chosen;
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
    const uint64_t link = ChooseRelay(*relays, worker);
    if (link == 0 || relays->syncing.contains(worker.id)) {
      relays->direct.sync(worker, order, std::move(done));
      return;
    }
    RelaySync(relays, link, worker, order, std::move(done));
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
