/// The owner's session with one worker: fence, sync loop, backoff and lease
/// accounting, see docs/design.md 3.4.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/NameTable.h"
#include "border/vmlist/VmList.h"
#include "border/worker/WorkerClient.h"
#include "loop/EventLoop.h"

namespace dotterelcove {

enum class SessionState : uint8_t {
  /// Has not answered since the takeover; the tasks that it runs are unknown.
  kUnanswered,
  /// Fenced, and its lease renewed.
  kReachable,
  /// No contact; its lease may still be valid.
  kUnreachable,
  /// No contact; its lease must have expired.
  kLapsed,
};
inline constexpr auto kSessionStateNames =
    MakeNameTable<SessionState>({{SessionState::kUnanswered, "unanswered"},
                                 {SessionState::kReachable, "reachable"},
                                 {SessionState::kUnreachable, "unreachable"},
                                 {SessionState::kLapsed, "lapsed"}});

struct WorkerSessionOptions {
  Vm vm;
  uint64_t epoch = 0;
  int64_t lease_ms = 15'000;
  /// Time at which the lease must have expired if this session never renews
  /// it; covers renewals by earlier owners.
  TimeMs initial_lease_end_ms = 0;
  int64_t call_timeout_ms = 1'000;
};

struct WorkerSessionCallbacks {
  /// The worker answered a fence. The reply lists all tasks that it holds,
  /// without the ended tasks that were delivered before. Starts sent under an
  /// earlier token that are not in the reply will never take effect.
  std::function<void(const FenceReply&)> fenced;
  std::function<void(const EndedTask&)> ended;
  std::function<void(const std::vector<TaskUsage>&)> usage;
  std::function<void(SessionState)> state_changed;
  /// The worker has seen a higher epoch.
  std::function<void(uint64_t epoch)> higher_epoch;
  /// Whether this process may still extend leases, see WorkerPool.
  std::function<bool()> may_renew;
};

/// Callbacks must not destroy the session that calls them.
class WorkerSession {
 public:
  WorkerSession(EventLoop& loop, HttpClient& http, WorkerSessionOptions options,
                WorkerSessionCallbacks callbacks);
  ~WorkerSession();
  WorkerSession(const WorkerSession&) = delete;
  WorkerSession& operator=(const WorkerSession&) = delete;

  /// Sends the fence.
  void Open();
  /// Fences again under a higher token, to determine the outcome of a start.
  void Refence();
  void Start(const WorkerTask& task, const std::string& payload,
             std::function<void(WorkerResult<NoReply>)> done);
  /// Repeats a control message until the worker has answered it.
  void Control(const std::string& task, ControlAction action);
  /// Lets the worker discard the ended task with this sequence number. Ignored
  /// when the worker has restarted since, as its sequence numbers then start
  /// again.
  void Acknowledge(uint64_t incarnation, uint64_t sequence);
  void SetVm(const Vm& vm);

  SessionState state() const;
  const Vm& vm() const;
  FenceToken token() const;
  uint64_t incarnation() const;

 private:
  struct State;
  std::shared_ptr<State> session;
};

}  // namespace dotterelcove
