#include "border/objects/ObjectClient.h"

#include <utility>

namespace dotterelcove {
namespace {

HttpCall MakeCall(const ObjectClient& client, const char* method,
                  const std::string& name) {
  HttpCall call;
  call.method = method;
  call.url = client.base_url + "/v1/objects/" + name;
  call.timeout_ms = client.timeout_ms;
  return call;
}

TableStatus ToStatus(const HttpResult& answer) {
  if (answer.failure == HttpFailure::kNotSent) return TableStatus::kUnavailable;
  if (answer.failure != HttpFailure::kNone) return TableStatus::kUnknown;
  if (answer.status == 200 || answer.status == 404) return TableStatus::kOk;
  // Only these two promise that nothing was done.
  if (answer.status == 400 || answer.status == 503) {
    return TableStatus::kUnavailable;
  }
  return TableStatus::kUnknown;
}

}  // namespace

void PutObject(const ObjectClient& client, const std::string& name,
               std::string content, std::function<void(ObjectResult)> done) {
  HttpCall call = MakeCall(client, "PUT", name);
  call.body = std::move(content);
  client.http.Send(std::move(call),
                   [done = std::move(done)](const HttpResult& answer) {
                     ObjectResult result;
                     result.status = ToStatus(answer);
                     // 404 is not a valid response to a write.
                     if (answer.status == 404)
                       result.status = TableStatus::kUnknown;
                     result.found = result.status == TableStatus::kOk;
                     done(std::move(result));
                   });
}

void GetObject(const ObjectClient& client, const std::string& name,
               std::function<void(ObjectResult)> done) {
  client.http.Send(MakeCall(client, "GET", name),
                   [done = std::move(done)](const HttpResult& answer) {
                     ObjectResult result;
                     result.status = ToStatus(answer);
                     result.found = result.status == TableStatus::kOk &&
                                    answer.status == 200;
                     if (result.found) result.content = answer.body;
                     done(std::move(result));
                   });
}

}  // namespace dotterelcove
