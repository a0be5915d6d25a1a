/// One daemon of a cell: accepts jobs from callers, stores them and answers
/// queries about them. While it holds the owner row, it also runs the
/// controller that schedules them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "accounts/Accounts.h"
#include "base/HybridClock.h"
#include "base/Runtime.h"
#include "fairness/ShareLedger.h"
#include "loop/EventLoop.h"
#include "node/Isolation.h"
#include "node/JobStore.h"
#include "node/PeerCalls.h"
#include "node/WorkerRelay.h"
#include "peer/PeerNode.h"
#include "store/Leadership.h"
#include "telemetry/Metrics.h"
#include "workflow/Controller.h"

namespace dotterelcove {

/// How long the owner tries to store a job on behalf of another daemon.
inline constexpr TimeMs kOwnerInsertTimeoutMs = 1'000;

struct NodeOptions {
  std::string process;
  std::string zone;
  /// IP address and port on which this daemon listens for its peers.
  std::string peer_address;
  uint16_t peer_port = 0;
  /// CPU cores that this process may use; daemons on small VMs compete later
  /// for ownership.
  double cores = 1;
  workflow::ControllerOptions controller;
  /// Interval at which the owner reads the platform's list of workers.
  TimeMs list_interval_ms = 500;
  /// From this number of workers on, other daemons make the owner's calls to
  /// workers.
  size_t min_workers_for_relays = 150;
};

/// The daemon's interfaces to the platform.
struct NodePorts {
  RowStore store;
  workflow::WorkerPort workers;
  workflow::PermitPort permits;
  workflow::VmPort vms;
  /// How long the store has not answered this daemon, 0 while it does.
  std::function<TimeMs()> store_unresponsive_ms;
  workflow::WorkerListPort list_workers;
};

/// Answer to a caller's query about a job.
struct JobStatus {
  /// The owner or the store answered; otherwise the other fields are not valid.
  bool answered = false;
  bool found = false;
  workflow::JobPhase phase = workflow::JobPhase::kQueued;
  /// Where the answer comes from, for the log: "owner" or "store".
  const char* source = "";
};

/// How the daemon's configuration is kept, for the exchange with its peers;
/// each may be empty.
struct ConfigKeeper {
  /// Called when a peer reports a newer configuration than this daemon's.
  std::function<void(uint64_t version)> behind;
  /// Content of the configuration in force, as it was stored.
  std::function<std::string()> content;
  /// Time as of which the configuration in force is known to be the newest, -1
  /// for never.
  std::function<TimeMs()> known_ms;
  /// How long ago it was known to be the newest by a read of the store itself,
  /// including time for which the VM was suspended; -1 for never.
  std::function<TimeMs()> read_age_ms;
  /// Called with the content that a peer has sent on request.
  std::function<void(const std::string&)> received;
  /// Called with the times as of which a peer knew that the configuration in
  /// force here was the newest, and as of which a read of the store had shown
  /// that (-1 for unknown).
  std::function<void(TimeMs known_ms, TimeMs read_ms)> confirmed;
};

class Node {
 public:
  Node(EventLoop& loop, Runtime runtime, NodeOptions options, NodePorts ports,
       Metrics& metrics);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  Result<void> Start();

  /// Stores a job; `done` runs within `timeout_ms`.
  void Submit(const workflow::JobSpec& spec, TimeMs timeout_ms,
              std::function<void(JobAnswer)> done);
  void Cancel(const std::string& id, TimeMs timeout_ms,
              std::function<void(JobAnswer)> done);
  void Query(const std::string& id, const std::function<void(JobStatus)>& done);
  /// Number of jobs in a queue of which no task has started, as the owner last
  /// reported; nothing if no report has arrived yet.
  std::optional<uint32_t> PendingJobs(const std::string& queue) const;

  void UpdatePolicies(std::map<std::string, workflow::QueuePolicy> policies,
                      uint64_t config_version);
  void UpdateAccounts(accounts::AccountTable table);
  void UpdateWaves(std::vector<workflow::MaintenanceWave> waves);
  ConfigKeeper config_keeper;

  bool is_owner() const { return this->controller != nullptr; }
  /// Releases ownership; requests of callers are served until the process ends.
  void Stop(std::function<void()> done);

 private:
  void OnAcquired(const std::shared_ptr<OwnerCommitter>& log);
  void OnLost();
  void OnOwnerChanged(const OwnerRow& row);
  void PollWorkers();
  TimeMs OwnerActsUntil() const;
  /// What this owner knows by itself; must be the owner.
  OwnEvidence MakeOwnEvidence() const;
  void AnswerPermitAsk(LinkId link, const wire::PermitAskT& ask);
  void AnswerWorkerCall(LinkId link, const wire::WorkerCallT& call);
  WorkerRelaysPtr MakeRelays();
  /// Updates the metrics of calls that are not made through relays.
  void ReportOwnCalls();
  /// Uses the peer as a relay if its heartbeat says that it is one.
  void UpdateRelay(const PeerInfo& info, const wire::HeartbeatT& heartbeat);
  workflow::PermitPort MakePeerPermitPort(LinkId link);
  void OnPeerConnected(const PeerInfo& info);
  void OnPeerLost(const PeerInfo& info, LinkEnd reason);
  void OnMessage(const PeerInfo& info, wire::FrameT& frame);
  /// Records what the heartbeat tells an owner of the store and the peer.
  void NoteEvidence(const PeerInfo& info, const wire::HeartbeatT& heartbeat);
  void OnHeartbeat(const PeerInfo& info, const wire::HeartbeatT& heartbeat);
  /// Compares the peer's configuration with this daemon's.
  void NoteConfig(const PeerInfo& info, const wire::HeartbeatT& heartbeat);
  void AnswerConfigRequest(LinkId link, const wire::ConfigRequestT& request);
  void OnConfigReply(const wire::ConfigReplyT& reply);
  wire::HeartbeatT MakeHeartbeat() const;
  void NotifyOwner(const StoreRow& row);
  bool OwnerReachesStore() const;
  /// Whether the cancellation of a job that is not stored may be stored now.
  bool MayCancelUnknown();
  void InsertThroughOwner(const std::string& key, const std::string& value,
                          JobOutcomeCallback done);
  /// Stores a job on behalf of a peer and sends it the answer.
  void InsertForPeer(const PeerInfo& peer, const wire::JobInsertT& insert);

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
  /// Of the controller, null while this daemon is not the owner.
  WorkerRelaysPtr relays;
  std::map<std::string, workflow::QueuePolicy> policies;
  accounts::AccountTable accounts;
  std::vector<workflow::MaintenanceWave> waves;
  uint64_t config_version = 0;
  /// Since when peers have reported a newer configuration, -1 if none has.
  TimeMs config_behind_since_ms = -1;
  /// No peer is asked for its configuration before this time.
  TimeMs next_config_request_ms = 0;
  /// Until then the bandwidth for handing the configuration on is used up.
  TimeMs config_bandwidth_used_until_ms = 0;
  /// The connection to the current owner, 0 for none.
  LinkId owner_link = 0;
  PeerCalls calls;
  std::map<std::string, uint32_t> pending_jobs;
  bool pending_jobs_known = false;
  /// Time since the store last answered the owner, as the owner last reported.
  TimeMs owner_store_age_ms = 0;
  fairness::ShareLedger unknown_cancellations;
  Isolation isolation;
  bool stopping = false;
  /// False once this object is destroyed; callbacks hold a copy of the pointer.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace dotterelcove
