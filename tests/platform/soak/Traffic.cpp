#include "tests/platform/soak/Traffic.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace dotterelcove::soak {
namespace {

using Json = nlohmann::json;

enum class JobKind : uint8_t { kShort, kChain, kLasting, kFailing, kGang };

/// Shares of the kinds of job, in percent.
struct Share {
  JobKind kind;
  uint32_t percent;
};
constexpr Share kShares[] = {{JobKind::kShort, 62},
                             {JobKind::kChain, 28},
                             {JobKind::kLasting, 5},
                             {JobKind::kFailing, 5}};

JobKind DrawKind(std::mt19937_64& random) {
  constexpr uint64_t kAll = 100;
  uint64_t drawn = random() % kAll;
  for (const Share& share : kShares) {
    if (drawn < share.percent) return share.kind;
    drawn -= share.percent;
  }
  return JobKind::kShort;
}

Json MakeStep(uint32_t count, int64_t milli_cores, int64_t duration_ms) {
  return {{"count", count},
          {"cpu", milli_cores},
          {"mem_mb", 256},
          {"est_duration_ms", duration_ms}};
}

}  // namespace

Traffic::Traffic(Cell& cell, uint64_t seed, double jobs_per_second)
    : cell(cell),
      random(seed),
      jobs_per_second(jobs_per_second),
      next_ms(NowMs()) {}

Traffic::~Traffic() { this->Finish(); }

std::unique_ptr<Traffic::Job> Traffic::MakeJob() {
  auto job = std::make_unique<Job>();
  char id[32];
  std::snprintf(id, sizeof(id), "%016llx",
                static_cast<unsigned long long>(this->next_id++));
  job->spec.id = id;
  job->spec.queue = "jobs";
  job->spec.attempts = this->cell.about().attempts;
  Json steps = Json::array();
  std::string spec;
  switch (DrawKind(this->random)) {
    case JobKind::kShort:
      spec = "ms=800";
      steps.push_back(MakeStep(6, 1'300, 800));
      job->spec.steps.push_back({6, {}, false, false});
      break;
    case JobKind::kChain:
      spec = "ms=2500 save";
      steps.push_back(MakeStep(4, 2'700, 2'500));
      steps.push_back(MakeStep(6, 2'700, 2'500));
      steps[0]["checkpointing"] = true;
      steps[1]["checkpointing"] = true;
      steps[1]["after"] = {0};
      job->spec.steps.push_back({4, {}, false, false});
      job->spec.steps.push_back({6, {0}, false, false});
      break;
    case JobKind::kLasting:
      spec = "lasts";
      steps.push_back(MakeStep(4, 500, 400));
      steps[0]["long_running"] = true;
      job->spec.steps.push_back({4, {}, false, true});
      break;
    default:
      spec = "ms=300 fail";
      steps.push_back(MakeStep(2, 500, 300));
      job->spec.steps.push_back({2, {}, false, false});
      break;
  }
  constexpr uint64_t kOneInCancels = 25;
  job->cancels = this->random() % kOneInCancels == 0;
  job->body = Json{{"spec", spec}, {"steps", steps}}.dump();
  return job;
}

void Traffic::Hand(Job& job, uint64_t seed) {
  std::mt19937_64 choice(seed);
  job.accepted = this->cell.Submit(job.spec, job.body);
  constexpr uint64_t kMostPauseMs = 3'000;
  constexpr int kQueries = 3;
  if (!job.accepted) return;
  for (int i = 0; i < kQueries; ++i) {
    SleepMs(static_cast<int64_t>(choice() % kMostPauseMs));
    if (job.cancels && i == 1) this->cell.Cancel(job.spec);
    this->cell.StateOf(job.spec);
  }
}

void Traffic::Advance() {
  constexpr double kMsPerSecond = 1'000;
  std::exponential_distribution<double> pause(this->jobs_per_second /
                                              kMsPerSecond);
  while (NowMs() >= this->next_ms) {
    this->next_ms += static_cast<int64_t>(pause(this->random)) + 1;
    this->jobs.push_back(this->MakeJob());
    Job& job = *this->jobs.back();
    const uint64_t seed = this->random();
    this->clients.emplace_back([this, &job, seed] { this->Hand(job, seed); });
  }
}

void Traffic::Finish() {
  for (std::thread& client : this->clients) client.join();
  this->clients.clear();
}

void Traffic::AskForAll() {
  constexpr size_t kAskers = 8;
  constexpr int kTries = 3;
  std::vector<std::thread> askers;
  for (size_t first = 0; first < kAskers; ++first) {
    askers.emplace_back([this, first] {
      for (size_t i = first; i < this->jobs.size(); i += kAskers) {
        const Job& job = *this->jobs[i];
        if (!job.accepted) continue;
        for (int attempt = 0; attempt < kTries; ++attempt) {
          if (!this->cell.StateOf(job.spec).empty()) break;
        }
      }
    });
  }
  for (std::thread& asker : askers) asker.join();
}

}  // namespace dotterelcove::soak
