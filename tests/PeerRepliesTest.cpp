// Replies of peers that are missing, of another kind, of another version, or
// sent over another connection than the request.
#include <criterion/criterion.h>

#include <utility>

#include "node/PeerCalls.h"
#include "node/PeerReplies.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

constexpr uint8_t kUnknownValue = 200;

template <class T>
wire::FrameT MakeReplyFrame(T reply) {
  wire::FrameT frame;
  frame.body.Set(std::move(reply));
  return frame;
}

JobAnswer ReadInsertStatus(uint8_t status) {
  wire::JobInsertReplyT reply;
  reply.status = status;
  const wire::FrameT frame = MakeReplyFrame(std::move(reply));
  return ReadJobInsertReply(&frame).answer;
}

}  // namespace

// Guards against a job that is refused and runs: a reply with a status that
// this version does not know counted neither as refused nor as in doubt, so the
// submission went on as if nothing could be stored.
Test(PeerReplies, insert_reply_of_another_version_is_unknown) {
  SetLogOutput([](const std::string&) {});
  const auto encode = [](JobAnswer answer) {
    return static_cast<uint8_t>(answer);
  };
  for (const JobAnswer answer :
       {JobAnswer::kStored, JobAnswer::kRefused, JobAnswer::kUnknown}) {
    cr_expect(ReadInsertStatus(encode(answer)) == answer);
  }
  cr_expect(ReadInsertStatus(encode(JobAnswer::kNotFound)) ==
            JobAnswer::kUnknown);
  cr_expect(ReadInsertStatus(encode(JobAnswer::kUnknown) + 1) ==
            JobAnswer::kUnknown);
  cr_expect(ReadInsertStatus(kUnknownValue) == JobAnswer::kUnknown);
  cr_expect(ReadJobInsertReply(nullptr).answer == JobAnswer::kUnknown);
  const wire::FrameT other = MakeReplyFrame(wire::JobQueryReplyT());
  cr_expect(ReadJobInsertReply(&other).answer == JobAnswer::kUnknown);
}

// Guards against showing a caller a state that does not exist.
Test(PeerReplies, phase_of_another_version_is_read_from_the_store) {
  SetLogOutput([](const std::string&) {});
  wire::JobQueryReplyT reply;
  reply.known = true;
  reply.phase = static_cast<uint8_t>(workflow::JobPhase::kFailed);
  wire::FrameT frame = MakeReplyFrame(reply);
  cr_expect(ReadJobQueryReply(&frame) == workflow::JobPhase::kFailed);
  reply.phase = kUnknownValue;
  frame = MakeReplyFrame(reply);
  cr_expect_not(ReadJobQueryReply(&frame).has_value());
  cr_expect_not(ReadJobQueryReply(nullptr).has_value());
}

// Guards against permits taken from a reply that cannot be read.
Test(PeerReplies, permit_reply_of_another_version_is_a_failure) {
  SetLogOutput([](const std::string&) {});
  wire::PermitReplyT reply;
  reply.status = kUnknownValue;
  reply.validity_ms = 1'000;
  const wire::FrameT frame = MakeReplyFrame(std::move(reply));
  const workflow::PermitAnswer answer = ReadPermitReply(&frame);
  cr_expect(answer.status == workflow::PermitStatus::kFailed);
  cr_expect_eq(answer.validity_ms, 0);
}

// Guards against a reply that ends a request to another peer.
Test(PeerReplies, reply_over_another_connection_ends_no_request) {
  constexpr uint64_t kLink = 3;
  PeerCalls calls;
  int answers = 0;
  const uint64_t call = AddCall(calls, kLink, [&](const wire::FrameT* frame) {
    answers++;
    cr_expect(frame != nullptr);
  });
  const wire::FrameT frame = MakeReplyFrame(wire::JobInsertReplyT());
  EndCallWithReply(calls, kLink + 1, call, frame);
  cr_expect_eq(answers, 0);
  EndCallWithReply(calls, kLink, call, frame);
  EndCallWithReply(calls, kLink, call, frame);
  cr_expect_eq(answers, 1);
}

}  // namespace dotterelcove
