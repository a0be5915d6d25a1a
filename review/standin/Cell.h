/// A small deployment on loopback addresses: the project's daemons as separate
/// processes, and stand-ins for store, runners, operator and clients.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/Http.h"
#include "review/standin/Store.h"
#include "review/standin/Worker.h"

namespace review {

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

/// One attempt of a client to hand a job in, or another call of it.
struct ClientCall {
  int64_t at_ms = 0;
  std::string method;
  std::string job;
  std::string daemon;
  /// 0 without an answer.
  int status = 0;
  std::string body;
};

struct CellOptions {
  int daemons = 9;
  int runners = 8;
  /// The runners' processors, in turn.
  std::vector<int64_t> milli_cores = {16'000};
  uint32_t attempts = 3;
  /// The runners' kinds, in turn.
  std::vector<std::string> kinds = {"a"};
};

struct Daemon {
  std::string name;
  std::string zone;
  std::string ip;
  std::string settings_file;
  std::string log_file;
  pid_t pid = -1;
  /// Times that it has ended by itself, and when it did so last.
  int ends = 0;
  int64_t ended_ms = 0;
};

class Cell {
 public:
  /// `record_file` takes what was sent, answered and run; it is complete also
  /// when the case ends half-way.
  Cell(const std::string& record_file, CellOptions options);
  ~Cell();
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  /// Starts everything and waits until a job has been served. Returns false if
  /// the case cannot run.
  bool Start();
  void Say(const std::string& line);

  /// Hands a job in with up to 4 retries until a 2xx, or until the client's
  /// time limit of 3 s is over; returns whether it was accepted. After a 503
  /// the client waits for as long as Retry-After says, 1 s.
  bool Submit(const std::string& job, const std::string& body);
  /// One GET; an empty text without an answer of 200.
  std::string StateOf(const std::string& job);
  int Cancel(const std::string& job);
  static std::string JobId(uint64_t number);

  /// The daemon that the owner row in the store names, or null.
  Daemon* Owner();
  void StartDaemon(Daemon& daemon);
  static void Signal(const Daemon& daemon, int number);
  /// Notes the daemons that have ended by themselves, and starts each again 1 s
  /// after its end, as the platform does. To be called often.
  void RestartEnded();

  /// Milliseconds since the start of the case.
  int64_t At(int64_t now_ms) const { return now_ms - this->began_ms; }
  /// Writes all calls and runs into the record.
  void WriteRecord();

  std::vector<ClientCall> Calls() const;
  /// The address of the platform's machines, port 8169; the case serves it.
  std::string CloudIp() const { return this->net + "0.79"; }

  std::unique_ptr<Store> store;
  EventLog log;
  std::vector<std::unique_ptr<Runner>> runners;
  std::vector<Daemon> daemons;

 private:
  ClientCall CallDaemon(const std::string& method, const std::string& job,
                        const std::string& body);
  bool ChooseAddresses();
  void WriteSettings(Daemon& daemon);
  bool WaitUntilServing();

  CellOptions options;
  std::string temp;
  /// First two numbers of all addresses, with a dot behind them.
  std::string net;
  std::ofstream record;
  mutable std::mutex mutex;
  std::vector<ClientCall> calls;
  bool record_written = false;
  int64_t began_ms = 0;
  std::atomic<uint64_t> next_daemon{0};
  std::atomic<bool> stopping{false};
  std::thread janitor;
  std::mutex owner_mutex;
  std::string owner;
};

/// Whether TROUBLE is not 0.
bool HasTrouble();

}  // namespace review
