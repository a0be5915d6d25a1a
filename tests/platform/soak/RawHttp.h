/// Minimal blocking HTTP/1.1 server and client for the stand-ins of the soak.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dotterelcove::soak {

/// Milliseconds of the steady clock.
int64_t NowMs();
/// Unix milliseconds.
int64_t WallNowMs();
void SleepMs(int64_t ms);
/// Sleeps, and returns false as soon as `ended` is set.
bool SleepUnless(int64_t ms, const std::atomic<bool>& ended);
/// Longer than any caller waits for an answer.
inline constexpr int64_t kNoAnswerMs = 8'000;

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /// By lower-case name.
  std::map<std::string, std::string> headers;
  std::string body;
  /// Who calls, if the server tells its callers apart.
  std::string caller;
};

struct Reply {
  int status = 200;
  std::string body = "{}";
  /// Resets the channel instead of answering.
  bool reset = false;
};

using Handler = std::function<Reply(const Request&)>;

struct ServerState;

/// Serves each channel in a thread of its own.
class Server {
 public:
  Server(std::string ip, uint16_t port, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  /// Returns false if the address cannot be used.
  bool Start();
  /// Closes the listening socket and resets all open channels.
  void Stop();
  /// Resets all open channels and goes on listening.
  void ResetChannels();

 private:
  std::shared_ptr<ServerState> state;
};

struct Response {
  /// 0 if there was no answer.
  int status = 0;
  /// By lower-case name.
  std::map<std::string, std::string> headers;
  std::string body;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// A connection of a client, kept open from call to call.
class Connection {
 public:
  Connection(std::string ip, uint16_t port) : ip(std::move(ip)), port(port) {}
  ~Connection() { this->Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Opens the connection if it is not open, or if the server has closed it
  /// since the last answer. Closes it if there is no whole answer.
  Response Call(const std::string& method, const std::string& path,
                const Headers& headers, const std::string& body,
                int64_t timeout_ms);

 private:
  bool Open();
  void Close();
  bool Receive(Response& response);

  std::string ip;
  uint16_t port;
  int fd = -1;
};

}  // namespace dotterelcove::soak
