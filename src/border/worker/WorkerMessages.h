/// Messages between the owner of a partition and a worker, see docs/design.md
/// 3.4 and 5. Every request carries a fencing token, and a worker refuses
/// tokens lower than the highest it has seen.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/NameTable.h"
#include "dotterelcove/Types.h"

namespace dotterelcove {

/// Fencing token that orders the commands of all owners: by owner epoch, then
/// by the number of fence requests that this owner has sent to the worker. The
/// count invalidates a start that was delayed in the network once a later fence
/// request has been answered.
struct FenceToken {
  uint64_t epoch = 0;
  uint64_t count = 0;
  friend bool operator==(const FenceToken&, const FenceToken&) = default;
  friend bool operator<(const FenceToken& a, const FenceToken& b) {
    return a.epoch != b.epoch ? a.epoch < b.epoch : a.count < b.count;
  }
};

/// One attempt to run one member of a job. `id` is "<job>.<member>.<attempt>".
struct WorkerTask {
  std::string id;
  std::string job;
  uint32_t member = 0;
  uint32_t attempt = 0;
  Resources size;
  bool idempotent = true;
  /// Opaque to the worker, which stores and returns it. A new owner rebuilds a
  /// job that has no record from it. Empty for recorded jobs.
  std::string descriptor;
};

/// Returns the task id; `job` must not contain a dot.
std::string MakeTaskId(std::string_view job, uint32_t member, uint32_t attempt);

enum class WorkerTaskEnd : uint8_t {
  kSucceeded,
  kFailed,
  /// Ended by a stop command.
  kStopped,
  /// Ended by a checkpoint command after its progress was saved.
  kCheckpointed,
  /// Ended by the worker because its lease expired.
  kLeaseExpired,
};
inline constexpr auto kWorkerTaskEndNames = MakeNameTable<WorkerTaskEnd>(
    {{WorkerTaskEnd::kSucceeded, "succeeded"},
     {WorkerTaskEnd::kFailed, "failed"},
     {WorkerTaskEnd::kStopped, "stopped"},
     {WorkerTaskEnd::kCheckpointed, "checkpointed"},
     {WorkerTaskEnd::kLeaseExpired, "lease_expired"}});

/// A task in progress on the worker.
struct HeldTask {
  WorkerTask task;
  int64_t running_ms = 0;
};

/// A task that ended and is kept until its sequence number is acknowledged.
struct EndedTask {
  uint64_t sequence = 0;
  WorkerTask task;
  WorkerTaskEnd end = WorkerTaskEnd::kSucceeded;
  std::string result;
  std::string message;
};

/// Resource usage of a task, measured some seconds ago.
struct TaskUsage {
  std::string task;
  Resources used;
};

/// Does not renew the lease, so that it can be resent to an unresponsive worker
/// without keeping that worker's tasks alive.
struct FenceRequest {
  FenceToken token;
};

/// All tasks that the worker holds, after it has accepted the token.
struct FenceReply {
  /// Differs after a restart of the worker, which ends all its tasks.
  uint64_t incarnation = 0;
  std::vector<HeldTask> held;
  std::vector<EndedTask> ended;
};

struct StartRequest {
  FenceToken token;
  WorkerTask task;
  std::string payload;
};

struct SyncRequest {
  FenceToken token;
  int64_t lease_ms = 0;
  /// False for a probe that must not extend the lease.
  bool renew = true;
  /// Ended tasks up to this sequence number may be discarded.
  uint64_t acknowledged = 0;
  /// Ended tasks up to this sequence number are not sent again.
  uint64_t received = 0;
  /// Longest time the worker holds the request open with nothing to report.
  int64_t wait_ms = 0;
};

struct SyncReply {
  uint64_t incarnation = 0;
  std::vector<EndedTask> ended;
  std::vector<TaskUsage> usage;
};

enum class ControlAction : uint8_t { kCheckpoint, kThrottle, kResume, kStop };
inline constexpr auto kControlActionNames =
    MakeNameTable<ControlAction>({{ControlAction::kCheckpoint, "checkpoint"},
                                  {ControlAction::kThrottle, "throttle"},
                                  {ControlAction::kResume, "resume"},
                                  {ControlAction::kStop, "stop"}});

struct ControlRequest {
  FenceToken token;
  std::string task;
  ControlAction action = ControlAction::kStop;
};

/// Body of a refusal: the reason, and the highest token the worker has seen.
struct RefusalBody {
  std::string reason;
  FenceToken highest;
};

// JSON codec, shared with the stand-in. The From functions return false when a
// field is missing or of the wrong type.
std::string ToJson(const FenceRequest& request);
std::string ToJson(const FenceReply& reply);
std::string ToJson(const StartRequest& request);
std::string ToJson(const SyncRequest& request);
std::string ToJson(const SyncReply& reply);
std::string ToJson(const ControlRequest& request);
std::string ToJson(const RefusalBody& body);
bool FromJson(const std::string& text, FenceRequest& request);
bool FromJson(const std::string& text, FenceReply& reply);
bool FromJson(const std::string& text, StartRequest& request);
bool FromJson(const std::string& text, SyncRequest& request);
bool FromJson(const std::string& text, SyncReply& reply);
bool FromJson(const std::string& text, ControlRequest& request);
bool FromJson(const std::string& text, RefusalBody& body);

}  // namespace dotterelcove
