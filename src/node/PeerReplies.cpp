#include "node/PeerReplies.h"

#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

void LogUnknownValue(const char* reply, unsigned value) {
  Log(LogLevel::kWarning, "peer_reply_unknown",
      {F("reply", reply), F("value", value)});
}

}  // namespace

JobOutcome ReadJobInsertReply(const wire::FrameT* frame) {
  const auto* reply =
      frame == nullptr ? nullptr : frame->body.AsJobInsertReply();
  // Without a reply the owner may have stored the job.
  if (reply == nullptr) return {JobAnswer::kUnknown, {}, "no_reply"};
  const auto answer = static_cast<JobAnswer>(reply->status);
  switch (answer) {
    case JobAnswer::kStored:
    case JobAnswer::kRefused:
    case JobAnswer::kUnknown:
      return {answer, {}, "reply"};
    case JobAnswer::kNotFound:
      break;
  }
  LogUnknownValue("job_insert", reply->status);
  return {JobAnswer::kUnknown, {}, "reply_unknown"};
}

std::optional<workflow::JobPhase> ReadJobQueryReply(const wire::FrameT* frame) {
  const auto* reply =
      frame == nullptr ? nullptr : frame->body.AsJobQueryReply();
  if (reply == nullptr || !reply->known) return std::nullopt;
  if (reply->phase > static_cast<uint8_t>(workflow::JobPhase::kCancelled)) {
    LogUnknownValue("job_query", reply->phase);
    return std::nullopt;
  }
  return static_cast<workflow::JobPhase>(reply->phase);
}

workflow::PermitAnswer ReadPermitReply(const wire::FrameT* frame) {
  workflow::PermitAnswer answer;
  const wire::PermitReplyT* reply =
      frame == nullptr ? nullptr : frame->body.AsPermitReply();
  if (reply == nullptr) return answer;
  if (reply->status > static_cast<uint8_t>(workflow::PermitStatus::kFailed)) {
    LogUnknownValue("permit", reply->status);
    return answer;
  }
  answer.status = static_cast<workflow::PermitStatus>(reply->status);
  answer.validity_ms = reply->validity_ms;
  for (const auto& row : reply->granted) {
    answer.grants.push_back({row->worker, row->ticket});
  }
  return answer;
}

}  // namespace dotterelcove
