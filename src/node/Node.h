/// One daemon of a cell: takes jobs from callers, stores them, answers for
/// them, and is the owner that runs them whenever it holds the owner row.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/HybridClock.h"
#include "base/Runtime.h"
#include "loop/EventLoop.h"
#include "node/JobStore.h"
#include "node/PeerCalls.h"
#include "peer/PeerNode.h"
#include "store/Leadership.h"
#include "telemetry/Metrics.h"
#include "workflow/Controller.h"

namespace dotterelcove {

/// How long an owner tries to store a job for another daemon.
inline constexpr TimeMs kOwnerInsertTimeoutMs = 1'000;

struct NodeOptions {
  std::string process;
  std::string zone;
  /// Where this daemon listens for its peers.
  std::string peer_address;
  uint16_t peer_port = 0;
  /// Processors that this process may use; small VMs compete later for
  /// ownership.
  double cores = 1;
  workflow::ControllerOptions controller;
  /// How often the owner reads the platform's list of workers.
  TimeMs list_interval_ms = 500;
};

/// What the platform offers to the daemon.
struct NodePorts {
  RowStore store;
  workflow::WorkerPort workers;
  workflow::PermitPort permits;
  workflow::VmPort vms;
  /// For how long the store has not answered this daemon, 0 while it does.
  std::function<TimeMs()> store_unresponsive_ms;
  /// Reads the platform's list of workers; nothing when it cannot be read.
  std::function<void(
      std::function<void(std::optional<std::vector<workflow::WorkerInfo>>)>)>
      list_workers;
};

/// What a caller is told of a job.
struct JobStatus {
  bool answered = false;
  bool found = false;
  workflow::JobPhase phase = workflow::JobPhase::kQueued;
  /// Where the answer comes from, for the log.
  const char* source = "";
};

class Node {
 public:
  Node(EventLoop& loop, Runtime runtime, NodeOptions options, NodePorts ports,
       Metrics& metrics);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  Result<void> Start();

  /// Accepts a job; `timeout_ms` is how long the caller waits.
  void Submit(const workflow::JobSpec& spec, TimeMs timeout_ms,
              std::function<void(JobAnswer)> done);
  void Cancel(const std::string& id, TimeMs timeout_ms,
              std::function<void(JobAnswer)> done);
  void Query(const std::string& id, const std::function<void(JobStatus)>& done);
  /// Jobs of a queue of which no task has begun, as the owner last told;
  /// nothing when no owner has been heard yet.
  std::optional<uint32_t> PendingJobs(const std::string& queue) const;

  void UpdatePolicies(std::map<std::string, workflow::QueuePolicy> policies,
                      uint64_t config_version);
  void UpdateWaves(std::vector<workflow::MaintenanceWave> waves);
  /// Called when a peer has a newer configuration than this daemon.
  std::function<void(uint64_t version)> config_behind;

  bool is_owner() const { return this->controller != nullptr; }
  /// Hands ownership on; the caller side goes on until the process ends.
  void Stop(std::function<void()> done);

 private:
  void OnAcquired(const std::shared_ptr<OwnerCommitter>& log);
  void OnLost();
  void OnOwnerChanged(const OwnerRow& row);
  void PollWorkers();
  void CheckIsolation();
  void AnswerPermitAsk(LinkId link, const wire::PermitAskT& ask);
  workflow::PermitPort MakePeerPermitPort(LinkId link);
  void OnPeerConnected(const PeerInfo& info);
  void OnPeerLost(const PeerInfo& info, LinkEnd reason);
  void OnMessage(const PeerInfo& info, wire::FrameT& frame);
  void OnHeartbeat(const PeerInfo& info, const wire::HeartbeatT& heartbeat);
  wire::HeartbeatT MakeHeartbeat() const;
  void NotifyOwner(const StoreRow& row);
  bool OwnerReachesStore() const;
  void InsertThroughOwner(const std::string& key, const std::string& value,
                          std::function<void(JobAnswer)> done);

  EventLoop& loop;
  Runtime runtime;
  NodeOptions options;
  NodePorts ports;
  Metrics& metrics;
  uint64_t incarnation;
  HybridClock clock;
  std::unique_ptr<PeerNode> peers;
  std::shared_ptr<Leadership> leadership;
  workflow::ControllerPtr controller;
  std::map<std::string, workflow::QueuePolicy> policies;
  std::vector<workflow::MaintenanceWave> waves;
  uint64_t config_version = 0;
  /// The connection to the present owner, 0 for none.
  LinkId owner_link = 0;
  PeerCalls calls;
  std::map<std::string, uint32_t> pending_jobs;
  bool pending_jobs_known = false;
  /// Age of the store's last answer to the owner, as it last reported.
  TimeMs owner_store_age_ms = 0;
  TimeMs last_peer_message_ms = 0;
  bool had_peers = false;
  bool stopping = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace dotterelcove
