/// State that the owner keeps for a job that has not ended, and job results.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "border/worker/WorkerMessages.h"
#include "core/Core.h"
#include "dotterelcove/Types.h"
#include "peer/PeerNode.h"

namespace dotterelcove {

enum class JobPhase : uint8_t {
  /// Its record is being looked up or written.
  kRecording,
  /// One of its tasks may be on a worker that has not answered since the
  /// takeover.
  kHeld,
  /// Submitted to the core, which places its tasks.
  kOpen,
  /// Ended; the result is being recorded.
  kEnding,
};
inline constexpr auto kJobPhaseNames =
    MakeNameTable<JobPhase>({{JobPhase::kRecording, "recording"},
                             {JobPhase::kHeld, "held"},
                             {JobPhase::kOpen, "open"},
                             {JobPhase::kEnding, "ending"}});

/// What callers are told when a job has ended.
struct JobResult {
  Outcome outcome = Outcome::kUnknown;
  std::string body;
  /// Name of the body in the object store when it is too large for a row or a
  /// frame; `body` may then be empty.
  std::string object;
  std::string detail;
  std::string worker;
  TimeMs retry_after_ms = 0;
};

struct MemberResult {
  bool ended = false;
  std::string result;
};

/// A message of an entry daemon that has not been answered yet.
struct PendingCall {
  LinkId link = 0;
  uint64_t call = 0;
};

/// A task that a worker reported after a takeover, for a job that is held.
struct ReportedTask {
  std::string worker;
  WorkerTask task;
  TimeMs started_ms = 0;
  std::optional<EndedTask> ended;
};

/// Tells a worker that it may discard the result of an ended task.
using Acknowledge = std::function<void()>;

struct Job {
  wire::SubmitT submit;
  JobPhase phase = JobPhase::kRecording;
  /// Read from its record after a takeover.
  bool recovered = false;
  /// The table service has a row of it.
  bool recorded = false;
  /// A worker accepted one of its tasks, or may have.
  bool may_have_run = false;
  bool cancelled = false;
  /// A routed request, which has no tasks; it is in the job table only while
  /// its outcome is being recorded.
  bool routed = false;
  /// Number of its tasks that are on a worker, or may be.
  uint32_t tasks_on_workers = 0;
  TimeMs submitted_ms = 0;
  std::string last_worker;
  std::vector<MemberResult> members;
  /// The kJobEnded command, set when the core has ended the job.
  std::optional<core::Command> decision;
  JobResult result;
  /// Submit messages that have not been answered by a SubmitReply.
  std::vector<PendingCall> submitters;
  /// StatusQuery messages that wait for the end of the job.
  std::vector<PendingCall> status_waiters;
  /// Links to which the Outcome is sent.
  std::set<LinkId> outcome_links;
  std::vector<ReportedTask> reported_tasks;
  std::vector<Acknowledge> acknowledgements;
};

/// Whether a record must be committed before the job is accepted.
inline bool NeedsRecord(const wire::SubmitT& submit) {
  return submit.durable || !submit.idempotent;
}

/// Whether the outcome is kept for later submissions and queries of the same
/// key. A synchronous caller that was told "not run" may submit the key again
/// to have the work done; a caller with a handle queries the outcome later.
inline bool KeepsOutcome(const Job& job) {
  return job.result.outcome != Outcome::kNotRun || job.submit.durable;
}

/// The specification of the job for the core; its deadline is relative to
/// `now`.
core::JobSpec MakeJobSpec(const wire::SubmitT& submit, TimeMs now);

/// The body of a job whose members have all ended: the result of the only
/// member, or {"results": [...]} in the order of the members.
std::string MakeJobBody(const Job& job);

/// Derives the result for callers from the decision of the core.
JobResult MakeJobResult(const Job& job, const core::Command& decision);

wire::OutcomeT MakeOutcome(const std::string& id, const JobResult& result);
/// Status of a job that has not ended.
wire::StatusReplyT MakeOpenStatus(uint64_t call, const Job& job);
/// Status of a job that has ended.
wire::StatusReplyT MakeEndedStatus(uint64_t call, const JobResult& result);

}  // namespace dotterelcove
