/// Client of one worker.
#pragma once

#include <functional>
#include <string>

#include "border/worker/WorkerMessages.h"
#include "http/HttpClient.h"

namespace dotterelcove {

/// The worker at one base URL.
struct WorkerClient {
  HttpClient& http;
  std::string base_url;
  /// Timeout of a whole call; for a sync, added to `wait_ms`.
  int64_t timeout_ms = 1'000;
};

enum class WorkerStatus : uint8_t {
  kOk,
  /// The worker has seen a higher token; nothing was done.
  kStaleToken,
  /// The start does not fit next to the tasks that the worker holds.
  kNoCapacity,
  /// The worker already has this task, so its start has taken effect.
  kDuplicate,
  /// Refused for another reason; nothing was done.
  kRefused,
  /// The worker certainly did not receive the call.
  kNotSent,
  /// The answer was lost; the call may have taken effect.
  kUnknown,
};
inline constexpr auto kWorkerStatusNames =
    MakeNameTable<WorkerStatus>({{WorkerStatus::kOk, "ok"},
                                 {WorkerStatus::kStaleToken, "stale_token"},
                                 {WorkerStatus::kNoCapacity, "no_capacity"},
                                 {WorkerStatus::kDuplicate, "duplicate"},
                                 {WorkerStatus::kRefused, "refused"},
                                 {WorkerStatus::kNotSent, "not_sent"},
                                 {WorkerStatus::kUnknown, "unknown"}});

/// Outcome of a call; `reply` is set for kOk.
template <class Reply>
struct WorkerResult {
  WorkerStatus status = WorkerStatus::kUnknown;
  Reply reply;
  /// For kStaleToken: the highest token the worker has seen.
  FenceToken highest;
  std::string detail;
};

/// The reply of calls that only say whether they took effect.
struct NoReply {};

/// Makes the worker accept the token and returns the tasks it holds.
void FenceWorker(const WorkerClient& client, const FenceRequest& request,
                 std::function<void(WorkerResult<FenceReply>)> done);

/// Starts one task. Sent on a new connection when the task is not idempotent.
void StartTask(const WorkerClient& client, const StartRequest& request,
               std::function<void(WorkerResult<NoReply>)> done);

/// Renews the lease and waits for ended tasks. Returns an id for
/// HttpClient::Cancel.
uint64_t SyncWorker(const WorkerClient& client, const SyncRequest& request,
                    std::function<void(WorkerResult<SyncReply>)> done);

/// Acts on a task in progress; kRefused when the worker does not hold it.
void ControlTask(const WorkerClient& client, const ControlRequest& request,
                 std::function<void(WorkerResult<NoReply>)> done);

}  // namespace dotterelcove
