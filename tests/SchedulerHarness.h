/// Scheduler daemons against in-process stand-ins, for tests. Every daemon has
/// an event loop of its own, so that one can be paused by not running it.
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

/// Returns a port that was free a moment ago.
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

/// What the entry daemon of the test knows of one placed job.
struct SubmittedJob {
  wire::SubmitT submit;
  bool answered = false;
  /// Owners that it was sent to.
  int sends = 0;
  bool accepted = false;
  wire::SubmitReplyT reply;
  bool ended = false;
  int outcomes = 0;
  wire::OutcomeT outcome;
};

/// The protocol of an entry daemon, without its caller interface.
class FakeEntry {
 public:
  FakeEntry(EventLoop& loop, const std::string& process,
            const std::vector<std::string>& schedulers);

  /// Sends now, and again to every new owner until the job has ended.
  std::string Submit(const std::string& key, const SubmitOptions& options = {});
  void SendToOwner(wire::FrameT frame);
  bool has_owner() const { return this->owner != 0; }
  const std::string& owner_process() const { return this->owner_name; }

  std::map<std::string, SubmittedJob> jobs;
  std::vector<wire::SlotGrantT> grants;
  std::vector<wire::SlotRefusalT> refusals;
  std::vector<wire::StatusReplyT> statuses;
  std::vector<wire::CancelReplyT> cancels;
  /// Grants to report to a new owner.
  std::vector<wire::HeldSlotT> held;
  std::map<std::string, wire::OutcomeT> outcomes;
  /// Keeps the entry from reporting to a new owner.
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

  /// Runs all loops but the paused ones until `done`, or the time is over.
  bool RunUntil(const std::function<bool()>& done, TimeMs timeout_ms = 10'000);
  void RunFor(TimeMs time_ms);
  /// The daemon that serves now, or nothing.
  SchedulerNode* Owner();
  bool WaitForOwner();
  /// Ends a daemon without any goodbye.
  void Kill(SchedulerNode& node);
  std::unique_ptr<FakeEntry> MakeEntry(const std::string& process);
  /// Waits until every submitted job has an outcome.
  bool WaitForOutcomes(const FakeEntry& entry, TimeMs timeout_ms = 15'000);
  /// Broken invariants, from the journal and the entry's answers only.
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
