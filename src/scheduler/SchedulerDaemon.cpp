#include "scheduler/SchedulerDaemon.h"

#include <utility>

namespace dotterelcove {

SchedulerDaemon::SchedulerDaemon(EventLoop& loop, DaemonSettings settings)
    : settings(std::move(settings)),
      events(this->clock,
             static_cast<size_t>(this->settings.limits.event_ring_size)),
      http(loop) {}

SchedulerDaemon::~SchedulerDaemon() {
  this->server.reset();
  this->candidate.reset();
  this->follower.reset();
}

Result<std::unique_ptr<SchedulerDaemon>> SchedulerDaemon::Start(
    EventLoop& loop, DaemonSettings settings, std::function<void()> stopped) {
  std::unique_ptr<SchedulerDaemon> daemon(
      new SchedulerDaemon(loop, std::move(settings)));
  SchedulerDaemon* const self = daemon.get();
  const DaemonSettings& own = self->settings;
  const TableClient tables{self->http, own.platform.tables,
                           own.timing.store_timeout_ms};
  ConfigFollowerOptions follow;
  follow.poll_ms = own.timing.config_poll_ms;
  self->follower = std::make_unique<ConfigFollower>(
      loop, tables, ObjectClient{self->http, own.platform.objects}, follow,
      ConfigFollowerCallbacks{
          [self](const CellConfig& config) {
            self->candidate->ApplyConfig(config);
          },
          [self](LinkId link, const wire::ConfigRequestT& request) {
            self->candidate->peers().Send(link, request);
          }});
  SchedulerHooks hooks;
  hooks.config_version = [self] { return self->follower->in_force().version; };
  hooks.config_message = [self](const PeerInfo& peer, wire::FrameT& frame) {
    self->OnConfigMessage(peer, frame);
  };
  hooks.stopped = std::move(stopped);
  BOOST_LEAF_ASSIGN(
      self->candidate,
      Scheduler::Start(loop, self->http, own, self->metrics, self->events,
                       self->clock, std::move(hooks)));
  self->operator_context =
      MakeOperatorContext(*self->candidate, self->metrics, self->events);
  HttpServerOptions server;
  server.address = own.http.address;
  server.port = own.http.port;
  server.max_body_bytes = static_cast<size_t>(own.limits.max_body_bytes);
  server.receive_timeout_ms = own.limits.receive_timeout_ms;
  server.max_connections = static_cast<unsigned>(own.limits.max_connections);
  BOOST_LEAF_ASSIGN(
      self->server,
      HttpServer::Start(
          loop, server,
          [self](const HttpRequest& request, const HttpReply& reply) {
            HandleSchedulerRequest(self->operator_context, *self->candidate,
                                   request, reply);
          }));
  self->follower->Start();
  return daemon;
}

void SchedulerDaemon::OnConfigMessage(const PeerInfo& peer,
                                      wire::FrameT& frame) {
  if (const auto* heartbeat = frame.body.AsHeartbeat()) {
    this->follower->OnPeerVersion(peer.link, heartbeat->config_version);
  } else if (const auto* reply = frame.body.AsConfigReply()) {
    this->follower->OnPeerReply(*reply);
  } else if (const auto* request = frame.body.AsConfigRequest()) {
    this->candidate->peers().Send(peer.link,
                                  this->follower->MakeReply(*request));
  }
}

void SchedulerDaemon::Stop() { this->candidate->Stop(); }

}  // namespace dotterelcove
