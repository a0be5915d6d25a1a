#include "node/RelayFrames.h"

#include <memory>
#include <utility>

namespace dotterelcove {
namespace {

using workflow::OrderAnswer;
using workflow::OrderStatus;
using workflow::SyncAnswer;
using workflow::WorkerAddress;

/// An unknown kind of end is never a success.
workflow::RunEnd DecodeRunEnd(uint8_t end) {
  if (end > static_cast<uint8_t>(workflow::RunEnd::kAlone)) {
    return workflow::RunEnd::kStopped;
  }
  return static_cast<workflow::RunEnd>(end);
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

}  // namespace

OrderStatus DecodeStatus(uint8_t status) {
  if (status > static_cast<uint8_t>(OrderStatus::kUnknown)) {
    return OrderStatus::kUnknown;
  }
  return static_cast<OrderStatus>(status);
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

}  // namespace dotterelcove
