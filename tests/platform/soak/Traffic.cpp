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
constexpr std::pair<JobKind, uint64_t> kShares[] = {{JobKind::kShort, 54},
                                                    {JobKind::kChain, 26},
                                                    {JobKind::kGang, 10},
                                                    {JobKind::kLasting, 5},
                                                    {JobKind::kFailing, 5}};

JobKind DrawKind(std::mt19937_64& random) {
  constexpr uint64_t kAll = 100;
  uint64_t drawn = random() % kAll;
  for (const auto& [kind, percent] : kShares) {
    if (drawn < percent) return kind;
    drawn -= percent;
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
      calls(cell),
      random(seed),
      jobs_per_second(jobs_per_second),
      next_ms(NowMs()) {
  for (size_t i = 0; i < cell.daemons.size(); ++i) {
    this->clients.emplace_back([this, i] { this->ProbeQueues(i); });
  }
}

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
  constexpr uint64_t kOneInSpreads = 4;
  switch (DrawKind(this->random)) {
    case JobKind::kShort:
      spec = "ms=800";
      steps.push_back(MakeStep(6, 1'300, 800));
      if (this->random() % kOneInSpreads == 0) steps[0]["max_per_server"] = 1;
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
    case JobKind::kGang:
      spec = "ms=1500 gang=0:4";
      steps.push_back(MakeStep(4, 1'500, 1'500));
      steps.push_back(MakeStep(2, 500, 1'500));
      steps[0]["gang"] = true;
      steps[1]["after"] = {0};
      job->spec.steps.push_back({4, {}, true, false});
      job->spec.steps.push_back({2, {0}, false, false});
      break;
    case JobKind::kFailing:
      spec = "ms=300 fail";
      steps.push_back(MakeStep(2, 500, 300));
      job->spec.steps.push_back({2, {}, false, false});
      break;
  }
  constexpr uint64_t kMostLuck = 1'000'000;
  spec += " luck=" + std::to_string(1 + this->random() % kMostLuck);
  for (size_t i = 0; i < job->spec.steps.size(); ++i) {
    job->spec.steps[i].milli_cores = steps[i]["cpu"];
  }
  job->spec.spec = spec;
  if (this->cell.about().plant == Plant::kUnasked) spec += " ";
  job->body = Json{{"spec", spec}, {"steps", steps}}.dump();
  job->steps = this->DrawClient();
  job->daemon = this->random();
  return job;
}

void Traffic::ProbeQueues(size_t daemon) {
  constexpr int64_t kProbeMs = 200;
  while (this->calls.Pause(kProbeMs)) {
    for (const std::string& queue : this->cell.ChangedQueues()) {
      this->calls.AskPending(queue, daemon);
    }
  }
}

std::vector<ClientStep> Traffic::DrawClient() {
  constexpr uint64_t kMostPauseMs = 3'000;
  constexpr uint64_t kOneInCancels = 25;
  constexpr uint64_t kOneInHandsInAgain = 12;
  constexpr uint64_t kOneInAsksTwice = 6;
  std::vector<ClientStep> steps(3);
  for (ClientStep& step : steps) {
    step.pause_ms = static_cast<int64_t>(this->random() % kMostPauseMs);
    if (this->random() % kOneInAsksTwice == 0) {
      step.action = ClientAction::kAskTwice;
    }
  }
  if (this->random() % kOneInHandsInAgain == 0) {
    steps[this->random() % 2].action = ClientAction::kHandInAgain;
  }
  if (this->random() % kOneInCancels == 0) {
    steps[1].action = ClientAction::kCancel;
  }
  return steps;
}

void Traffic::PlayClient(Job& job) {
  size_t daemon = job.daemon;
  this->cell.NoteJob(job.spec);
  const ClientCall handed =
      this->calls.Ask(ClientMethod::kSubmit, job.spec, job.body, daemon);
  job.accepted = handed.status >= 200 && handed.status < 300;
  if (!job.accepted) return;
  for (const ClientStep& step : job.steps) {
    if (!this->calls.Pause(step.pause_ms)) return;
    // New connections of a client reach other daemons.
    ++daemon;
    const auto ask = [&](size_t first) {
      this->calls.Ask(ClientMethod::kQuery, job.spec, "", first);
    };
    switch (step.action) {
      case ClientAction::kAsk:
        ask(daemon);
        break;
      case ClientAction::kAskTwice: {
        std::thread other([&] { ask(daemon + 1); });
        ask(daemon);
        other.join();
        break;
      }
      case ClientAction::kHandInAgain:
        this->calls.Ask(ClientMethod::kSubmit, job.spec, job.body, daemon);
        break;
      case ClientAction::kCancel:
        this->calls.Ask(ClientMethod::kCancel, job.spec, "", daemon);
        break;
    }
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
    this->clients.emplace_back([this, &job] { this->PlayClient(job); });
  }
}

void Traffic::Finish() {
  this->calls.End();
  for (std::thread& client : this->clients) client.join();
  this->clients.clear();
}

void Traffic::AskForAll() {
  constexpr size_t kAskers = 8;
  constexpr size_t kTries = 5;
  std::vector<std::thread> askers;
  for (size_t first = 0; first < kAskers; ++first) {
    askers.emplace_back([this, first] {
      for (size_t i = first; i < this->jobs.size(); i += kAskers) {
        const Job& job = *this->jobs[i];
        if (!job.accepted) continue;
        for (size_t attempt = 0; attempt < kTries; ++attempt) {
          const ClientCall call = this->calls.Ask(
              ClientMethod::kQuery, job.spec, "", job.daemon + attempt);
          if (!call.state.empty()) break;
        }
      }
    });
  }
  for (std::thread& asker : askers) asker.join();
}

}  // namespace dotterelcove::soak
