/// One job that has not ended, as the owner knows it, and its results.
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
  /// A task of it may be on a worker that has not answered since the take-over.
  kHeld,
  /// The core places it.
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
  /// Name in the object store of a body that is not in `body`.
  std::string object;
  std::string detail;
  std::string worker;
  TimeMs retry_after_ms = 0;
};

struct MemberResult {
  bool ended = false;
  std::string result;
};

/// A message of an entry daemon that is still to be answered.
struct PendingCall {
  LinkId link = 0;
  uint64_t call = 0;
};

/// A task that a worker reported for a held job.
struct ReportedTask {
  std::string worker;
  WorkerTask task;
  TimeMs started_ms = 0;
  std::optional<EndedTask> ended;
};

/// Tells a worker that it may forget an ended task.
using Acknowledge = std::function<void()>;

struct Job {
  wire::SubmitT submit;
  JobPhase phase = JobPhase::kRecording;
  /// Read from its record after a take-over.
  bool recovered = false;
  /// A record of it is in the table service.
  bool recorded = false;
  /// A task of it was accepted by a worker, or may have been.
  bool may_have_run = false;
  bool cancelled = false;
  /// A routed request, which has no tasks; it is here only while its outcome is
  /// being recorded.
  bool routed = false;
  /// Number of its tasks that are on workers, or may be.
  uint32_t tasks_on_workers = 0;
  TimeMs submitted_ms = 0;
  std::string last_worker;
  std::vector<MemberResult> members;
  /// Set when the core has ended the job.
  std::optional<core::Command> decision;
  JobResult result;
  /// Submit messages without a SubmitReply.
  std::vector<PendingCall> submitters;
  /// StatusQuery messages that wait for the end.
  std::vector<PendingCall> status_waiters;
  /// Links that get the Outcome.
  std::set<LinkId> outcome_links;
  std::vector<ReportedTask> reported_tasks;
  std::vector<Acknowledge> acknowledgements;
};

/// Whether a record must be committed before the job is accepted.
inline bool NeedsRecord(const wire::SubmitT& submit) {
  return submit.durable || !submit.idempotent;
}

/// Whether the outcome is kept for the same key. A caller that was told "not
/// run" while it waited may send the key again to have the work done; one with
/// a handle asks for the outcome later.
inline bool KeepsOutcome(const Job& job) {
  return job.result.outcome != Outcome::kNotRun || job.submit.durable;
}

/// The job as the core sees it; a deadline counts from `now`.
core::JobSpec MakeJobSpec(const wire::SubmitT& submit, TimeMs now);

/// The whole answer of a job whose members have all ended: the result of the
/// only member, or {"results": [...]} in the order of the members.
std::string MakeJobBody(const Job& job);

/// What callers are told, given the decision of the core.
JobResult MakeJobResult(const Job& job, const core::Command& decision);

wire::OutcomeT MakeOutcome(const std::string& id, const JobResult& result);
/// Status of a job that has not ended.
wire::StatusReplyT MakeOpenStatus(uint64_t call, const Job& job);
/// Status of one that has.
wire::StatusReplyT MakeEndedStatus(uint64_t call, const JobResult& result);

}  // namespace dotterelcove
