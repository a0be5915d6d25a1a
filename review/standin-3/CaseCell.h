/// A small deployment on loopback addresses for one case: the daemons as
/// separate processes, the stand-ins of the soak for store and workers, and the
/// operator.
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

#include "tests/platform/soak/CellWorker.h"
#include "tests/platform/soak/GangBoard.h"
#include "tests/platform/soak/Observations.h"
#include "tests/platform/soak/RawHttp.h"
#include "tests/platform/soak/StoreStandin.h"

namespace dotterelcove::review {

/// The name that clients call.
inline constexpr const char* kHost = "nony24.example";

/// The workers of one service.
struct ServiceShape {
  std::string name;
  int workers = 4;
  int64_t milli_cores = 16'000;
  int64_t memory_mb = 32'768;
  /// 0 for a single rack.
  int workers_per_rack = 0;
};

/// A queue as the manifest sends it to a service.
struct QueueRoute {
  std::string queue;
  std::string service;
  int priority = 1;
};

/// A client account with one key, its name with "key-" before it.
struct Tenant {
  std::string name;
  int64_t cap_milli_cores = 0;
};

struct CaseOptions {
  /// Folder of the case, which takes record.txt.
  std::string folder;
  int daemons = 3;
  std::vector<ServiceShape> services;
};

/// One daemon's process.
struct DaemonProcess {
  std::string name;
  std::string ip;
  std::string settings_file;
  std::string log_file;
  /// -1 while it does not run.
  pid_t pid = -1;
  int64_t restart_ms = 0;
  /// Times that it was killed for its memory, and that it ended by itself.
  int memory_kills = 0;
  int ends = 0;
};

class CaseCell {
 public:
  explicit CaseCell(CaseOptions options);
  ~CaseCell();
  CaseCell(const CaseCell&) = delete;
  CaseCell& operator=(const CaseCell&) = delete;

  /// Starts everything with this manifest and waits until all daemons are
  /// ready. Returns false if that fails.
  bool Start(const std::vector<QueueRoute>& routes,
             const std::vector<Tenant>& tenants);
  /// Writes the next manifest, which the store confirms at once.
  void WriteManifest(const std::vector<QueueRoute>& routes,
                     const std::vector<Tenant>& tenants);
  /// Writes a line with the time into the record and to standard output.
  void Say(const std::string& line);
  /// Calls a daemon on a new connection and records the call.
  soak::Response Call(size_t daemon, const std::string& method,
                      const std::string& path, const std::string& body,
                      const std::string& key, int64_t timeout_ms);
  /// Submits a job, with retries at the other daemons until `until_ms`; returns
  /// whether it was accepted.
  bool Submit(const std::string& path, const std::string& body,
              const std::string& key, int64_t until_ms);
  /// Asks for a job's state until a daemon answers 200 or 410; empty without
  /// such an answer, "gone" for 410.
  std::string StateOf(const std::string& path, const std::string& key,
                      int64_t until_ms);
  /// Index of the daemon that the owner row names, -1 for none.
  int Owner();
  void Signal(size_t daemon, int signal);
  std::vector<soak::CellWorker*> WorkersOf(const std::string& service);
  /// Tasks at work at the moment, of those whose name begins with `prefix`.
  size_t CountRunning(const std::string& prefix) const;
  /// Waits until at least so many are at work.
  bool AwaitRunning(const std::string& prefix, size_t count, int64_t limit_ms);
  /// Milliseconds since the start of the case.
  int64_t At(int64_t now_ms) const { return now_ms - this->began_ms; }

  std::vector<DaemonProcess> daemons;
  soak::EventLog log;

 private:
  bool ChooseAddresses();
  bool StartWorkers();
  void WriteSettings(const DaemonProcess& daemon);
  void StartDaemon(DaemonProcess& daemon);
  /// Ends daemons that exceed their memory and restarts those that have ended,
  /// as the platform does.
  void Supervise();
  bool WaitUntilReady();
  void WriteRuns();

  CaseOptions options;
  /// Of settings and logs.
  std::string scratch;
  std::string net;
  std::ofstream record;
  std::mutex record_mutex;
  int64_t began_ms = 0;
  uint64_t manifest_version = 0;
  std::unique_ptr<soak::StoreStandin> store;
  soak::GangBoard gangs;
  soak::OrderFault order_fault;
  std::vector<std::unique_ptr<soak::CellWorker>> workers;
  std::mutex daemons_mutex;
  std::atomic<bool> stopping{false};
  std::thread supervisor;
  std::mutex owner_mutex;
  std::string owner;
};

/// Whether the environment asks for the case without its disruption.
bool IsTroubleOff();
/// Name of a job: 16 hexadecimal digits.
std::string JobName(uint64_t number);

}  // namespace dotterelcove::review
