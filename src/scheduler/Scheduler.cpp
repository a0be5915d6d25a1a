#include "scheduler/Scheduler.h"

#include <algorithm>
#include <utility>

#include "base/Clock.h"
#include "base/Hash.h"
#include "base/Random.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kStopPollMs = 5;
// A planned stop waits no longer for unwritten records, for instance while the
// store is down: the workers keep the ends of the tasks until acknowledged.
constexpr TimeMs kFlushLimitMs = 2'000;

std::string AddressOf(const ListenSettings& listen, uint16_t port) {
  return listen.address + ":" + std::to_string(port);
}

}  // namespace

Scheduler::Scheduler(EventLoop& loop, const DaemonSettings& settings,
                     SchedulerHooks hooks)
    : settings(settings),
      hooks(std::move(hooks)),
      term_teardown_timer(loop, [this] { this->current_term.reset(); }),
      stop_timer(loop, [this] { this->ContinueStop(); }) {
  Random random = MakeSystemRandom();
  this->incarnation = static_cast<uint64_t>(UniformInt(random, 1, INT64_MAX));
}

Scheduler::~Scheduler() {
  // The term sends through the node and the node's callbacks use the term, so
  // the order matters.
  this->current_term.reset();
  this->ownership.reset();
  this->node.reset();
}

Result<std::unique_ptr<Scheduler>> Scheduler::Start(
    EventLoop& loop, HttpClient& http, const DaemonSettings& settings,
    Metrics& metrics, EventRing& events, HybridClock& clock,
    SchedulerHooks hooks) {
  std::unique_ptr<Scheduler> scheduler(
      new Scheduler(loop, settings, std::move(hooks)));
  Scheduler* const self = scheduler.get();
  const TableClient tables{http, settings.platform.tables,
                           settings.timing.store_timeout_ms};
  const ObjectClient objects{http, settings.platform.objects};
  self->services.reset(
      new Services{loop, http, settings, tables, objects, metrics, events,
                   [self](LinkId link, wire::FrameT frame) {
                     if (self->node != nullptr)
                       self->node->Send(link, std::move(frame));
                   }});
  OwnershipCallbacks ownership;
  ownership.acquired = [self](uint64_t epoch, uint64_t row_version) {
    self->OnAcquired(epoch, row_version);
  };
  ownership.lost = [self](const std::string& reason) { self->OnLost(reason); };
  ownership.changed = [self](const OwnerView&) {
    self->node->SendHeartbeats();
  };
  PeerCallbacks peers;
  peers.connected = [self](const PeerInfo& peer) { self->OnConnected(peer); };
  peers.disconnected = [self](const PeerInfo& peer, LinkEnd) {
    self->OnDisconnected(peer);
  };
  peers.received = [self](const PeerInfo& peer, wire::FrameT& frame) {
    self->OnMessage(peer, frame);
  };
  peers.make_heartbeat = [self] { return self->MakeHeartbeat(); };
  BOOST_LEAF_ASSIGN(self->node, PeerNode::Start(loop, self->MakePeerOptions(),
                                                std::move(peers), clock));
  self->ownership = std::make_unique<Ownership>(
      loop, tables, self->MakeOwnershipOptions(), std::move(ownership));
  self->ownership->Start();
  return scheduler;
}

PeerOptions Scheduler::MakePeerOptions() const {
  PeerOptions options;
  options.process = this->settings.process;
  options.incarnation = this->incarnation;
  options.role = wire::Role::Scheduler;
  options.zone = this->settings.zone;
  options.listen_address = this->settings.peer.address;
  options.listen_port = this->settings.peer.port;
  const std::string own =
      AddressOf(this->settings.peer, this->settings.peer.port);
  for (const std::string& address : this->settings.schedulers) {
    if (address != own) options.dial.push_back(address);
  }
  options.heartbeat_ms = this->settings.timing.heartbeat_ms;
  options.peer_timeout_ms = this->settings.timing.peer_silence_ms;
  return options;
}

OwnershipOptions Scheduler::MakeOwnershipOptions() const {
  OwnershipOptions options;
  options.partition = this->settings.partition;
  options.process = this->settings.process;
  options.incarnation = this->incarnation;
  options.address = AddressOf(this->settings.peer, this->node->port());
  options.lease_ms = this->settings.timing.owner_lease_ms;
  options.heartbeat_ms = this->settings.timing.owner_beat_ms;
  options.poll_ms = this->settings.timing.standby_poll_ms;
  const uint64_t own = Hash64(options.address);
  for (const std::string& address : this->settings.schedulers) {
    if (Hash64(address) < own) options.rank++;
  }
  return options;
}

wire::HeartbeatT Scheduler::MakeHeartbeat() const {
  wire::HeartbeatT heartbeat;
  if (this->ownership != nullptr) {
    const OwnerView& view = this->ownership->view();
    heartbeat.owner_epoch = view.epoch;
    heartbeat.owner_process = view.process;
  }
  heartbeat.serving = this->serving();
  heartbeat.draining = this->is_stopping;
  heartbeat.config_version = this->config_version();
  return heartbeat;
}

uint64_t Scheduler::config_version() const {
  return this->hooks.config_version ? this->hooks.config_version()
                                    : this->config.version;
}

void Scheduler::RefreshMetrics() {
  Metrics& metrics = this->services->metrics;
  const PeerStats stats = this->node->stats();
  metrics.Set("peers_connected",
              static_cast<double>(this->node->peers().size()));
  metrics.Set("peer_bytes_sent", static_cast<double>(stats.bytes_sent));
  metrics.Set("peer_bytes_received", static_cast<double>(stats.bytes_received));
  metrics.Set("peer_bad_frames", static_cast<double>(stats.bad_frames));
  metrics.Set("serving", this->serving() ? 1.0 : 0.0);
  if (this->current_term != nullptr) this->current_term->RefreshMetrics();
}

bool Scheduler::serving() const {
  return this->current_term != nullptr && !this->term_teardown_timer.active() &&
         !this->is_stopping && this->current_term->serving();
}

void Scheduler::OnAcquired(uint64_t epoch, uint64_t row_version) {
  this->services->events.Add("ownership_acquired", {"", "", "", epoch});
  this->services->metrics.Count("ownership_acquired_total");
  this->term_teardown_timer.Cancel();
  this->current_term.reset();
  TermCallbacks callbacks;
  callbacks.serving = [this] {
    Log(LogLevel::kInfo, "serving", {F("epoch", this->current_term->epoch())});
    this->node->SendHeartbeats();
  };
  callbacks.superseded = [this](uint64_t higher) {
    // A fenced write proves that a later owner exists but not its epoch.
    const uint64_t known = this->ownership->view().epoch;
    this->ownership->HigherEpochSeen(std::max(higher, known + 1));
  };
  callbacks.may_renew = [this] { return this->MayRenew(); };
  this->current_term = std::make_unique<Term>(
      *this->services, epoch, row_version, std::move(callbacks));
  this->current_term->ApplyConfig(this->config);
  for (const auto& [link, peer] : this->node->peers()) {
    if (peer.role == wire::Role::Entry)
      this->current_term->OnEntryConnected(peer);
  }
  this->node->SendHeartbeats();
}

void Scheduler::OnLost(const std::string& reason) {
  const uint64_t epoch =
      this->current_term == nullptr ? 0 : this->current_term->epoch();
  this->services->events.Add("ownership_lost", {"", "", "", epoch}, reason);
  this->services->metrics.Count("ownership_lost_total");
  // The loss may have been detected inside a callback of the term itself.
  if (this->current_term != nullptr) {
    this->current_term->Stop();
    this->term_teardown_timer.StartAfter(0);
  }
  this->node->SendHeartbeats();
}

void Scheduler::OnConnected(const PeerInfo& peer) {
  if (this->current_term == nullptr || peer.role != wire::Role::Entry) return;
  this->current_term->OnEntryConnected(peer);
}

void Scheduler::OnDisconnected(const PeerInfo& peer) {
  if (peer.role == wire::Role::Entry) {
    if (this->current_term != nullptr)
      this->current_term->OnEntryDisconnected(peer);
    return;
  }
  if (peer.process == this->ownership->view().process) {
    this->ownership->OwnerLinkLost();
  }
}

void Scheduler::OnMessage(const PeerInfo& peer, wire::FrameT& frame) {
  const auto* const heartbeat = frame.body.AsHeartbeat();
  if (heartbeat != nullptr) this->OnHeartbeat(peer, *heartbeat);
  const bool config = heartbeat != nullptr ||
                      frame.body.AsConfigRequest() != nullptr ||
                      frame.body.AsConfigReply() != nullptr;
  if (config) {
    if (this->hooks.config_message) this->hooks.config_message(peer, frame);
    return;
  }
  if (peer.role != wire::Role::Entry || this->current_term == nullptr) return;
  // A term that is about to be destroyed must not answer any more.
  if (this->term_teardown_timer.active()) return;
  this->current_term->OnMessage(peer, frame);
}

void Scheduler::OnHeartbeat(const PeerInfo& peer,
                            const wire::HeartbeatT& heartbeat) {
  if (heartbeat.owner_epoch > this->ownership->view().epoch) {
    this->ownership->HigherEpochSeen(heartbeat.owner_epoch);
    return;
  }
  if (peer.role == wire::Role::Scheduler) {
    this->last_scheduler_heartbeat_ms = MonotonicMs();
  }
}

bool Scheduler::MayRenew() const {
  // While this process cannot reach the store, a later owner can exist only if
  // another scheduler reaches it, and that one's heartbeats would announce the
  // new epoch. An owner that receives no heartbeats, or was paused, must not
  // renew: it could keep tasks alive that a later owner has to be able to treat
  // as ended.
  if (this->ownership->store_age_ms() <= this->settings.timing.owner_lease_ms) {
    return true;
  }
  if (this->settings.schedulers.size() <= 1) return true;
  return MonotonicMs() - this->last_scheduler_heartbeat_ms <=
         this->settings.timing.peer_silence_ms;
}

void Scheduler::ApplyConfig(const CellConfig& config) {
  this->config = config;
  if (this->current_term != nullptr) this->current_term->ApplyConfig(config);
}

void Scheduler::Stop() {
  if (this->is_stopping) return;
  this->is_stopping = true;
  this->stop_started_ms = MonotonicMs();
  Log(LogLevel::kInfo, "stopping", {F("owner", this->current_term != nullptr)});
  if (this->current_term != nullptr) this->current_term->Stop();
  // Heartbeats tell the entry daemons at once to keep new requests for the next
  // owner.
  this->node->SendHeartbeats();
  this->ContinueStop();
}

void Scheduler::ContinueStop() {
  const bool in_time = MonotonicMs() - this->stop_started_ms < kFlushLimitMs;
  if (this->current_term != nullptr && !this->current_term->Flushed() &&
      in_time) {
    this->stop_timer.StartAfter(kStopPollMs);
    return;
  }
  this->ownership->Release([this] {
    this->node->SendHeartbeats();
    if (this->hooks.stopped) this->hooks.stopped();
  });
}

}  // namespace dotterelcove
