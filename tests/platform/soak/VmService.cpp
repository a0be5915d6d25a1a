#include "tests/platform/soak/VmService.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterelcove::soak {
namespace {

using Json = nlohmann::json;

constexpr int64_t kMaintenanceMs = 2'000;
constexpr const char* kPrefix = "vm-";

Reply Refuse(const char* reason) {
  Reply reply;
  reply.status = 409;
  reply.body = Json{{"reason", reason}}.dump();
  return reply;
}

std::string HeaderOf(const Request& request, const char* name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string() : found->second;
}

}  // namespace

VmService::VmService(const std::string& ip, uint16_t port,
                     std::vector<std::unique_ptr<CellWorker>>& workers,
                     StoreStandin& store)
    : workers(workers),
      store(store),
      vms(workers.size()),
      server(ip, port,
             [this](const Request& request) { return this->Handle(request); }) {
}

VmService::~VmService() {
  std::vector<std::thread> last;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->ended = true;
    last.swap(this->threads);
  }
  this->server.Stop();
  for (std::thread& thread : last) thread.join();
  constexpr int64_t kPollMs = 5;
  while (this->held_back > 0) SleepMs(kPollMs);
}

bool VmService::Start() { return this->server.Start(); }

void VmService::RequestWave(const std::vector<size_t>& wanted, int cap) {
  constexpr int64_t kDurationS = 30;
  Json names = Json::array();
  uint64_t wave = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    wave = ++this->last_wave;
    for (const size_t i : wanted) {
      this->vms[i].asked.insert(wave);
      names.push_back(kPrefix + std::to_string(i));
    }
  }
  this->store.Put("op", "wave/" + std::to_string(wave),
                  Json{{"wave", wave},
                       {"machines", std::move(names)},
                       {"duration_s", kDurationS},
                       {"cap", cap}}
                      .dump());
}

void VmService::SetFault(VmFault next) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->fault = next;
}

std::vector<VmOrder> VmService::Orders() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->orders;
}

Reply VmService::Handle(const Request& request) {
  VmFault now;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    now = this->fault;
  }
  if (now.kind == VmFaultKind::kSilent) return this->HoldBack();
  Reply reply;
  if (now.kind == VmFaultKind::kRefuses) {
    reply.status = 503;
    return reply;
  }
  if (request.path == "/machine-upkeep") return this->Order(request, now);
  if (now.kind == VmFaultKind::kAnswersLost) return this->HoldBack();
  if (request.path == "/machines") return this->List();
  reply.status = 400;
  return reply;
}

Reply VmService::HoldBack() {
  ++this->held_back;
  SleepUnless(kNoAnswerMs, this->ended);
  --this->held_back;
  Reply reply;
  reply.reset = true;
  return reply;
}

Reply VmService::Order(const Request& request, const VmFault& now) {
  if (now.kind == VmFaultKind::kOrdersLate) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->ended) {
      this->threads.emplace_back([this, request, delay_ms = now.delay_ms] {
        if (SleepUnless(delay_ms, this->ended)) this->Maintain(request);
      });
    }
  }
  if (now.kind == VmFaultKind::kOrdersLate) return this->HoldBack();
  const Reply reply = this->Maintain(request);
  const bool is_answered = now.kind != VmFaultKind::kOrdersUnanswered &&
                           now.kind != VmFaultKind::kAnswersLost;
  return is_answered ? reply : this->HoldBack();
}

Reply VmService::List() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Json machines = Json::array();
  for (size_t i = 0; i < this->vms.size(); ++i) {
    const CellWorkerOptions about = this->workers[i]->about();
    machines.push_back({{"machine", kPrefix + std::to_string(i)},
                        {"pool", about.service},
                        {"state", this->vms[i].is_away ? "upkeep" : "up"},
                        {"zone", about.zone},
                        {"labels", {about.kind, about.rack}},
                        {"capacity",
                         {{"cpu", about.milli_cores},
                          {"mem_mb", about.memory_mb},
                          {"gpu", 0}}},
                        {"id", about.id}});
  }
  Reply reply;
  reply.body =
      Json{{"machines", std::move(machines)}, {"next_token", nullptr}}.dump();
  return reply;
}

Reply VmService::Maintain(const Request& request) {
  const Json body = Json::parse(request.body);
  const std::string name = body.at("machine");
  const uint64_t wave = body.at("wave");
  const auto index =
      std::strtoull(name.c_str() + std::string(kPrefix).size(), nullptr, 10);
  const uint64_t token =
      std::strtoull(HeaderOf(request, "x-fencing-token").c_str(), nullptr, 10);
  const std::lock_guard<std::mutex> lock(this->mutex);
  Reply reply;
  if (!name.starts_with(kPrefix) || index >= this->vms.size()) {
    reply.status = 400;
    return reply;
  }
  Vm& vm = this->vms[index];
  if (token < vm.token) return Refuse("fence");
  vm.token = token;
  if (!vm.asked.contains(wave)) return Refuse("wave");
  if (!vm.begun.contains(wave)) {
    // A worker that crashes, drains or is cut off now is not up.
    const bool is_up = !this->ended && this->workers[index]->free.try_acquire();
    if (!is_up) return Refuse("busy");
    vm.begun.insert(wave);
    vm.is_away = true;
    this->workers[index]->Leave();
    this->threads.emplace_back([this, index] { this->Restart(index); });
  }
  this->orders.push_back(
      {NowMs(), name, HeaderOf(request, "x-duty-holder"), token});
  if (this->plant == Plant::kOne) {
    this->orders.push_back({NowMs(), name, "another holder", token});
  }
  // A call that gets no answer may have been carried out.
  constexpr size_t kOneInLosesAnswer = 5;
  reply.reset = this->orders.size() % kOneInLosesAnswer == 0;
  return reply;
}

void VmService::Restart(size_t index) {
  constexpr int64_t kPollMs = 50;
  SleepMs(kMaintenanceMs);
  CellWorker& worker = *this->workers[index];
  int64_t set_back_ms = 0;
  {
    // Every third worker comes back under the id that it had, and every third
    // of these with its clock set back.
    constexpr uint64_t kOneInKeepsId = 3;
    constexpr uint64_t kOneInSetsBack = 3 * kOneInKeepsId;
    constexpr int64_t kSetBackMs = 60'000;
    const std::lock_guard<std::mutex> lock(this->mutex);
    const uint64_t restart = this->restarts++;
    if (restart % kOneInKeepsId != 0) {
      worker.SetId("i-" + std::to_string(20'000 + restart));
    } else if (restart % kOneInSetsBack == 0) {
      set_back_ms = kSetBackMs;
    }
  }
  while (!worker.Boot(set_back_ms)) SleepMs(kPollMs);
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->vms[index].is_away = false;
  worker.free.release();
}

}  // namespace dotterelcove::soak
