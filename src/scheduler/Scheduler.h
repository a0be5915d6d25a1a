/// The scheduler without its process, operator API and configuration follower:
/// competes for the ownership of one partition, and does the owner's work while
/// it holds it.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/HybridClock.h"
#include "config/CellConfig.h"
#include "dotterelcove/Result.h"
#include "peer/PeerNode.h"
#include "scheduler/Services.h"
#include "scheduler/Term.h"
#include "store/Ownership.h"

namespace dotterelcove {

struct SchedulerHooks {
  /// Returns the version of the configuration in force, for heartbeats; may be
  /// empty.
  std::function<uint64_t()> config_version;
  /// Receives heartbeats and configuration messages, for the configuration
  /// follower; may be empty.
  std::function<void(const PeerInfo&, wire::FrameT&)> config_message;
  /// A planned stop is complete.
  std::function<void()> stopped;
};

class Scheduler {
 public:
  /// Fails with a PeerListenError. `settings`, `metrics`, `events` and `clock`
  /// must outlive the scheduler.
  static Result<std::unique_ptr<Scheduler>> Start(
      EventLoop& loop, HttpClient& http, const DaemonSettings& settings,
      Metrics& metrics, EventRing& events, HybridClock& clock,
      SchedulerHooks hooks);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  void ApplyConfig(const CellConfig& config);
  /// Begins a planned stop: writes the pending records, releases the ownership,
  /// then calls `stopped`.
  void Stop();

  /// The current term, or null when this process is not the owner.
  Term* term() const { return this->current_term.get(); }
  bool serving() const;
  bool stopping() const { return this->is_stopping; }
  const OwnerView& owner() const { return this->ownership->view(); }
  int64_t store_age_ms() const { return this->ownership->store_age_ms(); }
  uint64_t config_version() const;
  void RefreshMetrics();
  PeerNode& peers() { return *this->node; }
  Services& shared() { return *this->services; }

 private:
  Scheduler(EventLoop& loop, const DaemonSettings& settings,
            SchedulerHooks hooks);
  OwnershipOptions MakeOwnershipOptions() const;
  PeerOptions MakePeerOptions() const;
  wire::HeartbeatT MakeHeartbeat() const;
  void OnAcquired(uint64_t epoch, uint64_t row_version);
  void OnLost(const std::string& reason);
  void OnConnected(const PeerInfo& peer);
  void OnDisconnected(const PeerInfo& peer);
  void OnMessage(const PeerInfo& peer, wire::FrameT& frame);
  void OnHeartbeat(const PeerInfo& peer, const wire::HeartbeatT& heartbeat);
  bool MayRenew() const;
  void ContinueStop();

  const DaemonSettings& settings;
  SchedulerHooks hooks;
  uint64_t incarnation;
  std::unique_ptr<Services> services;
  std::unique_ptr<PeerNode> node;
  std::unique_ptr<Ownership> ownership;
  std::unique_ptr<Term> current_term;
  CellConfig config;
  bool is_stopping = false;
  TimeMs stop_started_ms = 0;
  /// Time of the last heartbeat of another scheduler; monotonic clock.
  TimeMs last_scheduler_heartbeat_ms = 0;
  /// Destroys a lost term outside its own callbacks.
  Timer term_teardown_timer;
  Timer stop_timer;
};

}  // namespace dotterelcove
