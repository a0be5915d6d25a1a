#include "scheduler/Job.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterelcove {
namespace {

constexpr int64_t kMinimumMilliCores = 1;

std::vector<uint8_t> ToBytes(const std::string& text) {
  return {text.begin(), text.end()};
}

}  // namespace

core::JobSpec MakeJobSpec(const wire::SubmitT& submit, TimeMs now) {
  core::JobSpec spec;
  spec.id = submit.job;
  spec.team = submit.team;
  spec.workload = submit.service + "/" + submit.kind;
  spec.request_class = static_cast<RequestClass>(submit.request_class);
  if (submit.size != nullptr) {
    spec.size = {submit.size->milli_cores, submit.size->memory_mb,
                 submit.size->accelerators};
  }
  spec.size.milli_cores = std::max(spec.size.milli_cores, kMinimumMilliCores);
  spec.tasks = std::max<uint32_t>(submit.tasks, 1);
  spec.gang = submit.gang;
  spec.idempotent = submit.idempotent;
  spec.duration_ms = submit.duration_ms;
  spec.start_by_ms = submit.deadline_ms > 0 ? now + submit.deadline_ms : 0;
  return spec;
}

std::string MakeJobBody(const Job& job) {
  if (job.members.size() == 1) return job.members.front().result;
  nlohmann::json results = nlohmann::json::array();
  for (const MemberResult& member : job.members) {
    results.push_back(member.result);
  }
  return nlohmann::json{{"results", std::move(results)}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

JobResult MakeJobResult(const Job& job, const core::Command& decision) {
  JobResult result;
  result.worker = job.last_worker;
  result.detail = decision.message;
  result.retry_after_ms = decision.retry_after_ms;
  const bool complete =
      std::all_of(job.members.begin(), job.members.end(),
                  [](const MemberResult& member) { return member.ended; });
  switch (decision.end) {
    case core::JobEnd::kDone:
      result.outcome = Outcome::kDone;
      result.body = MakeJobBody(job);
      break;
    case core::JobEnd::kFailed:
      result.outcome = Outcome::kDone;
      result.detail = "failed: " + decision.message;
      break;
    case core::JobEnd::kNotRun:
      // Once a worker may have accepted a task, "not run" would be wrong, even
      // if the core decided so from its own tables.
      result.outcome = job.may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
      break;
    case core::JobEnd::kUnknown:
      result.outcome = Outcome::kUnknown;
      break;
    case core::JobEnd::kCancelled:
      if (!job.may_have_run) {
        result.outcome = Outcome::kNotRun;
        break;
      }
      result.outcome = Outcome::kDone;
      if (complete) result.body = MakeJobBody(job);
      if (!complete) result.detail = "cancelled after a task had started";
      break;
  }
  return result;
}

wire::OutcomeT MakeOutcome(const std::string& id, const JobResult& result) {
  wire::OutcomeT outcome;
  outcome.job = id;
  outcome.outcome = static_cast<uint8_t>(result.outcome);
  // A body that fits into a frame is sent inline even if it is also in the
  // object store.
  outcome.body = ToBytes(result.body);
  if (result.body.empty()) outcome.object = result.object;
  outcome.detail = result.detail;
  outcome.worker = result.worker;
  outcome.retry_after_ms = result.retry_after_ms;
  return outcome;
}

wire::StatusReplyT MakeOpenStatus(uint64_t call, const Job& job) {
  wire::StatusReplyT reply;
  reply.call = call;
  reply.found = true;
  reply.outcome = static_cast<uint8_t>(Outcome::kAccepted);
  reply.state = NameOf(kJobPhaseNames, job.phase);
  reply.worker = job.last_worker;
  return reply;
}

wire::StatusReplyT MakeEndedStatus(uint64_t call, const JobResult& result) {
  wire::StatusReplyT reply;
  reply.call = call;
  reply.found = true;
  reply.outcome = static_cast<uint8_t>(result.outcome);
  reply.state = "ended";
  reply.detail = result.detail;
  reply.worker = result.worker;
  reply.body = ToBytes(result.body);
  if (result.body.empty()) reply.object = result.object;
  return reply;
}

}  // namespace dotterelcove
