#include "peer/Link.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace dotterelcove {
namespace {

constexpr size_t kReadChunkBytes = 64 << 10;

}  // namespace

Link::Link(EventLoop& loop, int fd, LinkCallbacks callbacks)
    : fd(fd),
      callbacks(std::move(callbacks)),
      watch(loop, [this](int events) { this->OnReady(events); }),
      overflow_timer(loop, [this] { this->Close(LinkEnd::kSendQueueFull); }) {
  this->UpdateWatch();
}

Link::~Link() {
  *this->alive = false;
  this->watch.Stop();
  close(this->fd);
}

void Link::Send(const wire::FrameT& frame) {
  if (this->closed || this->overflow) return;
  this->output += EncodeFrame(frame);
  if (this->output.size() > kMaxSendQueueBytes) {
    this->overflow = true;
    this->overflow_timer.StartAfter(0);
    return;
  }
  this->UpdateWatch();
}

void Link::UpdateWatch() {
  this->watch.Start(this->fd, EV_READ | (this->output.empty() ? 0 : EV_WRITE));
}

void Link::OnReady(int events) {
  const std::shared_ptr<bool> still_alive = this->alive;
  if ((events & EV_WRITE) && !this->WriteAll()) return;
  if ((events & EV_READ) && !this->ReadChunk()) return;
  if (*still_alive && !this->closed) this->UpdateWatch();
}

bool Link::WriteAll() {
  while (!this->output.empty()) {
    const ssize_t count =
        send(this->fd, this->output.data(), this->output.size(), MSG_NOSIGNAL);
    if (count > 0) {
      this->output.erase(0, static_cast<size_t>(count));
      this->sent += static_cast<uint64_t>(count);
      continue;
    }
    if (errno == EAGAIN || errno == EINTR) return true;
    this->Close(LinkEnd::kNetworkError);
    return false;
  }
  return true;
}

bool Link::ReadChunk() {
  char chunk[kReadChunkBytes];
  const ssize_t count = recv(this->fd, chunk, sizeof(chunk), 0);
  if (count == 0) {
    this->Close(LinkEnd::kClosedByPeer);
    return false;
  }
  if (count < 0) {
    if (errno == EAGAIN || errno == EINTR) return true;
    this->Close(LinkEnd::kNetworkError);
    return false;
  }
  this->received += static_cast<uint64_t>(count);
  this->input.append(chunk, static_cast<size_t>(count));
  return this->DeliverFrames();
}

bool Link::DeliverFrames() {
  const std::shared_ptr<bool> still_alive = this->alive;
  // Decodes from a local buffer, since a callback may destroy this link and its
  // input buffer.
  std::string bytes = std::move(this->input);
  std::string_view rest = bytes;
  wire::FrameT frame;
  while (true) {
    bool malformed = false;
    const bool complete =
        leaf::try_handle_all([&] { return DecodeFrame(rest, frame); },
                             [&](const FramingError&) {
                               malformed = true;
                               return false;
                             },
                             [&] {
                               malformed = true;
                               return false;
                             });
    if (malformed) {
      this->Close(LinkEnd::kBadFrame);
      return false;
    }
    if (!complete) break;
    this->callbacks.received(frame);
    if (!*still_alive || this->closed) return false;
  }
  this->input.assign(rest);
  return true;
}

void Link::Close(LinkEnd reason) {
  if (this->closed) return;
  this->closed = true;
  this->watch.Stop();
  // The copy keeps the callable alive if the callback destroys this link.
  auto on_closed = this->callbacks.closed;
  on_closed(reason);
}

}  // namespace dotterelcove
