// Requests of callers to a node: submitting, cancelling and looking up jobs.
#include <utility>

#include "node/Node.h"
#include "node/PeerReplies.h"
#include "node/Submission.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

/// Timeout of a job query to the owner, after which the store is read instead.
constexpr TimeMs kOwnerQueryTimeoutMs = 250;
/// An owner that the store has not answered for this long counts as unable to
/// insert jobs for others.
constexpr TimeMs kMaxOwnerStoreAgeMs = 900;

}  // namespace

void Node::NotifyOwner(const StoreRow& row) {
  if (row.version == 0) return;
  if (this->controller) {
    workflow::AdmitRow(*this->controller, row);
    return;
  }
  if (this->owner_link == 0) return;
  wire::JobNoticeT notice;
  notice.key = row.key;
  notice.value = row.value;
  notice.version = row.version;
  this->peers->Send(this->owner_link, std::move(notice));
}

void Node::InsertThroughOwner(const std::string& key, const std::string& value,
                              JobOutcomeCallback done) {
  if (this->owner_link == 0) {
    done({JobAnswer::kRefused, {}, "no_owner"});
    return;
  }
  const uint64_t call =
      AddCall(this->calls, this->owner_link,
              [done = std::move(done)](const wire::FrameT* frame) {
                done(ReadJobInsertReply(frame));
              });
  wire::JobInsertT insert;
  insert.call = call;
  insert.key = key;
  insert.value = value;
  this->peers->Send(this->owner_link, std::move(insert));
  constexpr TimeMs kSlackMs = 200;
  this->runtime.after(kOwnerInsertTimeoutMs + kSlackMs,
                      [this, call, alive = this->alive] {
                        if (*alive) EndCall(this->calls, call, nullptr);
                      });
}

void Node::InsertForPeer(const PeerInfo& peer, const wire::JobInsertT& insert) {
  const TimeMs began_ms = this->runtime.now();
  InsertJob(
      this->runtime, this->ports.store, insert.key, insert.value,
      began_ms + kOwnerInsertTimeoutMs,
      [this, began_ms, call = insert.call, key = insert.key, link = peer.link,
       process = peer.process, alive = this->alive](const JobOutcome& outcome) {
        if (!*alive) return;
        const bool stored = outcome.answer == JobAnswer::kStored;
        Log(stored ? LogLevel::kInfo : LogLevel::kWarning,
            "job_inserted_for_peer",
            {F("job", key), F("peer", process),
             F("answer", NameOf(kJobAnswerNames, outcome.answer)),
             F("reason", outcome.reason), F("calls", outcome.calls),
             F("took_ms", this->runtime.now() - began_ms),
             F("version", outcome.row.version)});
        if (stored) this->NotifyOwner(outcome.row);
        wire::JobInsertReplyT reply;
        reply.call = call;
        reply.status = static_cast<uint8_t>(outcome.answer);
        this->peers->Send(link, reply);
      });
}

void Node::Submit(const workflow::JobSpec& spec, TimeMs timeout_ms,
                  std::function<void(JobAnswer)> done) {
  const std::string key = spec.id;
  const std::string value = workflow::EncodeJob(spec);
  const TimeMs began_ms = this->runtime.now();
  SubmissionPorts ports;
  ports.runtime = this->runtime;
  ports.insert_directly = [this, key, value,
                           alive = this->alive](JobOutcomeCallback answered) {
    if (!*alive) return;
    InsertJobOnce(this->runtime, this->ports.store, key, value,
                  std::move(answered));
  };
  ports.insert_through_owner =
      [this, key, value, alive = this->alive](JobOutcomeCallback answered) {
        if (!*alive) return;
        this->InsertThroughOwner(key, value, std::move(answered));
      };
  ports.store_unresponsive_ms = this->ports.store_unresponsive_ms;
  ports.owner_reaches_store = [this, alive = this->alive] {
    return *alive && this->OwnerReachesStore();
  };
  SubmitJob(
      std::move(ports), began_ms + timeout_ms,
      [this, key, queue = spec.queue, began_ms, done = std::move(done),
       alive = this->alive](const SubmissionResult& result) {
        if (!*alive) return;
        if (result.answer == JobAnswer::kStored) this->NotifyOwner(result.row);
        const TimeMs now_ms = this->runtime.now();
        const TimeMs took_ms = now_ms - began_ms;
        this->metrics.ObserveSeconds("wait_seconds",
                                     static_cast<double>(took_ms) / 1'000,
                                     {{"of", "accept"}});
        this->metrics.Count(
            "submissions_total",
            {{"answer", std::string(NameOf(kJobAnswerNames, result.answer))}});
        LogSubmission(key, queue, result, now_ms, took_ms);
        done(result.answer);
      });
}

bool Node::OwnerReachesStore() const {
  return this->owner_link != 0 &&
         this->owner_store_age_ms < kMaxOwnerStoreAgeMs;
}

void Node::Cancel(const std::string& id, TimeMs timeout_ms,
                  std::function<void(JobAnswer)> done) {
  const auto may_store_unknown = [this, alive = this->alive] {
    return *alive && this->MayCancelUnknown();
  };
  InsertCancellation(
      this->runtime, this->ports.store, id, this->runtime.now() + timeout_ms,
      may_store_unknown,
      [this, id, done = std::move(done),
       alive = this->alive](const JobOutcome& outcome) {
        if (!*alive) return;
        Log(LogLevel::kInfo, "cancel_answered",
            {F("job", id), F("answer", NameOf(kJobAnswerNames, outcome.answer)),
             F("reason", outcome.reason), F("calls", outcome.calls)});
        this->NotifyOwner(outcome.row);
        done(outcome.answer);
      });
}

bool Node::MayCancelUnknown() {
  // Each takes a row that is kept as long as the outcome of a job.
  constexpr double kPerSecond = 20;
  return fairness::TakeShare(this->unknown_cancellations, {}, kPerSecond,
                             this->runtime.now());
}

void Node::Query(const std::string& id,
                 const std::function<void(JobStatus)>& done) {
  const auto from_store = [this, id, done] {
    LookUpJob(this->ports.store, id, [done](const JobLookup& lookup) {
      JobStatus status;
      status.answered = lookup.status == StoreStatus::kOk;
      status.found = lookup.found;
      status.phase = lookup.phase;
      status.source = "store";
      done(status);
    });
  };
  if (this->controller) {
    const auto phase = workflow::QueryJob(*this->controller, id);
    if (!phase) {
      from_store();
      return;
    }
    done({true, true, *phase, "owner"});
    return;
  }
  if (this->owner_link == 0) {
    from_store();
    return;
  }
  const uint64_t call = AddCall(this->calls, this->owner_link,
                                [done, from_store](const wire::FrameT* frame) {
                                  const auto phase = ReadJobQueryReply(frame);
                                  if (!phase) {
                                    from_store();
                                    return;
                                  }
                                  done({true, true, *phase, "owner"});
                                });
  wire::JobQueryT query;
  query.call = call;
  query.job = id;
  this->peers->Send(this->owner_link, std::move(query));
  this->runtime.after(kOwnerQueryTimeoutMs, [this, call, alive = this->alive] {
    if (*alive) EndCall(this->calls, call, nullptr);
  });
}

std::optional<uint32_t> Node::PendingJobs(const std::string& queue) const {
  std::optional<std::map<std::string, uint32_t>> own;
  if (this->controller) own = workflow::CountPending(*this->controller);
  if (own) {
    const auto found = own->find(queue);
    return found == own->end() ? 0 : found->second;
  }
  if (!this->pending_jobs_known) return std::nullopt;
  const auto found = this->pending_jobs.find(queue);
  return found == this->pending_jobs.end() ? 0 : found->second;
}

}  // namespace dotterelcove
