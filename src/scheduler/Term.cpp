#include "scheduler/Term.h"

#include <algorithm>
#include <utility>

#include "base/Clock.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kNotServingRetryMs = 200;

RecordWriterOptions MakeWriterOptions(const DaemonSettings& settings,
                                      uint64_t owner_row_version) {
  RecordWriterOptions options;
  options.partition = settings.partition;
  options.owner_row_version = owner_row_version;
  options.commit_interval_ms = settings.timing.commit_interval_ms;
  return options;
}

}  // namespace

Term::Term(Services& services, uint64_t epoch, uint64_t owner_row_version,
           TermCallbacks callbacks)
    : services(services),
      term_epoch(epoch),
      callbacks(std::move(callbacks)),
      writer(services.loop, services.tables,
             MakeWriterOptions(services.settings, owner_row_version)),
      lookup(services.loop, services.tables),
      driver(
          services, this->table, epoch,
          {[this](Job& job) { this->job_service.OnDecided(job); },
           [this](Job& job, uint32_t member, const Acknowledge& acknowledge) {
             this->job_service.OnMemberSucceeded(job, member, acknowledge);
           },
           [this](uint64_t higher) { this->callbacks.superseded(higher); }}),
      job_service(services, this->table, this->writer, this->lookup,
                  [this] { this->callbacks.superseded(0); }),
      sweeper(services, this->writer),
      vm_timer(services.loop, [this] { this->PollVms(); }),
      recovery(std::make_unique<Recovery>(
          services, [this](RecoveredRecords records) {
            this->OnRecovered(std::move(records));
          })) {
  this->CreateWorkerPool();
  this->PollVms();
}

void Term::CreateWorkerPool() {
  WorkerPoolCallbacks callbacks;
  callbacks.fenced = [this](const std::string& worker,
                            const FenceReply& reply) {
    this->adoption->OnFenced(worker, reply);
  };
  callbacks.ended = [this](const std::string& worker, const EndedTask& task,
                           const Acknowledge& acknowledge) {
    this->adoption->OnEnded(worker, task, acknowledge);
  };
  callbacks.usage = [this](const std::string&,
                           const std::vector<TaskUsage>& usage) {
    this->driver.OnUsage(usage);
  };
  callbacks.changed = [this](const Vm& vm, core::WorkerState state) {
    this->driver.SetWorker(vm, state);
  };
  callbacks.resolved = [this](bool history_lost) {
    this->adoption->OnWorkerResolved(history_lost);
  };
  callbacks.higher_epoch = [this](uint64_t epoch) {
    this->callbacks.superseded(epoch);
  };
  callbacks.may_renew = this->callbacks.may_renew;
  this->pool = std::make_unique<WorkerPool>(this->services, this->writer,
                                            this->term_epoch, callbacks);
  this->driver.SetPool(*this->pool);
  this->adoption = std::make_unique<Adoption>(
      this->table, this->driver, *this->pool,
      [this](Job& job) { this->job_service.Open(job); });
  this->job_service.Connect(this->driver, *this->adoption);
}

void Term::OnRecovered(RecoveredRecords records) {
  Log(LogLevel::kInfo, "records_read",
      {F("epoch", this->term_epoch), F("jobs", records.jobs.size()),
       F("intents", records.intents.size()),
       F("workers", records.used_workers.size())});
  for (const UsedWorkerRow& worker : records.used_workers) {
    this->pool->AddUsed(worker);
  }
  for (RecoveredJob& job : records.jobs) {
    this->job_service.Recover(std::move(job.submit), std::move(job.members));
  }
  this->adoption->OnWorkerResolved(false);
  this->slot_service = std::make_unique<SlotService>(
      this->services, this->table, this->job_service, this->writer,
      this->lookup, this->term_epoch, records.entries_down,
      [this] { this->callbacks.superseded(0); });
  for (const auto& [id, intent] : records.intents) {
    this->slot_service->RecoverIntent(id, intent);
  }
  for (const PeerInfo& entry : this->entries) {
    this->slot_service->OnEntryConnected(entry.process, entry.link);
  }
  if (this->vms_known) {
    this->pool->SetVmList(this->vms);
    this->slot_service->SetVmList(this->vms);
  }
  this->is_serving = true;
  this->callbacks.serving();
}

void Term::PollVms() {
  this->vm_timer.StartAfter(this->services.settings.timing.vm_list_poll_ms);
  FetchVms({this->services.http, this->services.settings.platform.vm_list},
           [this, alive = std::weak_ptr<bool>(this->alive)](
               const VmListResult& result) {
             if (alive.expired() || !result.ok) return;
             this->vms = result.vms;
             this->vms_known = true;
             if (!this->is_serving) return;
             this->pool->SetVmList(this->vms);
             this->slot_service->SetVmList(this->vms);
           });
}

void Term::OnEntryConnected(const PeerInfo& peer) {
  this->entries.push_back(peer);
  if (this->is_serving) {
    this->slot_service->OnEntryConnected(peer.process, peer.link);
  }
}

void Term::OnEntryDisconnected(const PeerInfo& peer) {
  std::erase_if(this->entries, [&peer](const PeerInfo& entry) {
    return entry.link == peer.link;
  });
  if (this->is_serving) {
    this->slot_service->OnEntryDisconnected(peer.process, peer.link);
  }
}

void Term::OnMessage(const PeerInfo& peer, wire::FrameT& frame) {
  const LinkId link = peer.link;
  if (const auto* submit = frame.body.AsSubmit()) {
    if (this->is_serving) {
      this->job_service.OnSubmit(link, *submit);
      return;
    }
    wire::SubmitReplyT reply;
    reply.call = submit->call;
    reply.job = submit->job;
    reply.status = wire::SubmitStatus::Unavailable;
    reply.message = "the owner is reading its records";
    reply.retry_after_ms = kNotServingRetryMs;
    this->services.send(link, MakeFrame(std::move(reply)));
    return;
  }
  // The sender repeats the other messages once this process announces that it
  // serves.
  if (!this->is_serving) return;
  if (const auto* cancel = frame.body.AsCancel()) {
    this->job_service.OnCancel(link, *cancel);
  } else if (const auto* query = frame.body.AsStatusQuery()) {
    this->job_service.OnStatusQuery(link, *query,
                                    [this](const std::string& id, LinkId link,
                                           const wire::StatusQueryT& query) {
                                      return this->slot_service->OnStatusQuery(
                                          id, link, query);
                                    });
  } else if (const auto* request = frame.body.AsSlotRequest()) {
    this->slot_service->OnRequest(link, peer.process, *request);
  } else if (const auto* release = frame.body.AsSlotRelease()) {
    this->slot_service->OnRelease(*release);
  } else if (const auto* report = frame.body.AsSlotReport()) {
    this->slot_service->OnReport(link, peer.process, *report);
  }
}

void Term::ApplyConfig(const CellConfig& config) {
  for (const auto& [team, settings] : config.teams) {
    this->driver.SetQuota(team, settings.quota);
  }
}

void Term::Stop() {
  this->job_service.StopAccepting();
  this->driver.StopPlacing();
  if (this->slot_service != nullptr) this->slot_service->StopGranting();
}

bool Term::Flushed() const {
  if (this->writer.queued() > 0 || this->job_service.ending() > 0) return false;
  const auto& tasks = this->driver.tasks();
  return std::all_of(tasks.begin(), tasks.end(),
                     [](const auto& task) { return task.second.confirmed; });
}

bool Term::Drain(const std::string& vm) {
  if (this->pool->Drain(vm)) return true;
  return this->slot_service != nullptr && this->slot_service->DrainEndpoint(vm);
}

void Term::RefreshMetrics() {
  const core::CellStats stats = core::Stats(this->driver.cell());
  Metrics& metrics = this->services.metrics;
  metrics.Set("queued_tasks", static_cast<double>(stats.queued));
  metrics.Set("running_tasks", static_cast<double>(stats.running));
  metrics.Set("workers_usable", static_cast<double>(stats.workers_usable));
  metrics.Set("workers_quarantined",
              static_cast<double>(stats.workers_quarantined));
  metrics.Set("owner_epoch", static_cast<double>(this->term_epoch));
  metrics.Set("record_transactions",
              static_cast<double>(this->writer.transactions()));
  metrics.Set("records_queued", static_cast<double>(this->writer.queued()));
  metrics.Set("store_up", this->writer.store_up() ? 1.0 : 0.0);
  if (stats.capacity.milli_cores > 0) {
    metrics.Set("packing_cores",
                static_cast<double>(stats.allocated.milli_cores) /
                    static_cast<double>(stats.capacity.milli_cores));
  }
  if (this->slot_service == nullptr) return;
  metrics.Set("slot_requests_waiting",
              static_cast<double>(this->slot_service->waiting()));
  metrics.Set("slots_in_use",
              static_cast<double>(this->slot_service->in_use()));
}

}  // namespace dotterelcove
