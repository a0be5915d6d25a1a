#include "peer/PeerNode.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <set>
#include <utility>

#include "base/Clock.h"

namespace dotterelcove {
namespace {

constexpr int64_t kRedialBaseMs = 50;
constexpr int64_t kRedialMaxMs = 1'000;
constexpr int kListenBacklog = 256;

bool ParseAddress(const std::string& text, sockaddr_in& address) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  address = {};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<uint16_t>(std::atoi(text.c_str() + colon + 1)));
  return inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) ==
         1;
}

void DisableNagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

/// One connection, whether or not its hello was received.
struct PeerNode::Connection {
  LinkId id = 0;
  Dialer* dialer = nullptr;
  bool hello_received = false;
  TimeMs last_received_ms = 0;
  /// `sent_ms` of the last heartbeat received.
  int64_t last_sent_ms = 0;
  std::unique_ptr<Link> link;
};

/// Maintains one outgoing connection, redialling when it is lost.
struct PeerNode::Dialer {
  Dialer(EventLoop& loop, std::string address, std::function<void()> dial)
      : address(std::move(address)), timer(loop, std::move(dial)) {}
  std::string address;
  int attempt = 0;
  Timer timer;
};

PeerNode::PeerNode(EventLoop& loop, PeerOptions options,
                   PeerCallbacks callbacks, HybridClock& clock)
    : loop(loop),
      options(std::move(options)),
      callbacks(std::move(callbacks)),
      clock(clock),
      random(MakeSystemRandom()),
      accept_watch(loop, [this](int) { this->OnAccept(); }),
      tick(loop, [this] { this->OnTick(); }),
      reaper(loop, [this] { this->closed_connections.clear(); }) {}

PeerNode::~PeerNode() {
  this->accept_watch.Stop();
  if (this->listener >= 0) close(this->listener);
}

Result<std::unique_ptr<PeerNode>> PeerNode::Start(EventLoop& loop,
                                                  PeerOptions options,
                                                  PeerCallbacks callbacks,
                                                  HybridClock& clock) {
  std::unique_ptr<PeerNode> node(
      new PeerNode(loop, std::move(options), std::move(callbacks), clock));
  if (!node->options.listen_address.empty() && !node->Listen()) {
    return leaf::new_error(PeerListenError{node->options.listen_address,
                                           node->options.listen_port});
  }
  for (const std::string& address : node->options.dial) {
    node->AddDialer(address);
  }
  node->tick.StartEvery(node->options.heartbeat_ms);
  return node;
}

bool PeerNode::Listen() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(this->options.listen_port);
  if (inet_pton(AF_INET, this->options.listen_address.c_str(),
                &address.sin_addr) != 1) {
    return false;
  }
  this->listener =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(this->listener, reinterpret_cast<sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(this->listener, kListenBacklog) != 0) {
    return false;
  }
  socklen_t size = sizeof(address);
  getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
  this->listen_port = ntohs(address.sin_port);
  this->accept_watch.Start(this->listener, EV_READ);
  return true;
}

void PeerNode::OnAccept() {
  while (true) {
    const int fd =
        accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    this->AddConnection(fd, nullptr);
  }
}

void PeerNode::AddDialer(const std::string& address) {
  auto dialer = std::make_unique<Dialer>(this->loop, address, [this, address] {
    const auto found = this->dialers.find(address);
    if (found != this->dialers.end()) this->Dial(*found->second);
  });
  dialer->timer.StartAfter(0);
  this->dialers[address] = std::move(dialer);
}

void PeerNode::SetDialled(const std::vector<std::string>& addresses) {
  const std::set<std::string> wanted(addresses.begin(), addresses.end());
  std::vector<LinkId> unwanted;
  for (const auto& [id, connection] : this->connections) {
    if (connection->dialer == nullptr) continue;
    if (wanted.contains(connection->dialer->address)) continue;
    connection->dialer = nullptr;
    unwanted.push_back(id);
  }
  std::erase_if(this->dialers, [&](const auto& dialer) {
    return !wanted.contains(dialer.first);
  });
  for (const LinkId id : unwanted) {
    this->OnLinkClosed(id, LinkEnd::kClosedByPeer);
  }
  for (const std::string& address : wanted) {
    if (!this->dialers.contains(address)) this->AddDialer(address);
  }
}

void PeerNode::Dial(Dialer& dialer) {
  sockaddr_in address{};
  if (!ParseAddress(dialer.address, address)) return;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    this->RetryLater(dialer);
    return;
  }
  const int status =
      connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (status != 0 && errno != EINPROGRESS) {
    close(fd);
    this->RetryLater(dialer);
    return;
  }
  this->AddConnection(fd, &dialer);
}

void PeerNode::RetryLater(Dialer& dialer) {
  dialer.timer.StartAfter(
      BackoffMs(this->random, dialer.attempt++, kRedialBaseMs, kRedialMaxMs));
}

void PeerNode::AddConnection(int fd, Dialer* dialer) {
  DisableNagle(fd);
  const LinkId id = this->next_link++;
  auto connection = std::make_unique<Connection>();
  connection->id = id;
  connection->dialer = dialer;
  connection->last_received_ms = MonotonicMs();
  connection->link = std::make_unique<Link>(
      this->loop, fd,
      LinkCallbacks{
          [this, id](wire::FrameT& frame) { this->OnFrame(id, frame); },
          [this, id](LinkEnd reason) { this->OnLinkClosed(id, reason); }});
  wire::HelloT hello;
  hello.protocol = kProtocolVersion;
  hello.process = this->options.process;
  hello.incarnation = this->options.incarnation;
  hello.role = this->options.role;
  hello.zone = this->options.zone;
  wire::FrameT frame = MakeFrame(std::move(hello));
  frame.hlc = Advance(this->clock, WallMs());
  connection->link->Send(frame);
  this->connections[id] = std::move(connection);
}

void PeerNode::Send(LinkId link, wire::FrameT frame) {
  const auto found = this->connections.find(link);
  if (found == this->connections.end()) return;
  frame.hlc = Advance(this->clock, WallMs());
  found->second->link->Send(frame);
}

void PeerNode::SendHeartbeats() {
  for (const auto& [id, info] : this->connected) {
    this->SendHeartbeat(*this->connections.at(id));
  }
}

void PeerNode::SendHeartbeat(Connection& connection) {
  wire::HeartbeatT heartbeat = this->callbacks.make_heartbeat();
  heartbeat.sent_ms = MonotonicMs();
  heartbeat.echo_ms = connection.last_sent_ms;
  this->Send(connection.id, std::move(heartbeat));
}

void PeerNode::OnFrame(LinkId id, wire::FrameT& frame) {
  // A link closed for a timeout stays open until the reaper runs, so frames may
  // still arrive on it, for example after a pause of this process.
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) return;
  Connection& connection = *found->second;
  connection.last_received_ms = MonotonicMs();
  Merge(this->clock, frame.hlc, WallMs());
  if (!connection.hello_received) {
    const wire::HelloT* hello = frame.body.AsHello();
    if (hello == nullptr || hello->protocol != kProtocolVersion) {
      this->OnLinkClosed(id, LinkEnd::kBadHello);
      return;
    }
    this->OnHello(connection, *hello);
    return;
  }
  if (const auto* heartbeat = frame.body.AsHeartbeat()) {
    connection.last_sent_ms = heartbeat->sent_ms;
  }
  // A copy, since the callback may close the link.
  const PeerInfo info = this->connected.at(id);
  this->callbacks.received(info, frame);
}

void PeerNode::OnHello(Connection& connection, const wire::HelloT& hello) {
  connection.hello_received = true;
  if (connection.dialer != nullptr) connection.dialer->attempt = 0;
  PeerInfo info;
  info.link = connection.id;
  info.process = hello.process;
  info.incarnation = hello.incarnation;
  info.role = hello.role;
  info.zone = hello.zone;
  if (connection.dialer != nullptr) info.dialled = connection.dialer->address;
  this->connected[connection.id] = info;
  this->SendHeartbeat(connection);
  this->callbacks.connected(info);
}

void PeerNode::OnLinkClosed(LinkId id, LinkEnd reason) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) return;
  std::unique_ptr<Connection> connection = std::move(found->second);
  this->connections.erase(found);
  this->closed_stats.bytes_sent += connection->link->bytes_sent();
  this->closed_stats.bytes_received += connection->link->bytes_received();
  this->closed_stats.links_closed++;
  if (reason == LinkEnd::kBadFrame || reason == LinkEnd::kBadHello) {
    this->closed_stats.bad_frames++;
  }
  std::string dialled;
  if (connection->dialer != nullptr) {
    dialled = connection->dialer->address;
    this->RetryLater(*connection->dialer);
  }
  // The link may be executing a callback, so it is destroyed from the loop.
  this->closed_connections.push_back(std::move(connection));
  this->reaper.StartAfter(0);
  const auto peer = this->connected.find(id);
  if (peer == this->connected.end()) {
    if (!dialled.empty() && this->callbacks.dial_failed) {
      this->callbacks.dial_failed(dialled, reason);
    }
    return;
  }
  const PeerInfo info = peer->second;
  this->connected.erase(peer);
  this->callbacks.disconnected(info, reason);
}

void PeerNode::OnTick() {
  const TimeMs now = MonotonicMs();
  std::vector<LinkId> timed_out;
  for (const auto& [id, connection] : this->connections) {
    if (now - connection->last_received_ms <= this->options.peer_timeout_ms) {
      continue;
    }
    timed_out.push_back(id);
  }
  for (const LinkId id : timed_out) this->OnLinkClosed(id, LinkEnd::kTimedOut);
  this->SendHeartbeats();
}

PeerStats PeerNode::stats() const {
  PeerStats stats = this->closed_stats;
  for (const auto& [id, connection] : this->connections) {
    stats.bytes_sent += connection->link->bytes_sent();
    stats.bytes_received += connection->link->bytes_received();
  }
  return stats;
}

}  // namespace dotterelcove
