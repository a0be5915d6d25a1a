#include "standins/LinkStandin.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <list>
#include <vector>

namespace dotterelcove {
namespace {

constexpr size_t kChunkBytes = 64 << 10;
/// Bytes buffered for a slow reader; above it the relay stops reading from the
/// sender.
constexpr size_t kMaxPendingBytes = 1 << 20;

sockaddr_in MakeAddress(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int OpenSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

bool Blocks(LinkCut cut, bool forward) {
  return cut == LinkCut::kBoth ||
         cut == (forward ? LinkCut::kForward : LinkCut::kBackward);
}

/// One direction of a relayed connection.
struct Pipe {
  int from = -1;
  int to = -1;
  bool forward = true;
  bool finished = false;
  std::string pending;
};

/// Relays bytes until a socket would block; returns false when the connection
/// is broken or has ended.
bool Move(Pipe& pipe) {
  char chunk[kChunkBytes];
  while (!pipe.finished && pipe.pending.size() < kMaxPendingBytes) {
    const ssize_t count = recv(pipe.from, chunk, sizeof(chunk), 0);
    if (count > 0) {
      pipe.pending.append(chunk, static_cast<size_t>(count));
      continue;
    }
    if (count == 0) {
      pipe.finished = true;
      break;
    }
    if (errno == EAGAIN || errno == ENOTCONN) break;
    return false;
  }
  size_t written = 0;
  while (written < pipe.pending.size()) {
    const ssize_t count = send(pipe.to, pipe.pending.data() + written,
                               pipe.pending.size() - written, MSG_NOSIGNAL);
    if (count > 0) {
      written += static_cast<size_t>(count);
      continue;
    }
    if (errno == EAGAIN || errno == ENOTCONN) break;
    return false;
  }
  pipe.pending.erase(0, written);
  return !(pipe.finished && pipe.pending.empty());
}

}  // namespace

/// One link with its listener and its relayed connections.
struct LinkStandin::Relay {
  struct Session {
    Session(EventLoop& loop, const std::function<void()>& ready)
        : client_watch(loop, [ready](int) { ready(); }),
          server_watch(loop, [ready](int) { ready(); }) {}
    ~Session() {
      this->client_watch.Stop();
      this->server_watch.Stop();
      close(this->forward.from);
      close(this->forward.to);
    }
    Pipe forward;
    Pipe backward;
    IoWatch client_watch;
    IoWatch server_watch;
  };

  Relay(EventLoop& loop, LinkSpec spec)
      : loop(loop),
        spec(std::move(spec)),
        accept_watch(loop, [this](int) { this->OnAccept(); }),
        reaper(loop, [this] { this->dead.clear(); }) {}
  ~Relay() {
    this->accept_watch.Stop();
    if (this->listener >= 0) close(this->listener);
  }

  bool Listen() {
    this->listener = OpenSocket();
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address =
        MakeAddress("127.0.0.1", this->spec.listen_port);
    if (bind(this->listener, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(this->listener, 256) != 0) {
      return false;
    }
    this->accept_watch.Start(this->listener, EV_READ);
    return true;
  }

  void OnAccept() {
    const int client =
        accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) return;
    const int on = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const size_t colon = this->spec.target.rfind(':');
    const sockaddr_in address =
        MakeAddress(this->spec.target.substr(0, colon),
                    static_cast<uint16_t>(
                        std::atoi(this->spec.target.c_str() + colon + 1)));
    const int server = OpenSocket();
    // A refused connection is found when the session first relays bytes.
    static_cast<void>(connect(
        server, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    this->sessions.emplace_back();
    const auto position = std::prev(this->sessions.end());
    *position = std::make_unique<Session>(
        this->loop, [this, position] { this->Pump(position); });
    Session& session = **position;
    session.forward.from = session.backward.to = client;
    session.forward.to = session.backward.from = server;
    session.backward.forward = false;
    this->Watch(session);
  }

  void Watch(Session& session) {
    this->WatchOne(session.client_watch, session.forward, session.backward);
    this->WatchOne(session.server_watch, session.backward, session.forward);
  }

  /// Watches the socket that `out` reads from and `in` writes to.
  void WatchOne(IoWatch& watch, const Pipe& out, const Pipe& in) {
    int events = 0;
    const bool out_open = !out.finished &&
                          out.pending.size() < kMaxPendingBytes &&
                          !Blocks(this->cut, out.forward);
    if (out_open) events |= EV_READ;
    if (!in.pending.empty() && !Blocks(this->cut, in.forward)) {
      events |= EV_WRITE;
    }
    if (events == 0) {
      watch.Stop();
      return;
    }
    watch.Start(out.from, events);
  }

  void Pump(std::list<std::unique_ptr<Session>>::iterator position) {
    Session& session = **position;
    for (Pipe* pipe : {&session.forward, &session.backward}) {
      if (Blocks(this->cut, pipe->forward)) continue;
      if (Move(*pipe)) continue;
      session.client_watch.Stop();
      session.server_watch.Stop();
      // Destroyed later, since one of its watches runs this callback.
      this->dead.push_back(std::move(*position));
      this->sessions.erase(position);
      this->reaper.StartAfter(0);
      return;
    }
    this->Watch(session);
  }

  void SetCut(LinkCut value) {
    this->cut = value;
    for (auto position = this->sessions.begin();
         position != this->sessions.end();) {
      this->Pump(position++);
    }
  }

  EventLoop& loop;
  LinkSpec spec;
  int listener = -1;
  LinkCut cut = LinkCut::kNone;
  std::list<std::unique_ptr<Session>> sessions;
  std::vector<std::unique_ptr<Session>> dead;
  IoWatch accept_watch;
  Timer reaper;
};

struct LinkStandin::State {
  EventLoop& loop;
  std::vector<std::unique_ptr<Relay>> relays;
};

LinkStandin::LinkStandin(EventLoop& loop)
    : state(std::make_unique<State>(State{loop, {}})) {}

LinkStandin::~LinkStandin() = default;

Result<void> LinkStandin::Add(const LinkSpec& spec) {
  auto relay = std::make_unique<Relay>(this->state->loop, spec);
  if (!relay->Listen()) {
    return leaf::new_error(LinkListenError{spec.name, spec.listen_port});
  }
  this->state->relays.push_back(std::move(relay));
  return {};
}

int LinkStandin::SetCut(const std::string& pattern, LinkCut cut) {
  const bool prefix = !pattern.empty() && pattern.back() == '*';
  const std::string text =
      prefix ? pattern.substr(0, pattern.size() - 1) : pattern;
  int matched = 0;
  for (auto& relay : this->state->relays) {
    const std::string& name = relay->spec.name;
    if (prefix ? name.rfind(text, 0) != 0 : name != text) continue;
    relay->SetCut(cut);
    matched++;
  }
  return matched;
}

}  // namespace dotterelcove
