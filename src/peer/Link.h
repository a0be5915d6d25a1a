/// One TCP connection that carries frames, with bounded buffers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/NameTable.h"
#include "loop/EventLoop.h"
#include "peer/Framing.h"

namespace dotterelcove {

/// Why a link was closed.
enum class LinkEnd : uint8_t {
  kClosedByPeer,
  kNetworkError,
  kBadFrame,
  kSendQueueFull,
  kTimedOut,
  kBadHello
};
inline constexpr auto kLinkEndNames =
    MakeNameTable<LinkEnd>({{LinkEnd::kClosedByPeer, "closed_by_peer"},
                            {LinkEnd::kNetworkError, "network_error"},
                            {LinkEnd::kBadFrame, "bad_frame"},
                            {LinkEnd::kSendQueueFull, "send_queue_full"},
                            {LinkEnd::kTimedOut, "timed_out"},
                            {LinkEnd::kBadHello, "bad_hello"}});

/// Bytes that may wait for a peer that does not read; beyond it the peer is
/// treated as lost, so that one slow peer cannot take this process's memory.
inline constexpr size_t kMaxSendQueueBytes = 8 << 20;

struct LinkCallbacks {
  std::function<void(wire::FrameT&)> received;
  /// The link must not be used after this call; it may be destroyed in it.
  std::function<void(LinkEnd)> closed;
};

class Link {
 public:
  /// Takes over `fd`, a connected or connecting non-blocking socket.
  Link(EventLoop& loop, int fd, LinkCallbacks callbacks);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  /// Queues one frame. A full queue ends the link from the loop, never from
  /// inside this call.
  void Send(const wire::FrameT& frame);
  uint64_t bytes_sent() const { return this->sent; }
  uint64_t bytes_received() const { return this->received; }

 private:
  void OnReady(int events);
  bool ReadAll();
  bool DeliverFrames();
  bool WriteAll();
  void Close(LinkEnd reason);
  void UpdateWatch();

  int fd;
  LinkCallbacks callbacks;
  std::string input;
  std::string output;
  uint64_t sent = 0;
  uint64_t received = 0;
  bool overflow = false;
  bool closed = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  IoWatch watch;
  Timer overflow_timer;
};

}  // namespace dotterelcove
