#include "tests/platform/soak/PathProxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <utility>

#include "tests/platform/soak/RawHttp.h"

namespace dotterelcove::soak {
namespace {

/// Faults and delayed bytes wait for this at most.
constexpr int kTickMs = 5;
constexpr size_t kMaxHeldBytes = 1 << 20;

/// What one side of a channel has sent and the other has not been given.
struct Stream {
  int from = -1;
  int to = -1;
  /// When each piece is due.
  std::deque<std::pair<int64_t, std::string>> held;
  size_t held_bytes = 0;
  bool ended = false;
  bool shut = false;
};

int OpenSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  return fd;
}

/// Binds or connects the socket; returns 0 or the error.
int Use(decltype(&connect) call, int fd, const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const auto* any = reinterpret_cast<const sockaddr*>(&address);
  return call(fd, any, sizeof(address)) == 0 ? 0 : errno;
}

bool IsRefused(const std::string& ip, uint16_t port) {
  const int fd = OpenSocket();
  int error = Use(connect, fd, ip, port);
  if (error == EINPROGRESS) {
    pollfd waiting{fd, POLLOUT, 0};
    poll(&waiting, 1, kTickMs);
    socklen_t size = sizeof(error);
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  }
  close(fd);
  return error == ECONNREFUSED;
}

bool HasClosed(int fd) {
  pollfd asked{fd, POLLRDHUP, 0};
  return poll(&asked, 1, 0) > 0;
}

/// Returns false if a side is lost.
bool Carry(Stream& stream, int64_t delay_ms) {
  const int64_t now_ms = NowMs();
  while (!stream.ended && stream.held_bytes < kMaxHeldBytes) {
    char chunk[16384];
    const ssize_t count = recv(stream.from, chunk, sizeof(chunk), 0);
    if (count < 0 && errno == EAGAIN) break;
    if (count < 0) return false;
    stream.ended = count == 0;
    const std::string piece(chunk, static_cast<size_t>(count));
    stream.held_bytes += piece.size();
    if (count > 0) stream.held.emplace_back(now_ms + delay_ms, piece);
  }
  while (!stream.held.empty() && stream.held.front().first <= now_ms) {
    std::string& piece = stream.held.front().second;
    const ssize_t count =
        send(stream.to, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (count < 0 && errno == EAGAIN) return true;
    if (count < 0) return false;
    stream.held_bytes -= static_cast<size_t>(count);
    piece.erase(0, static_cast<size_t>(count));
    if (piece.empty()) stream.held.pop_front();
  }
  if (!stream.ended || !stream.held.empty() || stream.shut) return true;
  stream.shut = true;
  return shutdown(stream.to, SHUT_WR) == 0;
}

}  // namespace

struct PathProxy::Path {
  Path(EventLoop& loop, std::function<void()> accept)
      : watch(loop, [accept = std::move(accept)](int) { accept(); }) {}
  ~Path() {
    if (this->listener >= 0) close(this->listener);
  }
  bool IsCut(bool forward) const {
    return this->fault.kind == PathFaultKind::kCut ||
           this->fault.kind == (forward ? PathFaultKind::kForwardCut
                                        : PathFaultKind::kBackwardCut);
  }
  bool IsCut() const { return this->IsCut(true) || this->IsCut(false); }

  std::string ip;
  std::string target_ip;
  uint16_t port = 0;
  int listener = -1;
  bool target_refuses = false;
  PathFault fault;
  IoWatch watch;
};

struct PathProxy::Channel {
  Channel(PathProxy& proxy, Path& path)
      : path(path),
        client(proxy.loop, [this, &proxy](int) { proxy.Pump(*this); }),
        target(proxy.loop, [this, &proxy](int) { proxy.Pump(*this); }) {}
  ~Channel() { this->Close(true); }

  void Close(bool reset) {
    this->client.Stop();
    this->target.Stop();
    const linger now{1, 0};
    for (const int fd : {this->forward.from, this->forward.to}) {
      if (this->closed || fd < 0) continue;
      if (reset) setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      close(fd);
    }
    this->closed = true;
  }
  /// Waits for what the side has sent and can be taken, and for room at the
  /// side for what is due.
  void Watch(IoWatch& side, int fd, const Stream& out, bool takes_out,
             const Stream& in, bool gives_in) const {
    const bool reads =
        takes_out && !out.ended && out.held_bytes < kMaxHeldBytes;
    const bool writes =
        gives_in && !in.held.empty() && in.held.front().first <= NowMs();
    const int events = (reads ? EV_READ : 0) | (writes ? EV_WRITE : 0);
    if (events == 0) {
      side.Stop();
    } else {
      side.Start(fd, events);
    }
  }

  Path& path;
  Stream forward;
  Stream backward;
  bool stalled = false;
  bool closed = false;
  IoWatch client;
  IoWatch target;
};

PathProxy::PathProxy() : tick(this->loop, [this] { this->OnTick(); }) {}

PathProxy::~PathProxy() {
  this->ended = true;
  if (this->thread.joinable()) this->thread.join();
  this->channels.clear();
}

bool PathProxy::Add(const std::string& ip, const std::string& target_ip,
                    uint16_t port) {
  const size_t number = this->paths.size();
  this->paths.push_back(std::make_unique<Path>(
      this->loop, [this, number] { this->Accept(*this->paths[number]); }));
  Path& path = *this->paths.back();
  path.ip = ip;
  path.target_ip = target_ip;
  path.port = port;
  return this->UpdateListener(path);
}

void PathProxy::Start() {
  this->tick.StartEvery(kTickMs);
  this->thread = std::thread([this] { this->loop.Run(); });
}

void PathProxy::SetFault(size_t path, PathFault fault) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::map<uint64_t, PathFault>& active = this->faults[path];
  if (fault.kind == PathFaultKind::kNone) {
    active.erase(fault.set_by);
  } else {
    active[fault.set_by] = fault;
  }
  PathFault strongest;
  for (const auto& [set_by, other] : active) {
    if (strongest.kind != PathFaultKind::kCut) strongest = other;
  }
  this->next_faults[path] = strongest;
}

void PathProxy::OnTick() {
  if (this->ended) this->loop.Stop();
  this->ApplyFaults();
  for (const auto& channel : this->channels) {
    const bool holds =
        !channel->forward.held.empty() || !channel->backward.held.empty();
    if (holds) this->Pump(*channel);
  }
  std::erase_if(this->channels,
                [](const auto& channel) { return channel->closed; });
  constexpr int64_t kCheckIntervalMs = 50;
  if (NowMs() - this->checked_ms < kCheckIntervalMs) return;
  this->checked_ms = NowMs();
  for (const auto& path : this->paths) {
    if (path->target_refuses) this->CheckTarget(*path);
  }
}

void PathProxy::ApplyFaults() {
  std::map<size_t, PathFault> next;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    next.swap(this->next_faults);
  }
  for (const auto& [number, fault] : next) {
    Path& path = *this->paths[number];
    path.fault = fault;
    this->UpdateListener(path);
    for (const auto& channel : this->channels) {
      if (&channel->path != &path) continue;
      if (fault.kind == PathFaultKind::kStalled) channel->stalled = true;
      if (fault.kind == PathFaultKind::kReset) channel->Close(true);
      this->Pump(*channel);
    }
  }
}

void PathProxy::Accept(Path& path) {
  const int fd =
      accept4(path.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  this->channels.push_back(std::make_unique<Channel>(*this, path));
  Channel& channel = *this->channels.back();
  channel.forward.from = channel.backward.to = fd;
  this->Pump(channel);
}

void PathProxy::Pump(Channel& channel) {
  Path& path = channel.path;
  Stream& forward = channel.forward;
  Stream& backward = channel.backward;
  if (channel.closed) return;
  if (forward.to < 0) {
    // No connection comes about over a path that is cut in either direction.
    if (channel.stalled || path.IsCut()) return;
    if (HasClosed(forward.from)) {
      channel.Close(false);
      return;
    }
    forward.to = backward.from = OpenSocket();
    // The first use of the socket shows whether this has failed.
    Use(connect, forward.to, path.target_ip, path.port);
  }
  const bool takes_forward = !channel.stalled && !path.IsCut(true);
  const bool takes_backward = !channel.stalled && !path.IsCut(false);
  const bool had_ended = backward.ended;
  const bool carried =
      (!takes_forward || Carry(forward, path.fault.delay_ms)) &&
      (!takes_backward || Carry(backward, path.fault.delay_ms));
  if (!carried || (forward.shut && backward.shut)) channel.Close(!carried);
  if (!carried || backward.ended != had_ended) this->CheckTarget(path);
  if (channel.closed) return;
  channel.Watch(channel.client, forward.from, forward, takes_forward, backward,
                takes_backward);
  channel.Watch(channel.target, forward.to, backward, takes_backward, forward,
                takes_forward);
}

void PathProxy::CheckTarget(Path& path) {
  path.target_refuses = IsRefused(path.target_ip, path.port);
  this->UpdateListener(path);
}

bool PathProxy::UpdateListener(Path& path) {
  const bool wanted = !path.target_refuses || path.IsCut();
  if (wanted == (path.listener >= 0)) return true;
  if (!wanted) {
    path.watch.Stop();
    close(path.listener);
    path.listener = -1;
    return true;
  }
  constexpr int kBacklog = 64;
  path.listener = OpenSocket();
  if (Use(bind, path.listener, path.ip, path.port) != 0 ||
      listen(path.listener, kBacklog) != 0) {
    return false;
  }
  path.watch.Start(path.listener, EV_READ);
  return true;
}

}  // namespace dotterelcove::soak
