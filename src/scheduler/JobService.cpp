#include "scheduler/JobService.h"

#include "base/Clock.h"
#include "base/Hash.h"
#include "scheduler/JobRecords.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kStoreDownRetryMs = 2'000;
constexpr TimeMs kStoppingRetryMs = 500;
constexpr TimeMs kForgetPeriodMs = 10'000;

}  // namespace

JobService::JobService(Services& services, JobTable& jobs, RecordWriter& writer,
                       RowLookup& lookup, std::function<void()> fenced)
    : services(services),
      jobs(jobs),
      writer(writer),
      lookup(lookup),
      fenced(std::move(fenced)),
      recorder(services, writer),
      forget_timer(services.loop, [this] { this->ForgetOld(); }) {
  this->forget_timer.StartEvery(kForgetPeriodMs);
}

void JobService::Connect(CellDriver& driver, Adoption& adoption) {
  this->driver = &driver;
  this->adoption = &adoption;
}

void JobService::StopAccepting() { this->accepting = false; }

void JobService::OnSubmit(LinkId link, const wire::SubmitT& submit) {
  const PendingCall call{link, submit.call};
  Job* const known = this->jobs.Find(submit.job);
  if (known != nullptr) {
    if (known->submit.body_digest == submit.body_digest) {
      this->Join(*known, call);
      return;
    }
    wire::SubmitReplyT reply;
    reply.call = submit.call;
    reply.job = submit.job;
    reply.status = wire::SubmitStatus::Conflict;
    reply.message = "the key is in use with another body";
    this->services.send(link, MakeFrame(std::move(reply)));
    return;
  }
  Job& job = this->jobs.Add(submit, MonotonicMs());
  job.submitters.push_back(call);
  job.outcome_links.insert(link);
  if (!this->accepting) {
    this->Reject(job, wire::SubmitStatus::Unavailable, "owner is stopping",
                 kStoppingRetryMs);
    return;
  }
  if (!NeedsRecord(submit)) {
    this->adoption->HoldOrOpen(job);
    if (job.phase != JobPhase::kHeld) return;
    this->AnswerSubmitters(job, wire::SubmitStatus::Accepted, "", 0);
    return;
  }
  if (!this->writer.store_up()) {
    this->Reject(job, wire::SubmitStatus::Unavailable, "the store is down",
                 kStoreDownRetryMs);
    return;
  }
  // The job may have ended under an earlier owner, or long ago.
  const uint32_t partition = this->services.settings.partition;
  const std::string id = submit.job;
  this->lookup.Read(
      {EndedJobKey(partition, id), OpenJobKey(partition, id)},
      [this, id](bool ok, const std::vector<TableRow>& rows) {
        this->OnLookedUp(id, ok, rows);
      });
}

void JobService::OnLookedUp(const std::string& id, bool ok,
                            const std::vector<TableRow>& rows) {
  Job* const job = this->jobs.Find(id);
  if (job == nullptr) return;
  if (!ok) {
    this->Reject(*job, wire::SubmitStatus::Unavailable, "the store is down",
                 kStoreDownRetryMs);
    return;
  }
  if (rows[0].version != 0) {
    EndedJobRow row;
    if (!FromRow(rows[0].value, row)) {
      this->Reject(*job, wire::SubmitStatus::Unavailable,
                   "the record of this key cannot be read", kStoreDownRetryMs);
      return;
    }
    if (row.body_digest != job->submit.body_digest) {
      this->Reject(*job, wire::SubmitStatus::Conflict,
                   "the key was used with another body", 0);
      return;
    }
    job->recorded = true;
    job->result = row.result;
    this->jobs_ending++;
    this->Finish(*job);
    return;
  }
  this->Record(id);
}

void JobService::Record(const std::string& id) {
  Job* const job = this->jobs.Find(id);
  OpenJobRow row;
  row.submit = job->submit;
  row.accepted_wall_ms = WallMs();
  TablePut put;
  put.key = OpenJobKey(this->services.settings.partition, id);
  put.value = ToRow(row);
  this->writer.Put(std::move(put), false,
                   [this, id, alive = std::weak_ptr<bool>(this->alive)](
                       WriteStatus status) {
                     if (!alive.expired()) this->OnRecorded(id, status);
                   });
}

void JobService::OnRecorded(const std::string& id, WriteStatus status) {
  Job* const job = this->jobs.Find(id);
  if (status == WriteStatus::kFenced) {
    this->fenced();
    return;
  }
  if (job == nullptr) return;
  if (status == WriteStatus::kUnavailable) {
    this->Reject(*job, wire::SubmitStatus::Unavailable, "the store is down",
                 kStoreDownRetryMs);
    return;
  }
  job->recorded = true;
  // No row existed before, so no earlier owner can have started it.
  this->Open(*job);
}

bool JobService::Open(Job& job) {
  const core::SubmitDecision decision = this->driver->Open(job);
  if (decision.accepted) {
    this->AnswerSubmitters(job, wire::SubmitStatus::Accepted, "", 0);
    if (job.cancelled) this->driver->Cancel(job);
    return true;
  }
  this->services.metrics.Count("refused_jobs_total");
  if (job.recovered || job.ran) {
    // It was accepted before, so its caller gets an outcome.
    this->AnswerSubmitters(job, wire::SubmitStatus::Accepted, "", 0);
    this->driver->Decide(job, core::JobEnd::kNotRun, decision.message);
    return false;
  }
  if (job.recorded) {
    TablePut remove;
    remove.key =
        OpenJobKey(this->services.settings.partition, job.submit.job);
    remove.remove = true;
    this->writer.Put(std::move(remove), true, [](WriteStatus) {});
  }
  this->Reject(job, wire::SubmitStatus::Refused, decision.message,
               decision.retry_after_ms);
  return false;
}

void JobService::Recover(wire::SubmitT submit,
                         std::vector<MemberResult> members) {
  if (this->jobs.Find(submit.job) != nullptr) return;
  Job& job = this->jobs.Add(std::move(submit), MonotonicMs());
  job.recorded = true;
  job.recovered = true;
  job.members = std::move(members);
  this->adoption->HoldOrOpen(job);
}

void JobService::Join(Job& job, const PendingCall& call) {
  job.submitters.push_back(call);
  job.outcome_links.insert(call.link);
  if (job.phase == JobPhase::kRecording) return;
  this->AnswerSubmitters(job, wire::SubmitStatus::Accepted, "", 0);
  if (job.phase == JobPhase::kEnded) this->SendOutcome(job);
}

void JobService::AnswerSubmitters(Job& job, wire::SubmitStatus status,
                                  const std::string& message,
                                  TimeMs retry_after_ms) {
  for (const PendingCall& call : job.submitters) {
    wire::SubmitReplyT reply;
    reply.call = call.call;
    reply.job = job.submit.job;
    reply.status = status;
    reply.message = message;
    reply.retry_after_ms = retry_after_ms;
    this->services.send(call.link, MakeFrame(std::move(reply)));
  }
  job.submitters.clear();
}

void JobService::Reject(Job& job, wire::SubmitStatus status,
                        const std::string& message, TimeMs retry_after_ms) {
  this->AnswerSubmitters(job, status, message, retry_after_ms);
  this->jobs.Remove(job.submit.job);
}

void JobService::OnMemberSucceeded(Job& job, uint32_t member,
                                   const Acknowledge& acknowledge) {
  if (!job.recorded) {
    acknowledge();
    return;
  }
  if (job.members.size() == 1) {
    job.acknowledgements.push_back(acknowledge);
    return;
  }
  this->recorder.RecordMember(job, member, acknowledge);
}

void JobService::OnDecided(Job& job) {
  job.phase = JobPhase::kEnding;
  this->jobs_ending++;
  job.result = MakeJobResult(job, *job.decision);
  this->recorder.RecordEnd(job, [this, &job,
                                 alive = std::weak_ptr<bool>(this->alive)] {
    if (!alive.expired()) this->Finish(job);
  });
}

void JobService::Finish(Job& job) {
  this->jobs_ending--;
  job.phase = JobPhase::kEnded;
  job.ended_ms = MonotonicMs();
  this->ended.emplace_back(job.ended_ms, job.submit.job);
  for (const Acknowledge& acknowledge : job.acknowledgements) acknowledge();
  job.acknowledgements.clear();
  // Only the answer is needed from here on.
  job.submit.payload.clear();
  job.submit.payload.shrink_to_fit();
  job.members.clear();
  const std::string outcome(NameOf(kOutcomeNames, job.result.outcome));
  this->services.metrics.Count("jobs_ended_total", {{"outcome", outcome}});
  this->services.events.Add("job_ended", {job.submit.job, "", "", 0}, outcome);
  this->AnswerSubmitters(job, wire::SubmitStatus::Accepted, "", 0);
  this->SendOutcome(job);
  for (const PendingCall& call : job.status_waiters) {
    this->services.send(call.link, MakeFrame(MakeStatusReply(call.call, job)));
  }
  job.status_waiters.clear();
}

void JobService::SendOutcome(Job& job) {
  for (const LinkId link : job.outcome_links) {
    this->services.send(link,
                        MakeFrame(MakeOutcome(job.submit.job, job.result)));
  }
  job.outcome_links.clear();
}

void JobService::OnCancel(LinkId link, const wire::CancelT& cancel) {
  const std::string id = MakeJobId(cancel.caller, cancel.key);
  Job* const job = this->jobs.Find(id);
  wire::CancelReplyT reply;
  reply.call = cancel.call;
  reply.found = job != nullptr;
  if (job == nullptr) {
    reply.message = "no such request";
  } else if (job->phase == JobPhase::kEnded) {
    reply.message = "the request has ended";
  } else {
    reply.message = "the request is being cancelled";
    job->cancelled = true;
    if (job->phase == JobPhase::kOpen) this->driver->Cancel(*job);
  }
  this->services.send(link, MakeFrame(std::move(reply)));
}

wire::StatusReplyT JobService::Describe(uint64_t call, const Job& job) const {
  wire::StatusReplyT reply = MakeStatusReply(call, job);
  if (job.phase != JobPhase::kOpen) return reply;
  const core::JobExplanation explanation = core::Explain(
      this->driver->cell(), job.submit.job, MonotonicMs());
  if (!explanation.found) return reply;
  reply.state = explanation.state;
  reply.detail = explanation.reason;
  return reply;
}

void JobService::OnStatusQuery(LinkId link, const wire::StatusQueryT& query) {
  const std::string id = MakeJobId(query.caller, query.key);
  Job* const job = this->jobs.Find(id);
  if (job != nullptr) {
    if (query.wait && job->phase != JobPhase::kEnded) {
      job->status_waiters.push_back({link, query.call});
      return;
    }
    this->services.send(link, MakeFrame(this->Describe(query.call, *job)));
    return;
  }
  this->lookup.Read(
      {EndedJobKey(this->services.settings.partition, id)},
      [this, link, call = query.call](bool ok,
                                      const std::vector<TableRow>& rows) {
        wire::StatusReplyT reply;
        reply.call = call;
        EndedJobRow row;
        if (!ok) {
          reply.detail = "the store is down";
        } else if (rows[0].version != 0 && FromRow(rows[0].value, row)) {
          Job ended;
          ended.phase = JobPhase::kEnded;
          ended.result = row.result;
          reply = MakeStatusReply(call, ended);
        }
        this->services.send(link, MakeFrame(std::move(reply)));
      });
}

void JobService::ForgetOld() {
  const TimeMs now = MonotonicMs();
  while (!this->ended.empty() &&
         now - this->ended.front().first >= kEndedJobKeptMs) {
    this->jobs.Remove(this->ended.front().second);
    this->ended.pop_front();
  }
}

}  // namespace dotterelcove
