/// Callers for system tests: send requests of several kinds to the entry
/// daemons, retry by key when an answer is lost, and record the answers.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/Random.h"
#include "standins/Deployment.h"

namespace dotterelcove {

/// Share of one kind in the traffic.
struct TrafficKind {
  std::string kind;
  bool async = false;
  bool idempotent = true;
  int weight = 1;
  int64_t run_ms = 20;
  /// Size of the answer.
  int64_t answer_bytes = 100;
  /// Tasks of one job, as configured for the kind.
  int tasks = 1;
};

/// One request of a caller and the answers to it.
struct SentRequest {
  std::string key;
  std::string job;
  TrafficKind kind;
  TimeMs sent_ms = 0;
  TimeMs ended_ms = 0;
  /// Last outcome answered: accepted, done, not_run, unknown, or empty.
  std::string outcome;
  bool was_accepted = false;
  bool answer_matches = true;
  int status = 0;
  std::string reason;
  int attempts = 0;
};

struct TrafficOptions {
  uint64_t seed = 1;
  std::vector<TrafficKind> kinds;
  /// Requests per second over all entry daemons.
  int rate = 40;
  /// Time after sending for which a caller retries until its request has ended.
  TimeMs max_wait_ms = 40'000;
};

class Traffic {
 public:
  Traffic(Deployment& deployment, TrafficOptions options);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  void Start();
  /// Stops sending new requests; open ones are retried until they end.
  void StopSending();
  /// Number of requests whose caller still waits.
  size_t open() const { return this->open_requests.size(); }
  const std::map<std::string, SentRequest>& sent() const {
    return this->requests;
  }

 private:
  void SendNext();
  void Post(const std::string& key);
  void QueryOutcome(const std::string& key);
  void ScheduleRetry(const std::string& key, bool post);
  void OnAnswer(const std::string& key, const HttpResult& result, bool post);
  std::string Target();
  std::string Body(const SentRequest& request) const;

  Deployment& deployment;
  TrafficOptions options;
  Random random;
  int next = 0;
  std::map<std::string, SentRequest> requests;
  std::map<std::string, std::unique_ptr<Timer>> open_requests;
  Timer sender;
};

/// The answer a stand-in gives for a key, of `bytes` length.
std::string ExpectedAnswer(const std::string& key, int64_t bytes);

}  // namespace dotterelcove
