#include "scheduler/SlotService.h"

#include <algorithm>
#include <utility>

#include "base/Clock.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kStoreDownRetryMs = 2'000;
constexpr TimeMs kOverloadRetryMs = 1'000;
// Maximum number of queued requests. Each takes well under a kilobyte, and at
// hundreds of requests per second a longer queue could only lead to missed
// deadlines.
constexpr size_t kMaxWaiting = 5'000;

// Whether a request with this result certainly did not run.
bool RulesOutRun(wire::SlotResult result) {
  return result == wire::SlotResult::NotSent ||
         result == wire::SlotResult::RefusedByEndpoint;
}

// Fill level of the queue, in tenths of kMaxWaiting, from which requests of a
// class are refused. The lowest class is shed first.
size_t QueueShareTenths(uint8_t request_class) {
  switch (static_cast<RequestClass>(request_class)) {
    case RequestClass::kUrgent:
      return 10;
    case RequestClass::kService:
      return 9;
    case RequestClass::kBatch:
      return 7;
  }
  return 7;
}

}  // namespace

SlotService::SlotService(Services& services, JobTable& jobs,
                         JobService& job_service, RecordWriter& writer,
                         RowLookup& lookup, uint64_t epoch,
                         const std::set<std::string>& down,
                         std::function<void()> fenced)
    : services(services),
      jobs(jobs),
      job_service(job_service),
      writer(writer),
      lookup(lookup),
      epoch(epoch),
      fenced(std::move(fenced)),
      tracker(services, writer, down, [this] { this->DispatchAll(); }),
      timer(services.loop, [this] { this->OnTimer(); }) {
  this->ScheduleTimer();
}

void SlotService::RecoverIntent(const std::string& id, const IntentRow& row) {
  RoutedRequest& routed = this->requests[id];
  routed.request.job = id;
  routed.request.caller = row.caller;
  routed.request.key = row.key;
  routed.request.body_digest = row.body_digest;
  routed.request.idempotent = false;
  routed.process = row.entry;
  routed.has_intent_row = true;
  routed.may_have_run = true;
  routed.phase = RoutedPhase::kReturned;
  routed.returned_until_ms =
      MonotonicMs() + this->services.settings.timing.max_routed_deadline_ms;
}

void SlotService::OnEntryConnected(const std::string& process, LinkId link) {
  this->tracker.OnConnected(process, link);
}

void SlotService::OnEntryDisconnected(const std::string& process, LinkId link) {
  this->tracker.OnDisconnected(process, link);
}

void SlotService::OnReport(LinkId link, const std::string& process,
                           const wire::SlotReportT& report) {
  if (report.owner_epoch != this->epoch) return;
  const TimeMs now = MonotonicMs();
  std::set<GrantKey> held;
  for (const auto& slot : report.held) {
    const GrantKey key{slot->epoch, slot->grant};
    held.insert(key);
    if (this->grants.contains(key)) continue;
    const bool is_probe = this->table.AcquireSlot(slot->endpoint);
    RoutedRequest& routed = this->requests[slot->job];
    this->LeaveQueue(routed);
    routed.request.job = slot->job;
    routed.request.caller = slot->caller;
    routed.request.key = slot->key;
    routed.request.idempotent = slot->idempotent;
    routed.process = process;
    routed.link = link;
    routed.phase = RoutedPhase::kGranted;
    routed.grant = key;
    routed.deadline_ms = now + slot->time_left_ms;
    const auto endpoint = this->table.endpoints().find(slot->endpoint);
    this->grants[key] = {slot->job,
                         slot->endpoint,
                         process,
                         endpoint->second.vm.service,
                         routed.deadline_ms,
                         is_probe};
  }
  // A grant that is missing from the report, or its release, was lost in
  // transit.
  std::vector<GrantKey> missing;
  for (const auto& [key, slot] : this->grants) {
    if (slot.process == process && !held.contains(key)) missing.push_back(key);
  }
  for (const GrantKey& key : missing) {
    const std::string id = this->grants.at(key).job;
    this->ReleaseSlot(key);
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) continue;
    found->second.phase = RoutedPhase::kReturned;
    found->second.may_have_run = true;
    found->second.returned_until_ms =
        now + this->services.settings.timing.max_routed_deadline_ms;
  }
  this->tracker.OnReport(process);
  this->DispatchAll();
}

void SlotService::OnRequest(LinkId link, const std::string& process,
                            const wire::SlotRequestT& request) {
  const EndedJob* const ended = this->jobs.ended.Find(request.job);
  const Job* const job = this->jobs.Find(request.job);
  const auto known = this->requests.find(request.job);
  const std::string* digest = nullptr;
  if (ended != nullptr) digest = &ended->body_digest;
  if (job != nullptr) digest = &job->submit.body_digest;
  if (known != this->requests.end()) {
    digest = &known->second.request.body_digest;
  }
  // A grant of an earlier owner is reported without its digest.
  if (digest != nullptr && !digest->empty() && *digest != request.body_digest) {
    this->Refuse(link, request, wire::SlotRefusalReason::Conflict,
                 "the key is in use with another body");
    return;
  }
  if (ended != nullptr) {
    this->RefuseEnded(link, request, ended->result);
    return;
  }
  if (job != nullptr) {
    this->jobs.Find(request.job)->outcome_links.insert(link);
    this->Refuse(link, request, wire::SlotRefusalReason::Duplicate,
                 "the same key is in progress");
    return;
  }
  if (known != this->requests.end()) {
    this->OnKnownRequest(known->second, link, process, request);
    return;
  }
  this->OnNewRequest(link, process, request);
}

void SlotService::OnKnownRequest(RoutedRequest& known, LinkId link,
                                 const std::string& process,
                                 const wire::SlotRequestT& request) {
  const bool same_process = known.process == process;
  const bool sent_again = same_process && (known.request.call == request.call ||
                                           known.link != link);
  const bool abandoned =
      !same_process && !this->tracker.IsConnected(known.process);
  switch (known.phase) {
    case RoutedPhase::kRecording:
    case RoutedPhase::kWaiting:
      // Nothing has been sent to an endpoint yet, so another daemon may take
      // the request over from a disconnected one.
      if (!sent_again && !abandoned) break;
      this->Assign(known, link, process, request);
      return;
    case RoutedPhase::kReturned:
      if (!same_process && !(abandoned && request.idempotent)) break;
      this->Assign(known, link, process, request);
      known.phase = RoutedPhase::kWaiting;
      this->Enqueue(known);
      this->Dispatch(request.service);
      return;
    case RoutedPhase::kGranted:
      if (!sent_again || known.grant.first != this->epoch) break;
      // The grant did not reach the daemon.
      this->Assign(known, link, process, request);
      this->SendGrant(known);
      return;
  }
  known.outcome_links.insert(link);
  this->Refuse(link, request, wire::SlotRefusalReason::Duplicate,
               "the same key is in progress");
}

void SlotService::Assign(RoutedRequest& routed, LinkId link,
                         const std::string& process,
                         const wire::SlotRequestT& request) {
  routed.request = request;
  routed.link = link;
  routed.process = process;
  routed.deadline_ms = MonotonicMs() + request.deadline_ms;
}

bool SlotService::RefuseAtOnce(LinkId link, const wire::SlotRequestT& request) {
  // Entry daemons send unanswered requests again to the next owner.
  if (!this->granting) return true;
  if (this->has_vm_list &&
      !this->table.Serves(request.service, MonotonicMs())) {
    this->Refuse(link, request, wire::SlotRefusalReason::NoEndpoint,
                 "no endpoint serves " + request.service, kOverloadRetryMs);
    return true;
  }
  const size_t limit =
      kMaxWaiting * QueueShareTenths(request.request_class) / 10;
  if (request.deadline_ms <= 0 || this->waiting_count >= limit) {
    this->services.metrics.Count("sheds_total", {{"delivery", "route"}});
    this->Refuse(link, request, wire::SlotRefusalReason::Overload,
                 "too many requests wait for a slot", kOverloadRetryMs);
    return true;
  }
  if (!request.idempotent && !this->writer.store_up()) {
    this->Refuse(link, request, wire::SlotRefusalReason::Unavailable,
                 "the store is down", kStoreDownRetryMs);
    return true;
  }
  return false;
}

void SlotService::OnNewRequest(LinkId link, const std::string& process,
                               const wire::SlotRequestT& request) {
  if (this->RefuseAtOnce(link, request)) return;
  const std::string id = request.job;
  RoutedRequest& routed = this->requests[id];
  routed.arrived_ms = MonotonicMs();
  this->Assign(routed, link, process, request);
  if (request.idempotent) {
    this->Enqueue(routed);
    this->Dispatch(request.service);
    return;
  }
  routed.phase = RoutedPhase::kRecording;
  this->lookup.Read({EndedJobKey(this->services.settings.partition, id)},
                    [this, id](bool ok, const std::vector<TableRow>& rows) {
                      this->OnLookedUp(id, ok, rows);
                    });
}

void SlotService::OnLookedUp(const std::string& id, bool ok,
                             const std::vector<TableRow>& rows) {
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) return;
  const RoutedRequest& routed = found->second;
  EndedJobRow row;
  if (ok && rows[0].version == 0) {
    this->RecordIntent(id);
    return;
  }
  if (!ok || !FromRow(rows[0].value, row)) {
    this->Refuse(routed.link, routed.request,
                 wire::SlotRefusalReason::Unavailable, "the store is down",
                 kStoreDownRetryMs);
  } else if (row.body_digest != routed.request.body_digest) {
    this->Refuse(routed.link, routed.request, wire::SlotRefusalReason::Conflict,
                 "the key was used with another body");
  } else {
    this->RefuseEnded(routed.link, routed.request, row.result);
  }
  this->Remove(id);
}

void SlotService::RecordIntent(const std::string& id) {
  const RoutedRequest& routed = this->requests.at(id);
  IntentRow row;
  row.entry = routed.process;
  row.caller = routed.request.caller;
  row.key = routed.request.key;
  row.body_digest = routed.request.body_digest;
  TablePut put;
  put.key = IntentKey(this->services.settings.partition, id);
  put.value = ToRow(row);
  this->writer.Put(
      std::move(put), false,
      [this, id, alive = std::weak_ptr<bool>(this->alive)](WriteStatus status) {
        if (alive.expired()) return;
        if (status == WriteStatus::kFenced) {
          this->fenced();
          return;
        }
        const auto found = this->requests.find(id);
        if (found == this->requests.end()) return;
        RoutedRequest& routed = found->second;
        if (status == WriteStatus::kUnavailable) {
          this->Refuse(routed.link, routed.request,
                       wire::SlotRefusalReason::Unavailable,
                       "the store is down", kStoreDownRetryMs);
          this->Remove(id);
          return;
        }
        routed.has_intent_row = true;
        this->Enqueue(routed);
        this->Dispatch(routed.request.service);
      });
}

void SlotService::OnRelease(const wire::SlotReleaseT& release) {
  const TimeMs now = MonotonicMs();
  const GrantKey key{release.epoch, release.grant};
  const auto grant = this->grants.find(key);
  std::string service;
  if (grant != this->grants.end()) {
    service = grant->second.service;
    this->table.RecordResult(grant->second.endpoint, release.result,
                             release.endpoint_leaving, now);
    this->ReleaseSlot(key);
  }
  const auto found = this->requests.find(release.job);
  if (found != this->requests.end()) {
    RoutedRequest& routed = found->second;
    if (release.final) {
      this->LeaveQueue(routed);
      JobResult result;
      result.outcome = static_cast<Outcome>(release.outcome);
      result.body.assign(release.body.begin(), release.body.end());
      result.worker = release.endpoint;
      this->End(release.job, std::move(result));
    } else if (routed.phase == RoutedPhase::kGranted && routed.grant == key) {
      routed.phase = RoutedPhase::kReturned;
      routed.may_have_run = routed.may_have_run || !RulesOutRun(release.result);
      routed.returned_until_ms =
          now + this->services.settings.timing.max_routed_deadline_ms;
      this->services.metrics.Count("slot_retries_total");
    }
  }
  this->Dispatch(service);
  this->ScheduleTimer();
}

bool SlotService::OnStatusQuery(const std::string& id, LinkId link,
                                const wire::StatusQueryT& query) {
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) return false;
  if (query.wait) {
    found->second.status_waiters.push_back({link, query.call});
    return true;
  }
  wire::StatusReplyT reply;
  reply.call = query.call;
  reply.found = true;
  reply.outcome = static_cast<uint8_t>(Outcome::kAccepted);
  reply.state = NameOf(kRoutedPhaseNames, found->second.phase);
  this->services.send(link, MakeFrame(std::move(reply)));
  return true;
}

void SlotService::SetVmList(const std::vector<Vm>& vms) {
  this->has_vm_list = true;
  this->table.SetVmList(vms);
  this->DispatchAll();
}

bool SlotService::DrainEndpoint(const std::string& id) {
  return this->table.Drain(id);
}

void SlotService::StopGranting() { this->granting = false; }

void SlotService::Refuse(LinkId link, const wire::SlotRequestT& request,
                         wire::SlotRefusalReason reason,
                         const std::string& message, TimeMs retry_after_ms) {
  wire::SlotRefusalT refusal;
  refusal.call = request.call;
  refusal.job = request.job;
  refusal.reason = reason;
  refusal.message = message;
  refusal.retry_after_ms = retry_after_ms;
  this->services.send(link, MakeFrame(std::move(refusal)));
}

void SlotService::RefuseEnded(LinkId link, const wire::SlotRequestT& request,
                              const JobResult& result) {
  wire::SlotRefusalT refusal;
  refusal.call = request.call;
  refusal.job = request.job;
  refusal.reason = wire::SlotRefusalReason::Ended;
  refusal.outcome = static_cast<uint8_t>(result.outcome);
  refusal.body.assign(result.body.begin(), result.body.end());
  refusal.message = result.detail;
  if (!result.object.empty() && result.body.empty()) {
    // Only an Outcome message can name an object.
    refusal.reason = wire::SlotRefusalReason::Duplicate;
    this->services.send(link, MakeFrame(std::move(refusal)));
    this->services.send(link, MakeFrame(MakeOutcome(request.job, result)));
    return;
  }
  this->services.send(link, MakeFrame(std::move(refusal)));
}

void SlotService::Remove(const std::string& id) { this->requests.erase(id); }

}  // namespace dotterelcove
