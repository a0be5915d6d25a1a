#include "standins/Measurements.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "base/Clock.h"
#include "base/Random.h"

namespace dotterelcove {
namespace {

constexpr uint64_t kSeed = 20261204;

void Wait(Deployment& deployment, TimeMs ms) {
  deployment.loop().RunUntil([] { return false; }, ms);
}

TrafficOptions MakeTraffic(std::vector<TrafficKind> kinds, int rate) {
  TrafficOptions options;
  options.seed = kSeed;
  options.kinds = std::move(kinds);
  options.rate = rate;
  return options;
}

std::vector<std::string> DaemonNames(const Deployment& deployment) {
  std::vector<std::string> names;
  for (int i = 1; i <= deployment.options().entries; ++i) {
    names.push_back("entry-" + std::to_string(i));
  }
  for (int i = 1; i <= deployment.options().schedulers; ++i) {
    names.push_back("sched-" + std::to_string(i));
  }
  return names;
}

/// Open-loop load: sends requests with exponential gaps, whether or not earlier
/// ones have ended, and collects their latencies.
class OpenLoop {
 public:
  using SendOne = std::function<void(int index, std::function<void(bool)>)>;

  OpenLoop(Deployment& deployment, int rate, SendOne send)
      : deployment(deployment),
        rate(rate),
        send(std::move(send)),
        random(kSeed),
        timer(deployment.loop(), [this] { this->SendDue(); }) {}

  /// Returns the latency of each request in milliseconds; failed ones have
  /// none.
  std::vector<double> Run(TimeMs duration_ms, int& failed) {
    this->start_us = MonotonicUs();
    this->next_us = this->start_us;
    this->end_us = this->start_us + duration_ms * 1000;
    this->timer.StartEvery(1);
    this->deployment.loop().RunUntil(
        [this] { return this->closed && this->open == 0; },
        duration_ms + 15'000);
    failed = this->failures + this->open;
    return this->times;
  }

 private:
  void SendDue() {
    const int64_t now = MonotonicUs();
    while (this->next_us <= now && this->next_us < this->end_us) {
      // Measured from when the request was due, so that a late sender does
      // not hide queueing time (coordinated omission).
      const int64_t due = this->next_us;
      this->open++;
      this->send(this->index++, [this, due](bool ok) {
        this->open--;
        if (!ok) {
          this->failures++;
          return;
        }
        this->times.push_back(static_cast<double>(MonotonicUs() - due) / 1000);
      });
      this->next_us += static_cast<int64_t>(
          std::exponential_distribution<double>(this->rate)(this->random) *
          1e6);
    }
    if (this->next_us < this->end_us) return;
    this->closed = true;
    this->timer.Cancel();
  }

  Deployment& deployment;
  int rate;
  SendOne send;
  Random random;
  Timer timer;
  int64_t start_us = 0;
  int64_t next_us = 0;
  int64_t end_us = 0;
  int index = 0;
  int open = 0;
  int failures = 0;
  bool closed = false;
  std::vector<double> times;
};

std::string RunBody(int64_t run_ms) {
  return nlohmann::json{{"run_ms", run_ms}, {"result", "ok"}}.dump();
}

/// Calls endpoints directly from one queue over all their slots: the lower
/// bound of the latency that any sender can reach.
class DirectSender {
 public:
  DirectSender(Deployment& deployment, int64_t run_ms)
      : deployment(deployment), body(RunBody(run_ms)) {
    for (const auto& vm : deployment.vms()) {
      if (vm["role"] != "endpoint") continue;
      for (int slot = 0; slot < vm["slots"].get<int>(); ++slot) {
        this->free.push_back(vm["address"].get<std::string>());
      }
    }
  }

  void Send(int index, std::function<void(bool)> done) {
    this->waiting.emplace_back(index, std::move(done));
    this->SendWaiting();
  }

 private:
  void SendWaiting() {
    while (!this->free.empty() && !this->waiting.empty()) {
      const std::string address = this->free.front();
      this->free.pop_front();
      auto [index, done] = std::move(this->waiting.front());
      this->waiting.pop_front();
      HttpCall call;
      call.method = "POST";
      call.url = address + "/run";
      call.headers = {{"X-Request-Id", "direct-" + std::to_string(index)},
                      {"X-Deadline-Ms", "10000"}};
      call.body = this->body;
      this->deployment.http().Send(
          call, [this, address, done = std::move(done)](const HttpResult& r) {
            this->free.push_back(address);
            done(r.failure == HttpFailure::kNone && r.status == 200);
            this->SendWaiting();
          });
    }
  }

  Deployment& deployment;
  std::string body;
  std::deque<std::string> free;
  std::deque<std::pair<int, std::function<void(bool)>>> waiting;
};

void SendThroughEntry(Deployment& deployment, int64_t run_ms, int index,
                      std::function<void(bool)> done) {
  HttpCall call;
  call.method = "POST";
  call.url = deployment.entry_url(index % deployment.options().entries) +
             "/v1/requests";
  call.headers = {{"X-Caller", "bench"}};
  call.body = nlohmann::json{{"service", "stepline"},
                             {"kind", "check"},
                             {"key", "added-" + std::to_string(index)},
                             {"payload", RunBody(run_ms)}}
                  .dump();
  call.timeout_ms = 12'000;
  deployment.http().Send(call, [done = std::move(done)](const HttpResult& r) {
    done(r.failure == HttpFailure::kNone && r.status == 200);
  });
}

}  // namespace

double Percentile(std::vector<double> samples, double fraction) {
  if (samples.empty()) return 0;
  std::sort(samples.begin(), samples.end());
  const double position =
      std::ceil(fraction * static_cast<double>(samples.size()));
  const size_t index = position < 1 ? 0 : static_cast<size_t>(position) - 1;
  return samples[std::min(index, samples.size() - 1)];
}

std::vector<double> StartDelaysMs(const Deployment& deployment,
                                  const Traffic& traffic, double missing_ms) {
  std::map<std::string, int64_t> first_start;
  for (const auto& line : deployment.WorkerJournal()) {
    if (line.value("event", std::string()) != "started") continue;
    first_start.emplace(line["job"], line["monotonic_ms"].get<int64_t>());
  }
  std::vector<double> delays;
  for (const auto& [key, sent] : traffic.sent()) {
    const auto found = first_start.find(sent.job);
    delays.push_back(found == first_start.end()
                         ? missing_ms
                         : static_cast<double>(found->second - sent.sent_ms));
  }
  return delays;
}

double MeasureConfigPropagationMs(Deployment& deployment, int round,
                                  TimeMs limit_ms) {
  const auto version_of = [&](const std::string& name) {
    const auto state = deployment.Get(name, "/v1/state");
    return state.is_object() ? state.value("config_version", int64_t{0})
                             : int64_t{0};
  };
  const std::vector<std::string> daemons = DaemonNames(deployment);
  const int64_t before = version_of(daemons.front());
  nlohmann::json config = deployment.options().config;
  config["cell"]["callers"]["round"] = {{"max_in_progress", 100 + round},
                                        {"requests_per_second", 100}};
  if (!deployment.Publish(config)) return -1;
  const TimeMs published_ms = MonotonicMs();
  std::vector<std::string> behind = daemons;
  while (!behind.empty()) {
    if (MonotonicMs() - published_ms > limit_ms) return -1;
    if (version_of(behind.back()) > before) {
      behind.pop_back();
      continue;
    }
    Wait(deployment, 10);
  }
  return static_cast<double>(MonotonicMs() - published_ms);
}

double MeasureLastStartAfterLeavingMs(Deployment& deployment,
                                      const std::string& endpoint) {
  Traffic traffic(deployment,
                  MakeTraffic({{"check", false, true, 1, 15, 100}}, 100));
  traffic.Start();
  Wait(deployment, 1'000);
  nlohmann::json vms = deployment.vms();
  for (auto& vm : vms) {
    if (vm["id"] == endpoint) vm["state"] = "leaving";
  }
  deployment.Control("platform", "/control/vms", {{"vms", vms}});
  const TimeMs published_ms = MonotonicMs();
  Wait(deployment, 5'000);
  traffic.StopSending();
  deployment.loop().RunUntil([&] { return traffic.open() == 0; }, 20'000);
  double last = 0;
  for (const auto& line : deployment.EndpointJournal()) {
    if (line["event"] != "started" || line["endpoint"] != endpoint) continue;
    const double after =
        static_cast<double>(line["monotonic_us"].get<int64_t>()) / 1000 -
        static_cast<double>(published_ms);
    last = std::max(last, after);
  }
  return last;
}

StopResult MeasurePlannedStop(Deployment& deployment,
                              const std::string& process) {
  Traffic traffic(deployment,
                  MakeTraffic({{"dispatch", false, true, 2, 100, 100},
                               {"check", false, true, 1, 100, 100},
                               {"order", false, false, 1, 100, 100}},
                              80));
  traffic.Start();
  Wait(deployment, 1'500);
  StopResult result;
  const TimeMs signalled_ms = MonotonicMs();
  result.exit_code = deployment.Terminate(process, 30'000);
  Wait(deployment, 2'000);
  traffic.StopSending();
  deployment.loop().RunUntil([&] { return traffic.open() == 0; }, 20'000);
  for (const auto& [key, sent] : traffic.sent()) {
    result.requests++;
    if (sent.outcome == "done") continue;
    if (sent.sent_ms > signalled_ms && sent.outcome == "not_run") {
      result.refused++;
      continue;
    }
    result.interrupted++;
    std::fprintf(stderr, "%s %s: %s: %s\n", sent.kind.kind.c_str(), key.c_str(),
                 sent.outcome.c_str(), sent.reason.c_str());
  }
  std::map<std::string, int64_t> first_start;
  for (const auto& line : deployment.WorkerJournal()) {
    if (line["event"] != "started") continue;
    first_start.emplace(line["job"], line["monotonic_ms"].get<int64_t>());
  }
  for (const auto& [key, sent] : traffic.sent()) {
    const auto found = first_start.find(sent.job);
    if (found == first_start.end()) continue;
    result.worst_start_ms =
        std::max(result.worst_start_ms,
                 static_cast<double>(found->second - sent.sent_ms));
  }
  return result;
}

AddedLatency MeasureAddedLatency(Deployment& deployment, int rate,
                                 int64_t run_ms, TimeMs duration_ms) {
  AddedLatency result;
  DirectSender direct(deployment, run_ms);
  int failed = 0;
  OpenLoop direct_run(deployment, rate,
                      [&](int index, std::function<void(bool)> done) {
                        direct.Send(index, std::move(done));
                      });
  const std::vector<double> direct_times = direct_run.Run(duration_ms, failed);
  result.failed += failed;
  OpenLoop system_run(
      deployment, rate, [&](int index, std::function<void(bool)> done) {
        SendThroughEntry(deployment, run_ms, index, std::move(done));
      });
  const std::vector<double> system_times = system_run.Run(duration_ms, failed);
  result.failed += failed;
  result.direct_p50_ms = Percentile(direct_times, 0.5);
  result.direct_p99_ms = Percentile(direct_times, 0.99);
  result.added_p50_ms = Percentile(system_times, 0.5) - result.direct_p50_ms;
  result.added_p99_ms = Percentile(system_times, 0.99) - result.direct_p99_ms;
  return result;
}

}  // namespace dotterelcove
