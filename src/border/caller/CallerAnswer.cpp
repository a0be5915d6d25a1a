#include "border/caller/CallerAnswer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/Base64.h"

namespace dotterelcove {
namespace {

constexpr int64_t kMsPerSecond = 1'000;

}  // namespace

HttpResponse RenderAnswer(const CallerAnswer& answer) {
  nlohmann::json json = {{"key", answer.key}};
  if (answer.outcome) json["outcome"] = NameOf(kOutcomeNames, *answer.outcome);
  const std::pair<const char*, const std::string*> texts[] = {
      {"worker", &answer.worker}, {"endpoint", &answer.endpoint},
      {"state", &answer.state},   {"reason", &answer.reason},
      {"field", &answer.field},
  };
  for (const auto& [name, text] : texts) {
    if (!text->empty()) json[name] = *text;
  }
  if (answer.outcome == Outcome::kDone) {
    const bool text = IsUtf8(answer.body);
    json["answer"] = text ? answer.body : EncodeBase64(answer.body);
    json["encoding"] = text ? "text" : "base64";
  }
  HttpResponse response;
  response.status = answer.status;
  if (answer.retry_after_ms > 0) {
    json["retry_after_ms"] = answer.retry_after_ms;
    const int64_t seconds =
        (answer.retry_after_ms + kMsPerSecond - 1) / kMsPerSecond;
    response.headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  // Text from other processes may hold bytes that are not UTF-8.
  response.body =
      json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

HttpResponse RenderRawAnswer(const CallerAnswer& answer) {
  if (answer.outcome != Outcome::kDone) return RenderAnswer(answer);
  HttpResponse response;
  response.status = answer.status;
  response.body = answer.body;
  response.content_type = "application/octet-stream";
  response.headers.emplace_back("X-Outcome", "done");
  return response;
}

CallerAnswer MakeErrorAnswer(const CallerRequestError& fault,
                             const std::string& key) {
  CallerAnswer answer;
  answer.outcome = Outcome::kNotRun;
  answer.status = fault.status;
  answer.key = key.empty() ? fault.key : key;
  answer.field = fault.field;
  answer.reason =
      fault.field.empty() ? fault.message : fault.field + ": " + fault.message;
  return answer;
}

}  // namespace dotterelcove
