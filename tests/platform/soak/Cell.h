/// A small deployment on loopback addresses: the project's daemons as separate
/// processes, and stand-ins for store, workers, operator and clients.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/soak/CellAccounts.h"
#include "tests/platform/soak/CellPaths.h"
#include "tests/platform/soak/CellWorker.h"
#include "tests/platform/soak/Observations.h"
#include "tests/platform/soak/Plant.h"
#include "tests/platform/soak/RawHttp.h"
#include "tests/platform/soak/StoreStandin.h"
#include "tests/platform/soak/VmService.h"

namespace dotterelcove::soak {

/// Where the daemons serve clients, and the name that these call.
inline constexpr uint16_t kFrontPort = 8161;
inline constexpr const char* kHost = "nony24.example";

/// The service of all workers and routes.
inline constexpr const char* kService = "huvo11a";
/// No daemon serves a key for longer after it was taken away, in cells with
/// accounts.
inline constexpr int64_t kRevokeMs = 5'000;

/// The queues that all manifests have, each with its priority: short jobs,
/// those that last, and all others.
struct QueueOptions {
  const char* name;
  int priority;
};
inline constexpr QueueOptions kQueues[] = {
    {"short", 0}, {"lasting", 1}, {"batch", 2}};

/// Size and bounds of a deployment.
struct CellShape {
  std::string name;
  std::vector<std::string> zones;
  int daemons = 9;
  int workers = 48;
  int64_t milli_cores = 16'000;
  int64_t memory_mb = 32'768;
  int workers_per_rack = 8;
  int64_t max_hold_ms = 6'000;
};

/// The shape with this name: "stepcare" or "yard". Returns false for another.
bool FindShape(const std::string& name, CellShape& shape);

struct CellOptions;

/// Adds client accounts to a manifest and notes them in the change. Kept out of
/// Cell, so that a program without accounts needs no more than the cell itself.
using AccountWriter = void (*)(const CellOptions& options,
                               const AccountSettings& settings,
                               nlohmann::json& manifest,
                               ManifestChange& change);

/// The accounts of `MakeAccounts()`.
void AddAccounts(const CellOptions& options, const AccountSettings& settings,
                 nlohmann::json& manifest, ManifestChange& change);

struct CellOptions {
  CellShape shape;
  uint64_t seed = 1;
  /// Path of the daemon's program.
  std::string daemon_program;
  /// Takes settings, logs and the record; made if it does not exist.
  std::string folder;
  /// Runs of a task that may end `failed`.
  uint32_t attempts = 3;
  Plant plant = Plant::kNone;
  /// Late orders may reach the next life of a worker.
  bool late_to_next_life = false;
  /// Whether clients need a key and have quotas.
  bool has_accounts = false;
  /// Writes them into each manifest; null for a cell without accounts.
  AccountWriter add_accounts = nullptr;
  /// What the clients hand in, for the quotas.
  double jobs_per_second = 10;
};

struct Daemon {
  std::string name;
  std::string zone;
  std::string ip;
  /// Its name and its address at the store.
  std::string caller;
  std::string store_ip;
  std::string settings_file;
  std::string log_file;
  /// -1 while it does not run.
  pid_t pid = -1;
  /// When it is started again after it has ended by itself.
  int64_t restart_ms = 0;
  /// Times that it has ended by itself.
  int ends = 0;
};

/// The daemons as separate processes, and stand-ins for the rest.
class Cell {
 public:
  explicit Cell(CellOptions options);
  ~Cell();
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  /// Starts everything and waits until all daemons are ready. Returns false if
  /// that fails.
  bool Start();
  /// Writes a line with the time into the record and to standard output.
  void Say(const std::string& line);

  void NoteJob(const JobSpec& job);
  void NoteCall(const ClientCall& call);

  /// Index of the daemon that the owner row in the store names, -1 for none.
  int Owner();
  /// How many workers are of the kind; of any if it is empty.
  size_t CountWorkers(const std::string& kind) const;
  void StartDaemon(Daemon& daemon);
  /// Ends it by a signal and waits for it.
  static void KillDaemon(Daemon& daemon, int signal);
  static void Signal(const Daemon& daemon, int signal);
  /// Notes the end of a daemon that no signal has ended, and when it is to be
  /// started again. Not to be called while another thread waits for it.
  void NoteEnded(Daemon& daemon);
  /// The same with the status that waitpid() gave.
  void NoteEnd(Daemon& daemon, int status);
  /// Writes the next manifest; `extra_queues` are added to `kQueues`.
  void WriteManifest(const std::vector<std::string>& extra_queues);
  /// Takes keys away, by their numbers, or restores them.
  void RevokeKeys(const std::vector<size_t>& keys);
  void RestoreKeys(const std::vector<size_t>& keys);
  void SetCapPercent(size_t account, int64_t percent);
  /// The queues of the newest few manifests beside `kQueues`.
  std::vector<std::string> ChangedQueues() const;
  /// Notes a disruption for the judge; the end may be changed later.
  void NoteDisruption(Disruption disruption);

  /// Milliseconds since the start of the soak.
  int64_t At(int64_t now_ms) const { return now_ms - this->began_ms; }
  Observations Collect() const;
  /// Writes all calls and runs into the record.
  void WriteRecord();
  const CellOptions& about() const { return this->options; }

  std::unique_ptr<StoreStandin> store;
  GangBoard gangs;
  OrderFault order_fault;
  EventLog log;
  std::vector<std::unique_ptr<CellWorker>> workers;
  std::vector<Daemon> daemons;
  std::unique_ptr<CellPaths> paths;
  std::unique_ptr<VmService> vms;
  /// The account that sends many times its usual load, -1 for none.
  std::atomic<int> flooding_account{-1};

 private:
  bool Fail(const std::string& problem);
  void ChangeKeys(const std::vector<size_t>& keys, int revocations);
  /// Writes the next manifest; `manifest_mutex` is to be held.
  void WriteNextManifest();
  bool ChooseAddresses();
  bool StartWorkers();
  bool StartPaths();
  void WriteSettings(const Daemon& daemon);
  bool WaitUntilReady();

  CellOptions options;
  /// First two numbers of all addresses, with a dot behind them.
  std::string net;
  std::ofstream record;
  mutable std::mutex mutex;
  Observations seen;
  bool record_written = false;
  int64_t began_ms = 0;
  std::mutex manifest_mutex;
  uint64_t manifest_version = 0;
  std::vector<std::string> extra_queues;
  AccountSettings account_settings;
  std::atomic<bool> stopping{false};
  std::thread janitor;
  std::mutex owner_mutex;
  std::string owner;
};

}  // namespace dotterelcove::soak
