#include "entry/EntryDaemon.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/Clock.h"
#include "border/operator/OperatorApi.h"
#include "config/ConfigFollower.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

constexpr int64_t kDrainPollMs = 10;
/// Connections that an endpoint accepts, see docs/design.md 1.6, less its
/// slots: connections that close while others open count for a moment too.
constexpr int kEndpointConnections = 64 - 8;

/// Share of an endpoint's connections, so that all entry daemons together,
/// idle connections included, stay within its limit.
int ConnectionShare(size_t entries) {
  return std::max(
      1, kEndpointConnections / static_cast<int>(std::max<size_t>(1, entries)));
}

HttpResponse MakeServerError(int status, const std::string& message) {
  return RenderAnswer(MakeErrorAnswer({status, "", message}, ""));
}

}  // namespace

struct EntryDaemon::State {
  State(EventLoop& loop, EntryDaemonOptions given,
        std::function<void(int)> stopped)
      : loop(loop),
        options(std::move(given)),
        stopped(std::move(stopped)),
        events(this->clock, static_cast<size_t>(
                                this->options.settings.limits.event_ring_size)),
        endpoint_http(loop,
                      ConnectionShare(this->options.settings.entries.size())),
        platform_http(loop),
        entry(this->MakeDependencies(), this->MakeEntryOptions()),
        follower(loop, this->MakeTables(), this->MakeObjects(),
                 {.poll_ms = this->options.settings.timing.config_poll_ms},
                 this->MakeFollowerCallbacks()),
        notice_timer(loop, [this] { this->BeginDraining(); }),
        limit_timer(loop, [this] { this->Finish(); }),
        poll_timer(loop, [this] { this->FinishWhenIdle(); }) {}

  TableClient MakeTables();
  ObjectClient MakeObjects();
  ConfigFollowerCallbacks MakeFollowerCallbacks();
  void OnPeerMessage(const PeerInfo& peer, wire::FrameT& frame);
  EntryDependencies MakeDependencies();
  EntryOptions MakeEntryOptions() const;
  PeerOptions MakePeerOptions() const;
  PeerCallbacks MakePeerCallbacks();
  HttpServerOptions MakeServerOptions() const;
  OperatorContext MakeOperatorContext();
  void OnHttp(const HttpRequest& request, const HttpReply& reply);
  std::string NotReadyReason() const;
  std::string StateJson() const;
  void BeginStop();
  void BeginDraining();
  void FinishWhenIdle();
  void Finish();

  EventLoop& loop;
  EntryDaemonOptions options;
  std::function<void(int)> stopped;
  HybridClock clock;
  Metrics metrics;
  EventRing events;
  HttpClient endpoint_http;
  HttpClient platform_http;
  Entry entry;
  ConfigFollower follower;
  std::unique_ptr<PeerNode> peers;
  OperatorContext operator_context;
  std::unique_ptr<HttpServer> server;
  StopStage stage = StopStage::kRunning;
  Timer notice_timer;
  Timer limit_timer;
  Timer poll_timer;
};

TableClient EntryDaemon::State::MakeTables() {
  return {this->platform_http, this->options.settings.platform.tables,
          this->options.settings.timing.store_timeout_ms};
}

ObjectClient EntryDaemon::State::MakeObjects() {
  return {this->platform_http, this->options.settings.platform.objects,
          this->options.settings.timing.store_timeout_ms};
}

ConfigFollowerCallbacks EntryDaemon::State::MakeFollowerCallbacks() {
  ConfigFollowerCallbacks callbacks;
  callbacks.changed = [this](const CellConfig& config) {
    this->entry.SetConfig(std::make_shared<const CellConfig>(config));
    this->metrics.Set("config_version", static_cast<double>(config.version));
    this->events.Add("config_in_force", {}, std::to_string(config.version));
    // Peers learn of the version at once rather than with the next second.
    this->peers->SendHeartbeats();
  };
  callbacks.request = [this](LinkId link, wire::ConfigRequestT request) {
    this->peers->Send(link, request);
  };
  return callbacks;
}

EntryDependencies EntryDaemon::State::MakeDependencies() {
  return {.loop = this->loop,
          .metrics = this->metrics,
          .events = this->events,
          .endpoint_http = this->endpoint_http,
          .read_object = [this](const std::string& name,
                                std::function<void(ObjectResult)> done) {
            GetObject(this->MakeObjects(), name, std::move(done));
          }};
}

EntryOptions EntryDaemon::State::MakeEntryOptions() const {
  const DaemonSettings& settings = this->options.settings;
  return {.entries = static_cast<int64_t>(
              std::max<size_t>(1, settings.entries.size())),
          .max_in_progress = settings.limits.max_in_progress,
          .max_routed_deadline_ms = settings.timing.max_routed_deadline_ms};
}

PeerOptions EntryDaemon::State::MakePeerOptions() const {
  const DaemonSettings& settings = this->options.settings;
  PeerOptions peer;
  peer.process = settings.process;
  // Distinguishes this run of the process from the one before it.
  peer.incarnation = static_cast<uint64_t>(WallMs());
  peer.role = wire::Role::Entry;
  peer.zone = settings.zone;
  peer.dial = settings.schedulers;
  peer.heartbeat_ms = settings.timing.heartbeat_ms;
  peer.peer_timeout_ms = settings.timing.peer_silence_ms;
  return peer;
}

PeerCallbacks EntryDaemon::State::MakePeerCallbacks() {
  PeerCallbacks callbacks;
  callbacks.connected = [](const PeerInfo&) {};
  callbacks.disconnected = [this](const PeerInfo& peer, LinkEnd reason) {
    this->metrics.Count(
        "peer_links_ended_total",
        {{"reason", std::string(NameOf(kLinkEndNames, reason))}});
    this->entry.OnDisconnected(peer);
  };
  callbacks.received = [this](const PeerInfo& peer, wire::FrameT& frame) {
    this->OnPeerMessage(peer, frame);
  };
  callbacks.make_heartbeat = [this] {
    const EntryState& view = this->entry.view();
    wire::HeartbeatT heartbeat;
    heartbeat.owner_epoch = view.tracker.highest_epoch;
    heartbeat.config_version = view.config ? view.config->version : 0;
    heartbeat.draining = this->stage != StopStage::kRunning;
    return heartbeat;
  };
  return callbacks;
}

void EntryDaemon::State::OnPeerMessage(const PeerInfo& peer,
                                       wire::FrameT& frame) {
  if (this->entry.OnMessage(peer, frame)) return;
  if (const auto* heartbeat = frame.body.AsHeartbeat()) {
    this->follower.OnPeerVersion(peer.link, heartbeat->config_version);
  } else if (const auto* reply = frame.body.AsConfigReply()) {
    this->follower.OnPeerReply(*reply);
  } else if (const auto* request = frame.body.AsConfigRequest()) {
    this->peers->Send(peer.link, this->follower.MakeReply(*request));
  }
}

HttpServerOptions EntryDaemon::State::MakeServerOptions() const {
  const DaemonSettings& settings = this->options.settings;
  HttpServerOptions http;
  http.address = settings.http.address;
  http.port = settings.http.port;
  http.max_body_bytes = static_cast<size_t>(settings.limits.max_body_bytes);
  http.receive_timeout_ms = settings.limits.receive_timeout_ms;
  http.max_connections = static_cast<unsigned>(settings.limits.max_connections);
  http.make_error = MakeServerError;
  return http;
}

OperatorContext EntryDaemon::State::MakeOperatorContext() {
  OperatorContext context;
  context.process = this->options.settings.process;
  context.zone = this->options.settings.zone;
  context.metrics = &this->metrics;
  context.events = &this->events;
  context.refresh_metrics = [this] {
    const PeerStats stats = this->peers->stats();
    this->metrics.Set("peer_bytes_sent", static_cast<double>(stats.bytes_sent));
    this->metrics.Set("peer_bytes_received",
                      static_cast<double>(stats.bytes_received));
    this->metrics.Set("peer_bad_frames", static_cast<double>(stats.bad_frames));
    this->metrics.Set("http_connections",
                      static_cast<double>(this->server->open_connections()));
    this->metrics.Set("requests_in_progress",
                      static_cast<double>(this->entry.in_progress()));
  };
  context.not_ready_reason = [this] { return this->NotReadyReason(); };
  context.state_json = [this] { return this->StateJson(); };
  context.drain = [this](const std::string& vm, const HttpReply& reply) {
    if (!vm.empty()) {
      reply.Send(MakeErrorResponse(
          421, "vm: an entry daemon drains itself only; ask a scheduler"));
      return;
    }
    HttpResponse response;
    response.status = 202;
    response.body = R"({"draining":true})";
    reply.Send(std::move(response));
    if (this->stage == StopStage::kRunning) this->BeginStop();
  };
  return context;
}

void EntryDaemon::State::OnHttp(const HttpRequest& request,
                                const HttpReply& reply) {
  if (this->entry.Handle(request, reply)) return;
  if (HandleOperatorRequest(this->operator_context, request, reply)) return;
  reply.Send(MakeServerError(404, "path is not known; see docs/api.md"));
}

std::string EntryDaemon::State::NotReadyReason() const {
  if (this->stage != StopStage::kRunning) return "stopping";
  if (this->entry.view().config == nullptr) return "no configuration in force";
  if (this->entry.view().owner.link == 0) return "no owner connected";
  return {};
}

std::string EntryDaemon::State::StateJson() const {
  const EntryState& view = this->entry.view();
  std::string owner;
  const auto peer = this->peers->peers().find(view.owner.link);
  if (peer != this->peers->peers().end()) owner = peer->second.process;
  return nlohmann::json{
      {"role", "entry"},
      {"config_version", view.config ? view.config->version : 0},
      {"owner", owner},
      {"owner_epoch", view.owner.epoch},
      {"draining", this->stage != StopStage::kRunning},
      {"requests_in_progress", view.requests.size()},
      {"queries_in_progress", view.queries.size()},
      {"schedulers_connected", this->peers->peers().size()}}
      .dump();
}

void EntryDaemon::State::BeginStop() {
  Log(LogLevel::kInfo, "stop_began",
      {F("in_progress", this->entry.in_progress())});
  this->stage = StopStage::kNotice;
  this->server->CloseAfterAnswers();
  this->notice_timer.StartAfter(this->options.balancer_notice_ms);
  this->limit_timer.StartAfter(this->options.settings.timing.drain_limit_ms);
}

void EntryDaemon::State::BeginDraining() {
  this->stage = StopStage::kDraining;
  this->entry.RefuseNew();
  this->poll_timer.StartEvery(kDrainPollMs);
}

void EntryDaemon::State::FinishWhenIdle() {
  if (this->entry.in_progress() > 0) return;
  if (this->server->open_requests() > 0) return;
  this->Finish();
}

void EntryDaemon::State::Finish() {
  if (this->stage == StopStage::kStopped) return;
  this->stage = StopStage::kStopped;
  this->poll_timer.Cancel();
  this->limit_timer.Cancel();
  this->notice_timer.Cancel();
  const size_t interrupted = this->entry.in_progress();
  this->entry.RefuseNew();
  this->entry.EndAll("the process was stopped");
  Log(LogLevel::kInfo, "stopped", {F("interrupted", interrupted)});
  this->stopped(interrupted == 0 ? 0 : 1);
}

EntryDaemon::EntryDaemon(std::unique_ptr<State> state)
    : state(std::move(state)) {}

EntryDaemon::~EntryDaemon() = default;

Result<std::unique_ptr<EntryDaemon>> EntryDaemon::Start(
    EventLoop& loop, EntryDaemonOptions options,
    std::function<void(int)> stopped) {
  auto created =
      std::make_unique<State>(loop, std::move(options), std::move(stopped));
  State* state = created.get();
  BOOST_LEAF_ASSIGN(state->peers,
                    PeerNode::Start(loop, state->MakePeerOptions(),
                                    state->MakePeerCallbacks(), state->clock));
  state->entry.SetPeers(state->peers.get());
  state->follower.Start();
  state->operator_context = state->MakeOperatorContext();
  BOOST_LEAF_ASSIGN(state->server,
                    HttpServer::Start(loop, state->MakeServerOptions(),
                                      [state](const HttpRequest& request,
                                              const HttpReply& reply) {
                                        state->OnHttp(request, reply);
                                      }));
  return std::unique_ptr<EntryDaemon>(new EntryDaemon(std::move(created)));
}

void EntryDaemon::Stop() {
  if (this->state->stage == StopStage::kRunning) {
    this->state->BeginStop();
    return;
  }
  this->state->Finish();
}

uint16_t EntryDaemon::port() const { return this->state->server->port(); }

Entry& EntryDaemon::entry() { return this->state->entry; }

StopStage EntryDaemon::stage() const { return this->state->stage; }

}  // namespace dotterelcove
