#include "border/worker/WorkerClient.h"

#include <utility>

namespace dotterelcove {
namespace {

struct StatusRow {
  int http_status;
  WorkerStatus status;
};

// Any other status does not come from a worker and proves nothing about what
// ran.
constexpr StatusRow kStatusRows[] = {
    {200, WorkerStatus::kOk},         {409, WorkerStatus::kStaleToken},
    {507, WorkerStatus::kNoCapacity}, {208, WorkerStatus::kDuplicate},
    {400, WorkerStatus::kRefused},    {403, WorkerStatus::kRefused},
    {404, WorkerStatus::kRefused},
};

WorkerStatus StatusOf(const HttpResult& result) {
  if (result.failure == HttpFailure::kNotSent) return WorkerStatus::kNotSent;
  if (result.failure != HttpFailure::kNone) return WorkerStatus::kUnknown;
  for (const StatusRow& row : kStatusRows) {
    if (row.http_status == result.status) return row.status;
  }
  return WorkerStatus::kUnknown;
}

bool ReadReply(const std::string&, NoReply&) { return true; }
bool ReadReply(const std::string& text, FenceReply& reply) {
  return FromJson(text, reply);
}
bool ReadReply(const std::string& text, SyncReply& reply) {
  return FromJson(text, reply);
}

template <class Reply>
WorkerResult<Reply> ToWorkerResult(const HttpResult& http) {
  WorkerResult<Reply> result;
  result.status = StatusOf(http);
  result.detail = http.detail;
  if (result.status == WorkerStatus::kOk) {
    // A malformed answer does not prove whether the call took effect.
    if (!ReadReply(http.body, result.reply)) {
      result.status = WorkerStatus::kUnknown;
      result.detail = "malformed answer";
    }
    return result;
  }
  if (http.failure != HttpFailure::kNone) return result;
  RefusalBody refusal;
  if (FromJson(http.body, refusal)) {
    result.highest = refusal.highest;
    result.detail = refusal.reason;
  }
  return result;
}

template <class Reply>
uint64_t Call(const WorkerClient& client, const char* path, std::string body,
              int64_t timeout_ms, bool fresh_connection,
              std::function<void(WorkerResult<Reply>)> done) {
  HttpCall call;
  call.method = "POST";
  call.url = client.base_url + path;
  call.headers = {{"Content-Type", "application/json"}};
  call.body = std::move(body);
  call.timeout_ms = timeout_ms;
  call.connect_timeout_ms = client.timeout_ms;
  call.fresh_connection = fresh_connection;
  return client.http.Send(std::move(call),
                          [done = std::move(done)](const HttpResult& result) {
                            done(ToWorkerResult<Reply>(result));
                          });
}

}  // namespace

void FenceWorker(const WorkerClient& client, const FenceRequest& request,
                 std::function<void(WorkerResult<FenceReply>)> done) {
  Call<FenceReply>(client, "/v1/fence", ToJson(request), client.timeout_ms,
                   false, std::move(done));
}

void StartTask(const WorkerClient& client, const StartRequest& request,
               std::function<void(WorkerResult<NoReply>)> done) {
  Call<NoReply>(client, "/v1/start", ToJson(request), client.timeout_ms,
                !request.task.idempotent, std::move(done));
}

uint64_t SyncWorker(const WorkerClient& client, const SyncRequest& request,
                    std::function<void(WorkerResult<SyncReply>)> done) {
  return Call<SyncReply>(client, "/v1/sync", ToJson(request),
                         client.timeout_ms + request.wait_ms, false,
                         std::move(done));
}

void ControlTask(const WorkerClient& client, const ControlRequest& request,
                 std::function<void(WorkerResult<NoReply>)> done) {
  Call<NoReply>(client, "/v1/control", ToJson(request), client.timeout_ms,
                false, std::move(done));
}

}  // namespace dotterelcove
