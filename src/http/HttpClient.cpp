#include "http/HttpClient.h"

#include <curl/curl.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cctype>
#include <map>
#include <utility>

#include "base/Clock.h"

namespace dotterelcove {
namespace {

/// The open connections that results have named.
struct ConnectionTags {
  /// By MakeConnectionKey(); 0 for no tag.
  std::map<std::string, uint64_t> tags;
  std::map<curl_socket_t, std::string> keys;
};

/// The local port alone does not identify a connection: connections to
/// different servers may share it.
std::string MakeConnectionKey(const std::string& remote_ip, long remote_port,
                              long local_port) {
  return remote_ip + " " + std::to_string(remote_port) + " " +
         std::to_string(local_port);
}

/// One call in progress.
struct Transfer {
  uint64_t id = 0;
  CURL* easy = nullptr;
  curl_slist* header_list = nullptr;
  HttpCall call;
  HttpCallback callback;
  HttpResult result;
  bool too_large = false;
  /// On the monotonic clock; no request is sent from then on.
  TimeMs deadline_ms = 0;
  /// Times that libcurl has begun to send the request.
  int attempts = 0;
  ConnectionTags* tags = nullptr;
  /// Fires at the limit of silence; null without one.
  std::unique_ptr<Timer> silence;
};

void NoteByte(Transfer& transfer) {
  if (transfer.silence) {
    transfer.silence->StartAfter(transfer.call.max_silence_ms);
  }
}

size_t OnBody(char* data, size_t size, size_t count, void* context) {
  auto* transfer = static_cast<Transfer*>(context);
  const size_t bytes = size * count;
  NoteByte(*transfer);
  if (transfer->result.body.size() + bytes >
      transfer->call.max_response_bytes) {
    transfer->too_large = true;
    return 0;
  }
  transfer->result.body.append(data, bytes);
  return bytes;
}

size_t OnHeader(char* data, size_t size, size_t count, void* context) {
  auto* transfer = static_cast<Transfer*>(context);
  NoteByte(*transfer);
  std::string line(data, size * count);
  const size_t colon = line.find(':');
  if (colon == std::string::npos) return size * count;
  std::string name = line.substr(0, colon);
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  const size_t begin = line.find_first_not_of(" \t", colon + 1);
  const size_t end = line.find_last_not_of(" \t\r\n");
  if (begin != std::string::npos && end >= begin) {
    transfer->result.headers[name] = line.substr(begin, end - begin + 1);
  }
  return size * count;
}

/// Called when a connection is ready, right before the request is written.
/// Rejects a request whose deadline has passed. Without it, after a pause of
/// the process since Send(), libcurl would write an expired request if its
/// connection was established in the meantime. Rejects the second attempt of a
/// call that is not a read, and a connection without the required tag.
int OnBeforeRequest(void* context, char* remote_ip, char*, int remote_port,
                    int local_port) {
  auto* transfer = static_cast<Transfer*>(context);
  transfer->attempts++;
  const HttpCall& call = transfer->call;
  const bool is_read = call.is_read || call.method == "GET";
  if (!is_read && transfer->attempts > 1) return CURL_PREREQFUNC_ABORT;
  if (call.required_tag != 0) {
    const auto found = transfer->tags->tags.find(
        MakeConnectionKey(remote_ip, remote_port, local_port));
    if (found == transfer->tags->tags.end() ||
        found->second != call.required_tag) {
      return CURL_PREREQFUNC_ABORT;
    }
  }
  return MonotonicMs() < transfer->deadline_ms ? CURL_PREREQFUNC_OK
                                               : CURL_PREREQFUNC_ABORT;
}

curl_socket_t RefuseSocket(void*, curlsocktype, curl_sockaddr*) {
  return CURL_SOCKET_BAD;
}

/// The connection ends, and its key may be that of another one later.
int CloseSocket(void* context, curl_socket_t fd) {
  auto* tags = static_cast<ConnectionTags*>(context);
  const auto found = tags->keys.find(fd);
  if (found != tags->keys.end()) {
    tags->tags.erase(found->second);
    tags->keys.erase(found);
  }
  return close(fd);
}

/// Names the connection of an answered call in its result.
void NameConnection(Transfer& transfer) {
  if (!transfer.call.wants_connection) return;
  char* remote_ip = nullptr;
  long remote_port = 0;
  long local_port = 0;
  curl_easy_getinfo(transfer.easy, CURLINFO_PRIMARY_IP, &remote_ip);
  curl_easy_getinfo(transfer.easy, CURLINFO_PRIMARY_PORT, &remote_port);
  curl_easy_getinfo(transfer.easy, CURLINFO_LOCAL_PORT, &local_port);
  if (remote_ip == nullptr) return;
  const std::string key = MakeConnectionKey(remote_ip, remote_port, local_port);
  ConnectionTags& known = *transfer.tags;
  if (!known.tags.contains(key)) {
    // Searches all open connections, so only the first answer asks for it.
    curl_socket_t fd = CURL_SOCKET_BAD;
    curl_easy_getinfo(transfer.easy, CURLINFO_ACTIVESOCKET, &fd);
    if (fd == CURL_SOCKET_BAD) return;
    known.tags[key] = 0;
    known.keys[fd] = key;
  }
  transfer.result.connection = key;
}

HttpFailure ClassifyFailure(const Transfer& transfer, CURLcode code) {
  if (code == CURLE_OK) return HttpFailure::kNone;
  if (transfer.too_large) return HttpFailure::kTooLarge;
  long sent_bytes = 0;
  curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  if (sent_bytes == 0) return HttpFailure::kNotSent;
  if (code == CURLE_OPERATION_TIMEDOUT) return HttpFailure::kTimedOut;
  return HttpFailure::kBroken;
}

}  // namespace

struct HttpClient::State {
  State(EventLoop& loop, int max_connections_per_host)
      : loop(loop),
        multi(curl_multi_init()),
        timer(loop, [this] { this->OnTimeout(); }) {
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, OnSocket);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, OnTimer);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    // libcurl's default cache size scales with the number of calls in progress,
    // so it closes idle connections that are needed again shortly after. Beyond
    // the size of the cache it searches all of it for each call that ends.
    constexpr long kConnectionCacheSize = 3'000;
    curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kConnectionCacheSize);
    if (max_connections_per_host > 0) {
      curl_multi_setopt(this->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                        static_cast<long>(max_connections_per_host));
    }
  }

  static int OnSocket(CURL*, curl_socket_t fd, int what, void* self, void*) {
    auto* state = static_cast<State*>(self);
    if (what == CURL_POLL_REMOVE) {
      // Safe from inside the watch's own callback; see IoWatch::OnReady().
      state->watches.erase(fd);
      return 0;
    }
    auto& watch = state->watches[fd];
    if (watch == nullptr) {
      watch = std::make_unique<IoWatch>(
          state->loop, [state, fd](int events) { state->OnReady(fd, events); });
    }
    int events = 0;
    if (what & CURL_POLL_IN) events |= EV_READ;
    if (what & CURL_POLL_OUT) events |= EV_WRITE;
    watch->Start(fd, events);
    return 0;
  }

  static int OnTimer(CURLM*, long timeout_ms, void* self) {
    auto* state = static_cast<State*>(self);
    if (timeout_ms < 0) {
      state->timer.Cancel();
      return 0;
    }
    state->timer.StartAfter(timeout_ms);
    return 0;
  }

  void OnReady(curl_socket_t fd, int events) {
    int mask = 0;
    if (events & EV_READ) mask |= CURL_CSELECT_IN;
    if (events & EV_WRITE) mask |= CURL_CSELECT_OUT;
    int running = 0;
    curl_multi_socket_action(this->multi, fd, mask, &running);
    this->CollectFinished();
  }

  void OnTimeout() {
    int running = 0;
    curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    this->CollectFinished();
  }

  void CollectFinished() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      char* context = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &context);
      auto* transfer = reinterpret_cast<Transfer*>(context);
      const CURLcode code = message->data.result;
      transfer->result.failure = ClassifyFailure(*transfer, code);
      if (code != CURLE_OK) {
        transfer->result.detail = curl_easy_strerror(code);
      }
      long status = 0;
      curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
      transfer->result.status = static_cast<int>(status);
      curl_off_t first_byte_us = 0;
      curl_easy_getinfo(transfer->easy, CURLINFO_STARTTRANSFER_TIME_T,
                        &first_byte_us);
      constexpr curl_off_t kUsPerMs = 1'000;
      transfer->result.first_byte_ms = first_byte_us / kUsPerMs;
      if (code == CURLE_OK) NameConnection(*transfer);
      this->Finish(transfer->id);
    }
  }

  void OnSilence(uint64_t id) {
    const auto found = this->transfers.find(id);
    if (found == this->transfers.end()) return;
    HttpResult& result = found->second->result;
    result = HttpResult{};
    result.failure = ClassifyFailure(*found->second, CURLE_OPERATION_TIMEDOUT);
    result.detail = "the answer stalled";
    this->Finish(id);
  }

  CURL* AcquireHandle() {
    if (this->idle_handles.empty()) return curl_easy_init();
    CURL* easy = this->idle_handles.back();
    this->idle_handles.pop_back();
    return easy;
  }

  void Release(Transfer& transfer) {
    curl_multi_remove_handle(this->multi, transfer.easy);
    constexpr size_t kMaxIdleHandles = 64;
    if (this->idle_handles.size() < kMaxIdleHandles) {
      curl_easy_reset(transfer.easy);
      this->idle_handles.push_back(transfer.easy);
    } else {
      curl_easy_cleanup(transfer.easy);
    }
    curl_slist_free_all(transfer.header_list);
  }

  void Finish(uint64_t id) {
    const auto found = this->transfers.find(id);
    if (found == this->transfers.end()) return;
    const std::unique_ptr<Transfer> transfer = std::move(found->second);
    this->transfers.erase(found);
    this->Release(*transfer);
    transfer->callback(std::move(transfer->result));
  }

  EventLoop& loop;
  ConnectionTags tags;
  CURLM* multi;
  Timer timer;
  std::map<curl_socket_t, std::unique_ptr<IoWatch>> watches;
  std::map<uint64_t, std::unique_ptr<Transfer>> transfers;
  /// Handles kept for the next calls, with the options of a new handle.
  std::vector<CURL*> idle_handles;
  uint64_t next_id = 1;
};

HttpClient::HttpClient(EventLoop& loop, int max_connections_per_host)
    : state(std::make_unique<State>(loop, max_connections_per_host)) {}

HttpClient::~HttpClient() {
  for (auto& [id, transfer] : this->state->transfers) {
    this->state->Release(*transfer);
  }
  this->state->transfers.clear();
  for (CURL* easy : this->state->idle_handles) curl_easy_cleanup(easy);
  curl_multi_cleanup(this->state->multi);
}

uint64_t HttpClient::Send(HttpCall call, HttpCallback callback) {
  auto transfer = std::make_unique<Transfer>();
  transfer->id = this->state->next_id++;
  transfer->call = std::move(call);
  transfer->callback = std::move(callback);
  transfer->deadline_ms = MonotonicMs() + transfer->call.timeout_ms;
  transfer->easy = this->state->AcquireHandle();
  CURL* easy = transfer->easy;
  const HttpCall& sent = transfer->call;
  for (const auto& [name, value] : sent.headers) {
    transfer->header_list =
        curl_slist_append(transfer->header_list, (name + ": " + value).c_str());
  }
  // Disables "Expect: 100-continue", which costs a round trip for larger
  // bodies.
  transfer->header_list = curl_slist_append(transfer->header_list, "Expect:");
  curl_easy_setopt(easy, CURLOPT_URL, sent.url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, sent.method.c_str());
  if (sent.method != "GET" || !sent.body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, sent.method.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(sent.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, sent.body.data());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->header_list);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnBeforeRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(sent.timeout_ms));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(sent.connect_timeout_ms));
  transfer->tags = &this->state->tags;
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, CloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, transfer->tags);
  if (sent.required_tag != 0) {
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, RefuseSocket);
  }
  if (sent.fresh_connection) curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  const uint64_t id = transfer->id;
  if (sent.max_silence_ms > 0) {
    transfer->silence = std::make_unique<Timer>(
        this->state->loop,
        [state = this->state.get(), id] { state->OnSilence(id); });
    transfer->silence->StartAfter(sent.max_silence_ms);
  }
  this->state->transfers[id] = std::move(transfer);
  curl_multi_add_handle(this->state->multi, easy);
  return id;
}

void HttpClient::Cancel(uint64_t id) {
  const auto found = this->state->transfers.find(id);
  if (found == this->state->transfers.end()) return;
  found->second->result = HttpResult{};
  found->second->result.failure = HttpFailure::kCancelled;
  this->state->Finish(id);
}

uint64_t HttpClient::Tag(const std::string& connection, uint64_t tag) {
  const auto found = this->state->tags.tags.find(connection);
  if (found == this->state->tags.tags.end()) return 0;
  return std::exchange(found->second, tag);
}

size_t HttpClient::in_progress() const { return this->state->transfers.size(); }

}  // namespace dotterelcove
