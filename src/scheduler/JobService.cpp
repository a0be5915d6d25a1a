#include "scheduler/JobService.h"

#include "base/Clock.h"
#include "base/Hash.h"
#include "scheduler/JobRecords.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kStoreDownRetryMs = 2'000;
constexpr TimeMs kEvictionPeriodMs = 10'000;

}  // namespace

JobService::JobService(Services& services, JobTable& jobs, RecordWriter& writer,
                       RowLookup& lookup, std::function<void()> fenced)
    : services(services),
      jobs(jobs),
      writer(writer),
      lookup(lookup),
      fenced(std::move(fenced)),
      recorder(services, writer),
      eviction_timer(services.loop,
                     [this] { this->jobs.ended.EvictExpired(MonotonicMs()); }) {
  this->eviction_timer.StartEvery(kEvictionPeriodMs);
}

void JobService::Connect(CellDriver& driver, Adoption& adoption) {
  this->driver = &driver;
  this->adoption = &adoption;
}

void JobService::StopAccepting() { this->accepting = false; }

void JobService::OnSubmit(LinkId link, const wire::SubmitT& submit) {
  const PendingCall call{link, submit.call};
  Job* const known = this->jobs.Find(submit.job);
  const EndedJob* const ended = this->jobs.ended.Find(submit.job);
  const bool conflict =
      (known != nullptr && known->submit.body_digest != submit.body_digest) ||
      (ended != nullptr && ended->body_digest != submit.body_digest);
  if (conflict || ended != nullptr) {
    wire::SubmitReplyT reply;
    reply.call = submit.call;
    reply.job = submit.job;
    if (conflict) {
      reply.status = wire::SubmitStatus::Conflict;
      reply.message = "the key is in use with another body";
    }
    this->services.send(link, MakeFrame(std::move(reply)));
    if (!conflict) this->SendOutcome(link, submit.job, ended->result);
    return;
  }
  if (known != nullptr) {
    this->Join(*known, call);
    return;
  }
  // A stopping owner does not answer new jobs. The entry daemon sends them
  // again to the next owner, so that a planned stop refuses no job.
  if (!this->accepting) return;
  Job& job = this->jobs.Add(submit, MonotonicMs());
  job.submitters.push_back(call);
  job.outcome_links.insert(link);
  if (!NeedsRecord(submit)) {
    if (this->adoption->HoldOrOpen(job)) {
      this->AnswerSubmitters(job, wire::SubmitStatus::Accepted, "", 0);
    }
    return;
  }
  if (!this->writer.store_up()) {
    this->Reject(job, wire::SubmitStatus::Unavailable, "the store is down",
                 kStoreDownRetryMs);
    return;
  }
  // The job may have ended under an earlier owner, or too long ago to be in the
  // cache.
  const uint32_t partition = this->services.settings.partition;
  const std::string id = submit.job;
  this->lookup.Read({EndedJobKey(partition, id), OpenJobKey(partition, id)},
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
  this->writer.Put(
      std::move(put), false,
      [this, id, alive = std::weak_ptr<bool>(this->alive)](WriteStatus status) {
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
  // There was no row before, so no earlier owner can have started the job.
  this->Open(*job);
}

void JobService::Open(Job& job) {
  const core::SubmitDecision decision = this->driver->Open(job);
  if (decision.accepted) {
    this->AnswerSubmitters(job, wire::SubmitStatus::Accepted, "", 0);
    if (job.cancelled) this->driver->Cancel(job);
    return;
  }
  this->services.metrics.Count("refused_jobs_total");
  if (job.recovered || job.may_have_run) {
    // The job was accepted before, so its callers are owed an outcome.
    this->AnswerSubmitters(job, wire::SubmitStatus::Accepted, "", 0);
    this->driver->Decide(job, core::JobEnd::kNotRun, decision.message);
    return;
  }
  if (job.recorded) {
    TablePut remove;
    remove.key = OpenJobKey(this->services.settings.partition, job.submit.job);
    remove.remove = true;
    this->writer.Put(std::move(remove), true, [](WriteStatus) {});
  }
  this->Reject(job, wire::SubmitStatus::Refused, decision.message,
               decision.retry_after_ms);
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
  this->recorder.RecordEnd(
      job, [this, &job, alive = std::weak_ptr<bool>(this->alive)] {
        if (!alive.expired()) this->Finish(job);
      });
}

void JobService::Finish(Job& job) {
  this->jobs_ending--;
  const std::string id = job.submit.job;
  for (const Acknowledge& acknowledge : job.acknowledgements) acknowledge();
  const std::string outcome(NameOf(kOutcomeNames, job.result.outcome));
  this->services.metrics.Count("jobs_ended_total", {{"outcome", outcome}});
  this->services.events.Add("job_ended", {id, "", "", 0}, outcome);
  this->AnswerSubmitters(job, wire::SubmitStatus::Accepted, "", 0);
  for (const LinkId link : job.outcome_links) {
    this->SendOutcome(link, id, job.result);
  }
  for (const PendingCall& call : job.status_waiters) {
    this->services.send(call.link,
                        MakeFrame(MakeEndedStatus(call.call, job.result)));
  }
  if (KeepsOutcome(job)) {
    this->jobs.ended.Add(
        id, {job.submit.body_digest, std::move(job.result), MonotonicMs()});
  }
  this->jobs.Remove(id);
}

void JobService::SendOutcome(LinkId link, const std::string& id,
                             const JobResult& result) {
  this->services.send(link, MakeFrame(MakeOutcome(id, result)));
}

void JobService::EndRouted(wire::SubmitT request, JobResult result,
                           bool recorded, std::set<LinkId> outcome_links,
                           std::vector<PendingCall> status_waiters) {
  Job& job = this->jobs.Add(std::move(request), MonotonicMs());
  job.phase = JobPhase::kEnding;
  job.routed = true;
  job.recorded = recorded;
  job.result = std::move(result);
  job.outcome_links = std::move(outcome_links);
  job.status_waiters = std::move(status_waiters);
  this->jobs_ending++;
  this->recorder.RecordEnd(
      job, [this, &job, alive = std::weak_ptr<bool>(this->alive)] {
        if (!alive.expired()) this->Finish(job);
      });
}

void JobService::OnCancel(LinkId link, const wire::CancelT& cancel) {
  const std::string id = MakeJobId(cancel.caller, cancel.key);
  Job* const job = this->jobs.Find(id);
  wire::CancelReplyT reply;
  reply.call = cancel.call;
  reply.found = job != nullptr || this->jobs.ended.Find(id) != nullptr;
  if (!reply.found) {
    reply.message = "no such request";
  } else if (job == nullptr || job->phase == JobPhase::kEnding) {
    reply.message = "the request has ended";
  } else {
    reply.message = "the request is being cancelled";
    job->cancelled = true;
    if (job->phase == JobPhase::kOpen) this->driver->Cancel(*job);
  }
  this->services.send(link, MakeFrame(std::move(reply)));
}

wire::StatusReplyT JobService::Describe(uint64_t call, const Job& job) const {
  wire::StatusReplyT reply = MakeOpenStatus(call, job);
  if (job.phase != JobPhase::kOpen) return reply;
  const core::JobExplanation explanation =
      core::Explain(this->driver->cell(), job.submit.job, MonotonicMs());
  if (!explanation.found) return reply;
  reply.state = explanation.state;
  reply.detail = explanation.reason;
  return reply;
}

void JobService::OnStatusQuery(LinkId link, const wire::StatusQueryT& query,
                               const RoutedStatusHandler& routed) {
  const std::string id = MakeJobId(query.caller, query.key);
  Job* const job = this->jobs.Find(id);
  if (job != nullptr) {
    if (query.wait) {
      job->status_waiters.push_back({link, query.call});
      return;
    }
    this->services.send(link, MakeFrame(this->Describe(query.call, *job)));
    return;
  }
  const EndedJob* const ended = this->jobs.ended.Find(id);
  if (ended != nullptr) {
    this->services.send(link,
                        MakeFrame(MakeEndedStatus(query.call, ended->result)));
    return;
  }
  if (routed(id, link, query)) return;
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
          reply = MakeEndedStatus(call, row.result);
        }
        this->services.send(link, MakeFrame(std::move(reply)));
      });
}

}  // namespace dotterelcove
