#include "node/Node.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include "base/Clock.h"
#include "base/Hash.h"
#include "base/Random.h"
#include "config/ConfigRows.h"
#include "node/PeerReplies.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kHeartbeatMs = 250;
/// The list of workers is not read again for as long as reading it took, but
/// for this at most: workers that leave should be noticed soon.
constexpr TimeMs kMaxListPauseMs = 2'000;
/// A timer that fires this late shows that the process stood still. Answers
/// that arrived meanwhile are read within as long.
constexpr TimeMs kStallMs = 100;
/// A peer is disconnected after this silence. A short limit is safe, since a
/// takeover also needs an owner row that has not changed.
constexpr TimeMs kPeerSilenceMs = 600;
/// Spread the takeover attempts of the standbys over time.
constexpr uint64_t kRankSteps = 12;
constexpr TimeMs kRankStepMs = 6;
/// An owner of 350 workers uses up to 0.2 cores, so a daemon with fewer cores
/// delays its takeover to let others go first.
constexpr double kSmallVmCores = 0.2;
constexpr TimeMs kSmallVmDelayMs = 250;
/// A permit request without an answer ends after this, which is longer than an
/// answer should take.
constexpr TimeMs kPermitTimeoutMs = 2'500;
/// A daemon asks a peer for its configuration after it could not read a
/// reported version from the store for this long. With a heartbeat before and
/// one after it, the content arrives within the 2 s in which a version must be
/// in force. Not at once, since a large configuration would delay the peer's
/// heartbeats.
constexpr TimeMs kConfigRequestDelayMs = 750;
/// A large configuration may take this long over a slow link, where several
/// copies would delay one another.
constexpr TimeMs kConfigRequestIntervalMs = 1'000;
/// Bandwidth for the configurations that this daemon hands on, less than half
/// of a link of 10 Mbit/s: many peers ask at the same time when the store turns
/// them away, and the heartbeats share the link.
constexpr size_t kConfigBytesPerSecond = 500'000;
/// Requests that would exceed that bandwidth for longer are left unanswered;
/// the peer repeats them.
constexpr TimeMs kMaxConfigBacklogMs = 1'000;
/// Leaves room for the other fields of the frame.
constexpr size_t kMaxConfigBytes = kMaxFrameBytes - 4'096;

/// A time on this process's clock after which the heartbeat was sent, or
/// nothing if the peer does not know of any yet. The time of receipt does not
/// tell it: this process may have stood still. An earlier version sends no time
/// to go by.
std::optional<TimeMs> SentAfter(const wire::HeartbeatT& heartbeat) {
  const TimeMs now_ms = MonotonicMs();
  if (heartbeat.sent_ms == 0) return now_ms;
  if (heartbeat.echo_ms <= 0) return std::nullopt;
  return std::min<TimeMs>(heartbeat.echo_ms, now_ms);
}

/// The number of workers that an owner without relays calls. Each may take two
/// connections, one for a sync and one for an order; the rest of the
/// descriptors is for peers, callers and the store.
size_t MaxWorkersWithoutRelays() {
  constexpr rlim_t kReserved = 1'000;
  constexpr rlim_t kConnectionsPerWorker = 2;
  // Beyond that, libcurl's cache of idle connections is full.
  constexpr size_t kLimit = 3'000;
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0) return kMaxOwnWorkers;
  if (descriptors.rlim_cur == RLIM_INFINITY) return kLimit;
  if (descriptors.rlim_cur < kReserved) return kMaxOwnWorkers;
  const rlim_t workers =
      (descriptors.rlim_cur - kReserved) / kConnectionsPerWorker;
  return std::clamp<size_t>(workers, kMaxOwnWorkers, kLimit);
}

/// How many other daemons the owner row counts, nothing if it counts none.
std::optional<size_t> CountOtherDaemons(const OwnerCommitter& log) {
  const uint32_t members = log.row().members;
  if (members == 0) return std::nullopt;
  return members - 1;
}

std::string PeerInstanceName(const PeerInfo& info) {
  return info.process + "/" + std::to_string(info.incarnation);
}

}  // namespace

Node::Node(EventLoop& loop, Runtime runtime, NodeOptions options,
           NodePorts ports, Metrics& metrics)
    : loop(loop),
      runtime(std::move(runtime)),
      options(std::move(options)),
      ports(std::move(ports)),
      metrics(metrics) {
  Random random = MakeSystemRandom();
  this->incarnation = random() | 1U;
}

Node::~Node() {
  *this->alive = false;
  if (this->controller) workflow::StopController(*this->controller);
}

Result<void> Node::Start() {
  PeerOptions peer_options;
  peer_options.process = this->options.process;
  peer_options.incarnation = this->incarnation;
  peer_options.role = wire::Role::Scheduler;
  peer_options.zone = this->options.zone;
  peer_options.listen_address = this->options.peer_address;
  peer_options.listen_port = this->options.peer_port;
  peer_options.heartbeat_ms = kHeartbeatMs;
  peer_options.peer_timeout_ms = kPeerSilenceMs;
  PeerCallbacks callbacks;
  callbacks.connected = [this](const PeerInfo& info) {
    this->OnPeerConnected(info);
  };
  callbacks.disconnected = [this](const PeerInfo& info, LinkEnd reason) {
    this->OnPeerLost(info, reason);
  };
  callbacks.received = [this](const PeerInfo& info, wire::FrameT& frame) {
    this->OnMessage(info, frame);
  };
  callbacks.dial_failed = [this](const std::string& address, LinkEnd reason) {
    if (address != this->leadership->view().address) return;
    this->leadership->OnOwnerLink(false, reason == LinkEnd::kNetworkError);
  };
  callbacks.make_heartbeat = [this] { return this->MakeHeartbeat(); };
  LeadershipOptions leader_options;
  leader_options.process = this->options.process;
  leader_options.address = this->options.peer_address + ":" +
                           std::to_string(this->options.peer_port);
  leader_options.incarnation = this->incarnation;
  leader_options.rank_delay_ms =
      static_cast<TimeMs>(Hash64(this->options.process) % kRankSteps) *
      kRankStepMs;
  if (this->options.cores < kSmallVmCores) {
    leader_options.rank_delay_ms += kSmallVmDelayMs;
  }
  LeadershipCallbacks leader_callbacks;
  leader_callbacks.acquired =
      [this](const std::shared_ptr<OwnerCommitter>& log) {
        this->OnAcquired(log);
      };
  leader_callbacks.lost = [this] { this->OnLost(); };
  leader_callbacks.owner_changed = [this](const OwnerRow& row) {
    this->OnOwnerChanged(row);
  };
  this->leadership = std::make_shared<Leadership>(
      this->runtime, this->ports.store, leader_options, leader_callbacks);
  BOOST_LEAF_ASSIGN(this->peers,
                    PeerNode::Start(this->loop, peer_options,
                                    std::move(callbacks), this->clock));
  this->leadership->Start();
  return {};
}

void Node::OnAcquired(const std::shared_ptr<OwnerCommitter>& log) {
  this->owner_link = 0;
  this->peers->SetDialled({});
  this->controller = std::make_shared<workflow::Controller>();
  workflow::Controller& c = *this->controller;
  c.runtime = this->runtime;
  c.store = this->ports.store;
  this->relays = this->MakeRelays();
  this->relays->expected_relays = CountOtherDaemons(*log);
  c.port = MakeRelayPort(this->relays);
  c.vm_port = this->ports.vms;
  c.early_waves = this->waves;
  c.options = this->options.controller;
  c.log = log;
  c.epoch = log->row().epoch;
  c.policies = this->policies;
  c.policy_version = this->config_version;
  c.awaits_configuration = this->config_version == 0;
  // Without a configuration it is not known what the accounts may run.
  if (this->config_version > 0) workflow::UpdateAccounts(c, this->accounts);
  c.acts_until = [this, current = this->controller.get(), alive = this->alive] {
    return *alive && this->controller.get() == current ? this->OwnerActsUntil()
                                                       : TimeMs{0};
  };
  c.update_membership = [this, alive = this->alive](workflow::Controller& of) {
    if (!*alive || this->controller.get() != &of) return;
    UpdateMembership(this->isolation, this->MakeOwnEvidence(), of);
  };
  c.fenced = [this] {
    // Deferred: stepping down ends the controller, which is the caller here.
    this->runtime.after(0, [this, alive = this->alive] {
      if (*alive) this->leadership->OnFenced();
    });
  };
  c.observe = [this](const char* name, TimeMs waited_ms) {
    this->metrics.ObserveSeconds(
        "wait_seconds", static_cast<double>(waited_ms) / 1'000, {{"of", name}});
  };
  c.observe_run_time = [this](const char* of, double ratio) {
    this->metrics.ObserveRatio("run_time_ratio", ratio, {{"of", of}});
  };
  this->metrics.Count("takeovers_total");
  workflow::AddPermitClient(c, this->options.process, this->ports.permits);
  for (const auto& [link, info] : this->peers->peers()) {
    workflow::AddPermitClient(c, PeerInstanceName(info),
                              this->MakePeerPermitPort(link));
  }
  workflow::StartController(c);
  this->peers->SendHeartbeats();
  this->PollWorkers();
}

void Node::OnLost() {
  if (!this->controller) return;
  workflow::StopController(*this->controller);
  // Destroyed later, since the controller may be on the call stack.
  this->runtime.after(0, [old = std::move(this->controller)] {});
  this->controller = nullptr;
  this->relays = nullptr;
  if (this->peers) this->peers->SendHeartbeats();
}

void Node::OnOwnerChanged(const OwnerRow& row) {
  this->owner_link = 0;
  Log(LogLevel::kInfo, "owner_changed",
      {F("owner", row.process), F("address", row.address),
       F("epoch", row.epoch)});
  const bool other = !row.process.empty() &&
                     row.incarnation != this->incarnation &&
                     row.process != this->options.process;
  std::vector<std::string> dialled;
  if (other) dialled.push_back(row.address);
  this->peers->SetDialled(dialled);
  for (const auto& [link, info] : this->peers->peers()) {
    if (info.incarnation != row.incarnation) continue;
    this->owner_link = link;
    this->leadership->OnOwnerLink(true, false);
  }
}

void Node::PollWorkers() {
  const workflow::ControllerPtr current = this->controller;
  if (!current || this->stopping) return;
  const TimeMs began_ms = this->runtime.now();
  this->ports.list_workers(
      [this, current, began_ms, alive = this->alive](
          const std::optional<std::vector<workflow::WorkerInfo>>& list) {
        if (!*alive || current->stopped) return;
        if (list) {
          this->relays->enabled =
              list->size() >= this->options.min_workers_for_relays;
          this->relays->fleet_size = list->size();
          this->relays->expected_relays = CountOtherDaemons(*current->log);
          this->ReportOwnCalls();
          workflow::UpdateFleet(*current, *list);
        }
        // The rows of 3,000 workers are 1.5 MB, so reading them takes more than
        // a second of a small VM's link, which heartbeats and calls share.
        const TimeMs took_ms = this->runtime.now() - began_ms;
        const TimeMs pause_ms =
            list ? std::min(took_ms, kMaxListPauseMs) : TimeMs{0};
        this->runtime.after(std::max(this->options.list_interval_ms, pause_ms),
                            [this, current, alive] {
                              if (!*alive || this->controller != current)
                                return;
                              this->PollWorkers();
                            });
      });
}

void Node::ReportOwnCalls() {
  const OwnCalls& own = this->relays->own;
  size_t waiting = 0;
  for (const auto& [zone, queue] : this->relays->waiting) {
    waiting += queue.size();
  }
  this->metrics.Set("own_worker_calls", static_cast<double>(own.in_flight));
  const auto recent = std::count_if(
      own.workers.begin(), own.workers.end(), [&](const auto& entry) {
        return this->runtime.now() - entry.second < kOwnWorkerMs;
      });
  this->metrics.Set("own_called_workers", static_cast<double>(recent));
  this->metrics.Set("waiting_syncs", static_cast<double>(waiting));
}

OwnEvidence Node::MakeOwnEvidence() const {
  const OwnerCommitter& log = *this->controller->log;
  return {this->controller->epoch, log.confirmed_ms(), log.row().members};
}

TimeMs Node::OwnerActsUntil() const {
  const TimeMs limit_ms = this->options.controller.isolation_ms;
  const OwnEvidence own = this->MakeOwnEvidence();
  // The usual case, without a look at the peers: this is called for each order.
  const TimeMs confirmed_until_ms = own.store_ms + limit_ms;
  if (this->runtime.now() <= confirmed_until_ms) return confirmed_until_ms;
  return ActsUntil(this->isolation, own, limit_ms);
}

workflow::PermitPort Node::MakePeerPermitPort(LinkId link) {
  return [this, link, alive = this->alive](
             const workflow::PermitRequest& request,
             workflow::PermitCallback done) {
    if (!*alive) return;
    const uint64_t call = AddCall(
        this->calls, link, [done = std::move(done)](const wire::FrameT* frame) {
          done(ReadPermitReply(frame));
        });
    wire::PermitAskT ask;
    ask.call = call;
    ask.step = request.step;
    ask.workers = request.workers;
    this->peers->Send(link, std::move(ask));
    this->runtime.after(kPermitTimeoutMs, [this, call, alive] {
      if (*alive) EndCall(this->calls, call, nullptr);
    });
  };
}

void Node::AnswerPermitAsk(LinkId link, const wire::PermitAskT& ask) {
  const uint64_t call = ask.call;
  this->ports.permits(
      {ask.step, ask.workers}, [this, link, call, alive = this->alive](
                                   const workflow::PermitAnswer& answer) {
        if (!*alive) return;
        wire::PermitReplyT reply;
        reply.call = call;
        reply.status = static_cast<uint8_t>(answer.status);
        reply.validity_ms = answer.validity_ms;
        for (const workflow::PermitGrant& grant : answer.grants) {
          auto row = std::make_unique<wire::PermitTicketT>();
          row->worker = grant.worker;
          row->ticket = grant.ticket;
          reply.granted.push_back(std::move(row));
        }
        this->peers->Send(link, std::move(reply));
      });
}

WorkerRelaysPtr Node::MakeRelays() {
  auto made = std::make_shared<WorkerRelays>();
  made->runtime = this->runtime;
  made->direct = this->ports.workers;
  made->without_relays_since_ms = this->runtime.now();
  made->own.max_without_relays = MaxWorkersWithoutRelays();
  // Weak, since the controller holds the relays.
  made->count_recorded = [weak = std::weak_ptr(this->controller)]() -> size_t {
    const workflow::ControllerPtr current = weak.lock();
    if (!current) return 0;
    return std::max(current->recovery_pending.size(),
                    current->fleet.workers.size());
  };
  made->may_act = [this, of = made.get(), alive = this->alive] {
    return *alive && this->relays.get() == of && this->controller &&
           this->runtime.now() <= this->OwnerActsUntil();
  };
  made->ask = [this, alive = this->alive](LinkId link, wire::WorkerCallT call,
                                          TimeMs timeout_ms,
                                          PeerAnswer answer) {
    if (!*alive) return;
    const uint64_t number = AddCall(this->calls, link, std::move(answer));
    call.call = number;
    this->peers->Send(link, std::move(call));
    const TimeMs due_ms = this->runtime.now() + timeout_ms;
    this->runtime.after(timeout_ms, [this, number, due_ms, alive] {
      if (!*alive) return;
      if (this->runtime.now() < due_ms + kStallMs) {
        EndCall(this->calls, number, nullptr);
        return;
      }
      // This process stood still; the answer may have arrived but not be read.
      this->runtime.after(kStallMs, [this, number, alive] {
        if (*alive) EndCall(this->calls, number, nullptr);
      });
    });
  };
  return made;
}

void Node::AnswerWorkerCall(LinkId link, const wire::WorkerCallT& call) {
  MakeRelayedCall(this->ports.workers, call,
                  [this, link, alive = this->alive](wire::WorkerReplyT reply) {
                    if (*alive) this->peers->Send(link, std::move(reply));
                  });
}

void Node::UpdateRelay(const PeerInfo& info,
                       const wire::HeartbeatT& heartbeat) {
  if (!this->relays) return;
  if (!heartbeat.relays_calls || heartbeat.draining) {
    RemoveRelay(*this->relays, info.link);
    return;
  }
  const auto [entry, is_new] = this->relays->relays.try_emplace(info.link);
  entry->second.process = info.process;
  entry->second.zone = info.zone;
  if (is_new) ResumeSyncs(this->relays);
}

void Node::OnPeerConnected(const PeerInfo& info) {
  if (this->controller) {
    workflow::AddPermitClient(*this->controller, PeerInstanceName(info),
                              this->MakePeerPermitPort(info.link));
    return;
  }
  if (info.dialled.empty()) return;
  if (info.dialled != this->leadership->view().address) return;
  if (info.incarnation != this->leadership->view().incarnation) {
    // Another process has the owner's address, so the owner has ended.
    this->leadership->OnOwnerLink(false, true);
    return;
  }
  this->owner_link = info.link;
  this->leadership->OnOwnerLink(true, false);
}

void Node::OnPeerLost(const PeerInfo& info, LinkEnd reason) {
  if (this->relays) RemoveRelay(*this->relays, info.link);
  EndCallsOnLink(this->calls, info.link);
  Log(LogLevel::kInfo, "peer_lost",
      {F("peer", info.process), F("reason", NameOf(kLinkEndNames, reason)),
       F("was_owner", info.link == this->owner_link)});
  if (this->controller) {
    workflow::RemovePermitClient(*this->controller, PeerInstanceName(info));
  }
  if (info.link != this->owner_link) return;
  this->owner_link = 0;
  // The redial that follows shows whether the process has ended.
  this->leadership->OnOwnerLink(false, false);
}

wire::HeartbeatT Node::MakeHeartbeat() const {
  wire::HeartbeatT heartbeat;
  heartbeat.config_version = this->config_version;
  heartbeat.draining = this->stopping;
  heartbeat.relays_calls = true;
  const TimeMs known_ms =
      this->config_keeper.known_ms ? this->config_keeper.known_ms() : -1;
  heartbeat.config_known = known_ms >= 0;
  if (heartbeat.config_known) {
    heartbeat.config_age_ms = this->runtime.now() - known_ms;
  }
  if (this->config_keeper.read_age_ms) {
    heartbeat.config_read_age_ms = this->config_keeper.read_age_ms();
  }
  if (!this->controller) {
    const std::optional<TimeMs> age_ms = this->leadership->view_age_ms();
    if (!age_ms) return heartbeat;
    heartbeat.owner_epoch = this->leadership->view().epoch;
    heartbeat.owner_process = this->leadership->view().process;
    heartbeat.store_age_ms = *age_ms;
    return heartbeat;
  }
  const workflow::Controller& c = *this->controller;
  heartbeat.serving = true;
  heartbeat.owner_epoch = c.epoch;
  heartbeat.owner_process = this->options.process;
  heartbeat.sequence = c.log->row().sequence;
  heartbeat.store_age_ms = c.log->store_age_ms();
  const auto pending = workflow::CountPending(c);
  if (!pending) return heartbeat;
  heartbeat.pending_known = true;
  for (const auto& [queue, jobs] : *pending) {
    auto count = std::make_unique<wire::QueueCountT>();
    count->queue = queue;
    count->jobs = jobs;
    heartbeat.pending.push_back(std::move(count));
  }
  return heartbeat;
}

void Node::NoteEvidence(const PeerInfo& info,
                        const wire::HeartbeatT& heartbeat) {
  if (heartbeat.draining) {
    ForgetPeer(this->isolation, info.process);
    return;
  }
  const std::optional<TimeMs> sent_ms = SentAfter(heartbeat);
  if (!sent_ms) return;
  NotePeer(this->isolation, info.process, *sent_ms);
  // A standby of an earlier version reports no epoch.
  if (heartbeat.serving || heartbeat.owner_epoch == 0) return;
  NoteEpoch(this->isolation, info.process, heartbeat.owner_epoch,
            *sent_ms - heartbeat.store_age_ms);
  if (!this->controller || heartbeat.owner_epoch <= this->controller->epoch) {
    return;
  }
  // The store has shown the peer that there is a newer owner.
  OwnerReport report;
  report.epoch = heartbeat.owner_epoch;
  this->leadership->OnReport(report);
}

void Node::NoteConfig(const PeerInfo& info, const wire::HeartbeatT& heartbeat) {
  if (heartbeat.config_version < this->config_version) return;
  if (heartbeat.config_version == this->config_version) {
    const std::optional<TimeMs> sent_ms = SentAfter(heartbeat);
    if (!sent_ms || !heartbeat.config_known || !this->config_keeper.confirmed) {
      return;
    }
    const TimeMs known_ms =
        *sent_ms - std::max<TimeMs>(heartbeat.config_age_ms, 0);
    const TimeMs read_ms = heartbeat.config_read_age_ms < 0
                               ? -1
                               : *sent_ms - heartbeat.config_read_age_ms;
    this->config_keeper.confirmed(known_ms, read_ms);
    return;
  }
  if (this->config_keeper.behind) {
    this->config_keeper.behind(heartbeat.config_version);
  }
  const TimeMs now_ms = this->runtime.now();
  if (this->config_behind_since_ms < 0) this->config_behind_since_ms = now_ms;
  if (now_ms < this->config_behind_since_ms + kConfigRequestDelayMs) return;
  if (now_ms < this->next_config_request_ms) return;
  this->next_config_request_ms = now_ms + kConfigRequestIntervalMs;
  Log(LogLevel::kInfo, "config_requested",
      {F("peer", info.process), F("version", heartbeat.config_version),
       F("current_version", this->config_version)});
  wire::ConfigRequestT request;
  request.version = heartbeat.config_version;
  this->peers->Send(info.link, request);
}

void Node::AnswerConfigRequest(LinkId link,
                               const wire::ConfigRequestT& request) {
  if (!this->config_keeper.content) return;
  if (this->config_version < request.version) return;
  wire::ConfigReplyT reply;
  reply.version = this->config_version;
  reply.content = this->config_keeper.content();
  if (reply.content.size() > kMaxConfigBytes) {
    Log(LogLevel::kWarning, "config_too_large_for_peers",
        {F("version", reply.version), F("bytes", reply.content.size())});
    return;
  }
  const TimeMs now_ms = this->runtime.now();
  if (this->config_bandwidth_used_until_ms > now_ms + kMaxConfigBacklogMs) {
    Log(LogLevel::kInfo, "config_request_postponed",
        {F("version", reply.version), F("bytes", reply.content.size())});
    return;
  }
  constexpr size_t kMsPerSecond = 1'000;
  this->config_bandwidth_used_until_ms =
      std::max(this->config_bandwidth_used_until_ms, now_ms) +
      static_cast<TimeMs>(reply.content.size() * kMsPerSecond /
                          kConfigBytesPerSecond);
  reply.digest = DigestOf(reply.content);
  this->peers->Send(link, std::move(reply));
}

void Node::OnConfigReply(const wire::ConfigReplyT& reply) {
  if (!this->config_keeper.received) return;
  if (reply.version <= this->config_version) return;
  if (DigestOf(reply.content) != reply.digest) {
    Log(LogLevel::kWarning, "config_reply_digest_mismatch",
        {F("version", reply.version)});
    return;
  }
  this->config_keeper.received(reply.content);
}

void Node::OnHeartbeat(const PeerInfo& info,
                       const wire::HeartbeatT& heartbeat) {
  this->NoteConfig(info, heartbeat);
  this->UpdateRelay(info, heartbeat);
  this->NoteEvidence(info, heartbeat);
  if (!heartbeat.serving) {
    // The peer has released ownership or has not acquired it yet.
    if (info.link == this->owner_link) {
      OwnerReport report;
      report.epoch = this->leadership->view().epoch;
      report.incarnation = info.incarnation;
      report.releasing = true;
      // A process that is about to acquire ownership reports an earlier epoch.
      report.has_given_up = heartbeat.owner_epoch == report.epoch &&
                            heartbeat.owner_process == info.process;
      this->leadership->OnReport(report);
    }
    return;
  }
  OwnerReport report;
  report.epoch = heartbeat.owner_epoch;
  report.incarnation = info.incarnation;
  report.sequence = heartbeat.sequence;
  report.store_age_ms = heartbeat.store_age_ms;
  report.releasing = heartbeat.draining;
  this->leadership->OnReport(report);
  if (info.link != this->owner_link) return;
  this->owner_store_age_ms = heartbeat.store_age_ms;
  // A process of an earlier version reports counts without saying so.
  if (!heartbeat.pending_known && heartbeat.pending.empty()) return;
  this->pending_jobs.clear();
  this->pending_jobs_known = true;
  for (const auto& count : heartbeat.pending) {
    this->pending_jobs[count->queue] = count->jobs;
  }
}

void Node::OnMessage(const PeerInfo& info, wire::FrameT& frame) {
  if (const auto* heartbeat = frame.body.AsHeartbeat()) {
    this->OnHeartbeat(info, *heartbeat);
    return;
  }
  if (const auto* notice = frame.body.AsJobNotice()) {
    if (!this->controller) return;
    workflow::AdmitRow(*this->controller,
                       {workflow::kJobTable, notice->key, notice->value,
                        notice->version, false});
    return;
  }
  if (const auto* query = frame.body.AsJobQuery()) {
    wire::JobQueryReplyT reply;
    reply.call = query->call;
    if (this->controller) {
      const auto phase = workflow::QueryJob(*this->controller, query->job);
      reply.known = phase.has_value();
      if (phase) reply.phase = static_cast<uint8_t>(*phase);
    }
    this->peers->Send(info.link, reply);
    return;
  }
  if (const auto* insert = frame.body.AsJobInsert()) {
    this->InsertForPeer(info, *insert);
    return;
  }
  if (const auto* ask = frame.body.AsPermitAsk()) {
    this->AnswerPermitAsk(info.link, *ask);
    return;
  }
  if (const auto* call = frame.body.AsWorkerCall()) {
    this->AnswerWorkerCall(info.link, *call);
    return;
  }
  if (const auto* request = frame.body.AsConfigRequest()) {
    this->AnswerConfigRequest(info.link, *request);
    return;
  }
  if (const auto* reply = frame.body.AsConfigReply()) {
    this->OnConfigReply(*reply);
    return;
  }
  if (const auto* reply = frame.body.AsWorkerReply()) {
    EndCallWithReply(this->calls, info.link, reply->call, frame);
    return;
  }
  if (const auto* reply = frame.body.AsPermitReply()) {
    EndCallWithReply(this->calls, info.link, reply->call, frame);
    return;
  }
  if (const auto* reply = frame.body.AsJobQueryReply()) {
    EndCallWithReply(this->calls, info.link, reply->call, frame);
    return;
  }
  if (const auto* reply = frame.body.AsJobInsertReply()) {
    EndCallWithReply(this->calls, info.link, reply->call, frame);
  }
}

void Node::UpdatePolicies(
    std::map<std::string, workflow::QueuePolicy> new_policies,
    uint64_t version) {
  this->policies = std::move(new_policies);
  this->config_version = version;
  this->config_behind_since_ms = -1;
  if (this->controller) {
    workflow::UpdatePolicies(*this->controller, this->policies, version);
  }
}

void Node::UpdateAccounts(accounts::AccountTable table) {
  this->accounts = std::move(table);
  if (this->controller) {
    workflow::UpdateAccounts(*this->controller, this->accounts);
  }
}

void Node::UpdateWaves(std::vector<workflow::MaintenanceWave> new_waves) {
  this->waves = std::move(new_waves);
  if (this->controller) workflow::UpdateWaves(*this->controller, this->waves);
}

void Node::Stop(std::function<void()> done) {
  this->stopping = true;
  this->leadership->Release([this, done = std::move(done)] {
    this->peers->SendHeartbeats();
    done();
  });
}

}  // namespace dotterelcove
