// Following the operator's configuration when it is large and the link slow.
#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <utility>

#include "base/Clock.h"
#include "platform/StoreAdapter.h"
#include "telemetry/Log.h"
#include "tests/RawSocket.h"

namespace dotterelcove::platform {
namespace {

/// A server that answers each request with 200 and `pieces` pieces of a body,
/// one every `interval_ms`.
struct SlowLinkServer {
  explicit SlowLinkServer(EventLoop& loop)
      : listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)),
        accept_watch(loop, [this](int) { this->Accept(); }),
        read_watch(loop, [this](int) { this->OnRequest(); }),
        timer(loop, [this] { this->SendPiece(); }) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(this->listener, reinterpret_cast<sockaddr*>(&address),
         sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ntohs(address.sin_port);
    listen(this->listener, 16);
    this->accept_watch.Start(this->listener, EV_READ);
  }
  ~SlowLinkServer() {
    this->accept_watch.Stop();
    this->read_watch.Stop();
    close(this->listener);
    if (this->fd >= 0) close(this->fd);
  }

  void Accept() {
    this->fd = accept(this->listener, nullptr, nullptr);
    this->read_watch.Start(this->fd, EV_READ);
  }
  void OnRequest() {
    char chunk[4'096];
    if (recv(this->fd, chunk, sizeof(chunk), 0) <= 0) {
      this->read_watch.Stop();
      this->timer.Cancel();
      return;
    }
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(this->body.size()) + "\r\n\r\n";
    send(this->fd, head.data(), head.size(), MSG_NOSIGNAL);
    this->sent = 0;
    this->timer.StartEvery(this->interval_ms);
  }
  void SendPiece() {
    const size_t piece = this->body.size() / this->pieces + 1;
    const std::string part = this->body.substr(this->sent, piece);
    send(this->fd, part.data(), part.size(), MSG_NOSIGNAL);
    this->sent += part.size();
    const bool stalls =
        this->stalls_after > 0 && this->sent >= this->stalls_after * piece;
    if (stalls || this->sent >= this->body.size()) this->timer.Cancel();
  }

  int listener;
  int fd = -1;
  uint16_t port = 0;
  std::string body;
  size_t pieces = 20;
  /// Pieces after which nothing more is sent, 0 for none.
  size_t stalls_after = 0;
  TimeMs interval_ms = 100;
  size_t sent = 0;
  IoWatch accept_watch;
  IoWatch read_watch;
  Timer timer;
};

struct ReadResult {
  StoreAnswer answer;
  TimeMs took_ms = 0;
};

/// Reads the operator's table from the server.
ReadResult ReadOnce(EventLoop& loop, SlowLinkServer& server) {
  SetLogOutput([](const std::string&) {});
  HttpClient http(loop);
  const auto store = std::make_shared<StoreAdapter>(StoreAdapter{
      http,
      [&server] { return "127.0.0.1:" + std::to_string(server.port); },
      MonotonicMs,
      nullptr,
      {}});
  ReadResult result;
  bool done = false;
  const TimeMs began_ms = MonotonicMs();
  ReadTable(MakeRowStore(store), kOperatorTable, [&](StoreAnswer answer) {
    result.answer = std::move(answer);
    result.took_ms = MonotonicMs() - began_ms;
    done = true;
  });
  cr_assert(loop.RunUntil([&] { return done; }, 8'000));
  return result;
}

}  // namespace

// Guards against a large manifest that is never read over a slow link, because
// the time limit was for its whole transfer.
Test(ManifestFollower, read_that_keeps_arriving_is_not_cut_off) {
  EventLoop loop;
  SlowLinkServer server(loop);
  server.body = R"({"rows": [], "row_version": 7})" + std::string(40'000, ' ');
  const ReadResult read = ReadOnce(loop, server);
  cr_expect(read.answer.status == StoreStatus::kOk);
  cr_expect_geq(read.took_ms, 1'500);
  cr_expect_eq(read.answer.version, 7U);
}

// Guards against a read that waits for a stalled connection until the limit of
// the whole transfer.
Test(ManifestFollower, read_that_stalls_ends_soon) {
  EventLoop loop;
  SlowLinkServer server(loop);
  server.body = std::string(40'000, ' ');
  server.stalls_after = 3;
  const ReadResult read = ReadOnce(loop, server);
  cr_expect(read.answer.status == StoreStatus::kUnknown);
  cr_expect_leq(read.took_ms, 1'500);
}

}  // namespace dotterelcove::platform
