#include "standins/Traffic.h"

#include "base/Clock.h"
#include "base/Hash.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kRetryDelayMs = 200;
constexpr char kCaller[] = "tests";

/// Whether an answer is complete and belongs to the request. A job of several
/// tasks answers {"results": [one of each task]}.
bool AnswerMatches(const SentRequest& request, const std::string& answer) {
  const std::string expected =
      ExpectedAnswer(request.key, request.kind.answer_bytes);
  if (request.kind.tasks == 1) return answer == expected;
  const auto body = nlohmann::json::parse(answer, nullptr, false);
  if (!body.is_object() || !body.contains("results")) return false;
  int matching = 0;
  for (const auto& result : body["results"]) {
    if (result == expected) matching++;
  }
  return matching == request.kind.tasks;
}

}  // namespace

std::string ExpectedAnswer(const std::string& key, int64_t bytes) {
  std::string answer;
  while (static_cast<int64_t>(answer.size()) < bytes) answer += key + ";";
  answer.resize(static_cast<size_t>(bytes));
  return answer;
}

Traffic::Traffic(Deployment& deployment, TrafficOptions options)
    : deployment(deployment),
      options(std::move(options)),
      random(this->options.seed),
      sender(deployment.loop(), [this] { this->SendNext(); }) {}

Traffic::~Traffic() = default;

void Traffic::Start() { this->sender.StartEvery(1000 / this->options.rate); }

void Traffic::StopSending() { this->sender.Cancel(); }

std::string Traffic::Target() {
  const int entries = this->deployment.options().entries;
  const int first = static_cast<int>(UniformInt(this->random, 0, entries - 1));
  // Skips processes that have ended, as a load balancer does.
  for (int i = 0; i < entries; ++i) {
    const int index = (first + i) % entries;
    const std::string name = "entry-" + std::to_string(index + 1);
    if (this->deployment.Running(name)) return this->deployment.url(name);
  }
  return this->deployment.entry_url(first);
}

std::string Traffic::Body(const SentRequest& request) const {
  const nlohmann::json payload = {
      {"run_ms", request.kind.run_ms},
      {"result", ExpectedAnswer(request.key, request.kind.answer_bytes)}};
  return nlohmann::json{{"service", "stepline"},
                        {"kind", request.kind.kind},
                        {"key", request.key},
                        {"payload", payload.dump()},
                        {"mode", request.kind.async ? "async" : "wait"}}
      .dump();
}

void Traffic::SendNext() {
  int total = 0;
  for (const TrafficKind& kind : this->options.kinds) total += kind.weight;
  int pick = static_cast<int>(UniformInt(this->random, 1, total));
  SentRequest request;
  for (const TrafficKind& kind : this->options.kinds) {
    pick -= kind.weight;
    if (pick > 0) continue;
    request.kind = kind;
    break;
  }
  request.key = "k" + std::to_string(this->next++);
  request.job = MakeJobId(kCaller, request.key);
  request.sent_ms = MonotonicMs();
  const std::string key = request.key;
  this->requests[key] = request;
  this->open_requests[key] =
      std::make_unique<Timer>(this->deployment.loop(), [] {});
  this->Post(key);
}

void Traffic::Post(const std::string& key) {
  SentRequest& request = this->requests.at(key);
  request.attempts++;
  HttpCall call;
  call.method = "POST";
  call.url = this->Target() + "/v1/requests";
  call.headers = {{"X-Caller", kCaller}, {"Content-Type", "application/json"}};
  call.body = this->Body(request);
  call.timeout_ms = 12'000;
  this->deployment.http().Send(call, [this, key](const HttpResult& result) {
    this->OnAnswer(key, result, true);
  });
}

void Traffic::QueryOutcome(const std::string& key) {
  HttpCall call;
  call.url = this->Target() + "/v1/requests/" + key;
  call.headers = {{"X-Caller", kCaller}};
  call.timeout_ms = 3'000;
  this->deployment.http().Send(call, [this, key](const HttpResult& result) {
    this->OnAnswer(key, result, false);
  });
}

void Traffic::ScheduleRetry(const std::string& key, bool post) {
  SentRequest& request = this->requests.at(key);
  if (MonotonicMs() - request.sent_ms > this->options.max_wait_ms) {
    this->open_requests.erase(key);
    return;
  }
  auto& timer = this->open_requests.at(key);
  timer = std::make_unique<Timer>(this->deployment.loop(), [this, key, post] {
    post ? this->Post(key) : this->QueryOutcome(key);
  });
  timer->StartAfter(kRetryDelayMs);
}

void Traffic::OnAnswer(const std::string& key, const HttpResult& result,
                       bool post) {
  SentRequest& request = this->requests.at(key);
  request.status = result.status;
  const auto body = nlohmann::json::parse(result.body, nullptr, false);
  const std::string outcome =
      body.is_object() ? body.value("outcome", std::string()) : std::string();
  if (result.failure != HttpFailure::kNone || outcome.empty()) {
    // No answer, or an answer without an outcome, such as an error of this
    // call. The body is sent again unless the request is known to be recorded.
    this->ScheduleRetry(key, !request.was_accepted);
    return;
  }
  request.reason = body.value("reason", std::string());
  if (outcome == "accepted") {
    request.outcome = outcome;
    request.was_accepted = true;
    this->ScheduleRetry(key, false);
    return;
  }
  if (outcome == "not_run" && !post && request.was_accepted) {
    // A recorded request may end as not run only by a permanent refusal, so
    // the reason is marked.
    request.reason = "after accepted: " + request.reason;
  }
  request.outcome = outcome;
  request.ended_ms = MonotonicMs();
  if (outcome == "done") {
    request.answer_matches =
        AnswerMatches(request, body.value("answer", std::string()));
  }
  this->open_requests.erase(key);
}

}  // namespace dotterelcove
