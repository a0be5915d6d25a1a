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

/// Maximum bytes queued for a peer that does not read. A link that exceeds it
/// is closed, so that one slow peer cannot exhaust the memory of this process.
inline constexpr size_t kMaxSendQueueBytes = 8 << 20;

struct LinkCallbacks {
  std::function<void(wire::FrameT&)> received;
  /// The link must not be used after this call. The callback may destroy it.
  std::function<void(LinkEnd)> closed;
};

class Link {
 public:
  /// Takes ownership of `fd`, a connected or connecting non-blocking socket.
  Link(EventLoop& loop, int fd, LinkCallbacks callbacks);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  /// Queues one frame. When the queue exceeds its limit, the link is closed
  /// later from the event loop, never inside this call.
  void Send(const wire::FrameT& frame);
  uint64_t bytes_sent() const { return this->sent; }
  uint64_t bytes_received() const { return this->received; }

 private:
  void OnReady(int events);
  bool ReadChunk();
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
