/// Test harness that runs scheduler daemons against in-process stand-ins of the
/// platform and the workers. Each daemon has its own event loop, so that it can
/// be paused by not running the loop.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "peer/PeerNode.h"
#include "scheduler/SchedulerDaemon.h"
#include "standins/PlatformStandin.h"
#include "standins/WorkerStandin.h"

namespace dotterelcove::tests {

/// Returns a TCP port of the loopback interface that was free at the time of
/// the call.
uint16_t FreePort();

struct SubmitOptions {
  bool durable = false;
  bool idempotent = true;
  uint32_t tasks = 1;
  bool gang = false;
  RequestClass request_class = RequestClass::kBatch;
  int64_t milli_cores = 1'000;
  int64_t deadline_ms = 0;
  std::string payload = R"({"run_ms": 30, "result": "ok"})";
};

/// State of one placed job in FakeEntry.
struct SubmittedJob {
  wire::SubmitT submit;
  bool answered = false;
  /// Number of times it was sent to an owner.
  int sends = 0;
  bool accepted = false;
  wire::SubmitReplyT reply;
  bool ended = false;
  int outcomes = 0;
  wire::OutcomeT outcome;
};

/// Speaks the protocol of an entry daemon to the schedulers, without an
/// interface for callers.
class FakeEntry {
 public:
  FakeEntry(EventLoop& loop, const std::string& process,
            const std::vector<std::string>& schedulers);

  /// Sends the job now, and again to each new owner until it has ended. Returns
  /// its id.
  std::string Submit(const std::string& key, const SubmitOptions& options = {});
  void SendToOwner(wire::FrameT frame);
  bool has_owner() const { return this->owner != 0; }
  const std::string& owner_process() const { return this->owner_name; }

  std::map<std::string, SubmittedJob> jobs;
  std::vector<wire::SlotGrantT> grants;
  std::vector<wire::SlotRefusalT> refusals;
  std::vector<wire::StatusReplyT> statuses;
  std::vector<wire::CancelReplyT> cancels;
  /// Slots that are reported to a new owner as held.
  std::vector<wire::HeldSlotT> held;
  std::map<std::string, wire::OutcomeT> outcomes;
  /// Sends no report of held slots and no jobs to a new owner.
  bool suppress_reports = false;

 private:
  void OnHeartbeat(const PeerInfo& peer, const wire::HeartbeatT& heartbeat);
  void OnFrame(const PeerInfo& peer, wire::FrameT& frame);
  void OnSubmitReply(const wire::SubmitReplyT& reply);
  void Send(SubmittedJob& job);
  void ResendUnaccepted();

  HybridClock clock;
  std::unique_ptr<PeerNode> node;
  LinkId owner = 0;
  uint64_t owner_epoch = 0;
  std::string owner_name;
  uint64_t next_call = 1;
  Timer resend_timer;
};

struct HarnessOptions {
  int schedulers = 2;
  int workers = 4;
  int64_t worker_cores = 4;
  std::vector<Vm> endpoints;
  std::vector<std::string> entries = {"entry-1"};
};

struct SchedulerNode {
  EventLoop loop;
  DaemonSettings settings;
  std::unique_ptr<SchedulerDaemon> daemon;
  bool paused = false;
};

class SchedulerHarness {
 public:
  explicit SchedulerHarness(const HarnessOptions& options = {});
  ~SchedulerHarness();

  /// Runs the loops of all daemons that are not paused until `done` returns
  /// true; returns false on timeout.
  bool RunUntil(const std::function<bool()>& done, TimeMs timeout_ms = 10'000);
  void RunFor(TimeMs time_ms);
  /// The daemon that serves now, or null.
  SchedulerNode* Owner();
  bool WaitForOwner();
  /// Destroys a daemon without a planned stop.
  void Kill(SchedulerNode& node);
  /// Makes an entry and waits until it is connected to the owner.
  std::unique_ptr<FakeEntry> MakeEntry(const std::string& process);
  /// Waits until every submitted job has ended or been refused.
  bool WaitForOutcomes(const FakeEntry& entry, TimeMs timeout_ms = 15'000);
  /// Describes the violated invariants, judged only from the workers' journal
  /// and the answers to the entry.
  std::vector<std::string> Violations(const FakeEntry& entry);
  /// Prints the violations and returns whether there are none.
  bool HasNoViolations(const FakeEntry& entry);

  EventLoop loop;
  std::unique_ptr<PlatformStandin> platform;
  std::unique_ptr<standins::WorkerStandin> workers;
  std::vector<std::unique_ptr<SchedulerNode>> nodes;
  std::vector<std::string> addresses;
};

}  // namespace dotterelcove::tests
