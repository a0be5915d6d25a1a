/// Connections of one process to the other processes of the cluster: listening,
/// dialling with backoff, the hello handshake and heartbeats.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/HybridClock.h"
#include "base/Random.h"
#include "dotterelcove/Result.h"
#include "peer/Link.h"

namespace dotterelcove {

/// Sent in the hello; a process closes connections from peers with another
/// version.
inline constexpr uint32_t kProtocolVersion = 1;

/// Identifies a connection within this process; never reused.
using LinkId = uint64_t;

struct PeerOptions {
  std::string process;
  uint64_t incarnation = 0;
  wire::Role role = wire::Role::Entry;
  std::string zone;
  /// Address to listen on; when empty, no connections are accepted.
  std::string listen_address;
  uint16_t listen_port = 0;
  /// "ip:port" of each peer this process connects to.
  std::vector<std::string> dial;
  int64_t heartbeat_ms = 1'000;
  /// A peer from which nothing was received for longer than this is
  /// disconnected.
  int64_t peer_timeout_ms = 3'000;
};

/// A connected peer, as described by its hello.
struct PeerInfo {
  LinkId link = 0;
  std::string process;
  uint64_t incarnation = 0;
  wire::Role role = wire::Role::Entry;
  std::string zone;
  /// The dialled address, empty for an accepted connection.
  std::string dialled;
};

struct PeerCallbacks {
  std::function<void(const PeerInfo&)> connected;
  std::function<void(const PeerInfo&, LinkEnd)> disconnected;
  /// Called for every message except Hello, so for heartbeats too.
  std::function<void(const PeerInfo&, wire::FrameT&)> received;
  /// An outgoing connection was closed before the hello: with kNetworkError
  /// nobody listens at the address. May be empty.
  std::function<void(const std::string& address, LinkEnd)> dial_failed;
  /// Creates the content of the next heartbeat, but for `sent_ms` and
  /// `echo_ms`.
  std::function<wire::HeartbeatT()> make_heartbeat;
};

/// The peer port could not be opened.
struct PeerListenError {
  std::string address;
  uint16_t port;
};

/// Counters for metrics, over all connections since the start.
struct PeerStats {
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t bad_frames = 0;
  uint64_t links_closed = 0;
};

class PeerNode {
 public:
  static Result<std::unique_ptr<PeerNode>> Start(EventLoop& loop,
                                                 PeerOptions options,
                                                 PeerCallbacks callbacks,
                                                 HybridClock& clock);
  ~PeerNode();
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  /// Sends to one connected peer. An unknown link is ignored, since its loss
  /// was already reported by the `disconnected` callback.
  void Send(LinkId link, wire::FrameT frame);
  template <class T>
  void Send(LinkId link, T message) {
    this->Send(link, MakeFrame(std::move(message)));
  }
  /// Replaces the set of peers this process connects to and closes outgoing
  /// connections to peers that are not in it.
  void SetDialled(const std::vector<std::string>& addresses);
  /// Sends an extra heartbeat to every peer now; the periodic ones continue.
  void SendHeartbeats();
  /// Peers whose hello was received, by link.
  const std::map<LinkId, PeerInfo>& peers() const { return this->connected; }
  uint16_t port() const { return this->listen_port; }
  PeerStats stats() const;

 private:
  struct Connection;
  struct Dialer;

  PeerNode(EventLoop& loop, PeerOptions options, PeerCallbacks callbacks,
           HybridClock& clock);
  bool Listen();
  void OnAccept();
  void AddDialer(const std::string& address);
  void Dial(Dialer& dialer);
  void RetryLater(Dialer& dialer);
  void AddConnection(int fd, Dialer* dialer);
  void OnFrame(LinkId id, wire::FrameT& frame);
  void OnHello(Connection& connection, const wire::HelloT& hello);
  void OnLinkClosed(LinkId id, LinkEnd reason);
  void SendHeartbeat(Connection& connection);
  void OnTick();

  EventLoop& loop;
  PeerOptions options;
  PeerCallbacks callbacks;
  HybridClock& clock;
  Random random;
  int listener = -1;
  uint16_t listen_port = 0;
  LinkId next_link = 1;
  std::map<LinkId, std::unique_ptr<Connection>> connections;
  std::map<LinkId, PeerInfo> connected;
  std::map<std::string, std::unique_ptr<Dialer>> dialers;
  std::vector<std::unique_ptr<Connection>> closed_connections;
  PeerStats closed_stats;
  IoWatch accept_watch;
  Timer tick;
  Timer reaper;
};

}  // namespace dotterelcove
