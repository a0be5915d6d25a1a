#include "standins/WorkerStandin.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace dotterelcove::standins {
namespace {

// Longer than any caller waits. The late answer frees the connection and no
// caller reads it.
constexpr int64_t kLostHoldMs = 20'000;

struct AnswerRow {
  WorkerStatus status;
  int http_status;
};

constexpr AnswerRow kAnswerRows[] = {
    {WorkerStatus::kOk, 200},         {WorkerStatus::kStaleToken, 409},
    {WorkerStatus::kNoCapacity, 507}, {WorkerStatus::kDuplicate, 208},
    {WorkerStatus::kRefused, 403},
};

HttpResponse ToResponse(const WorkerAnswer& answer) {
  HttpResponse response;
  for (const AnswerRow& row : kAnswerRows) {
    if (row.status == answer.status) response.status = row.http_status;
  }
  response.body =
      answer.status == WorkerStatus::kOk ? answer.body : ToJson(answer.refusal);
  if (response.body.empty()) response.body = "{}";
  return response;
}

struct FaultField {
  const char* name;
  bool WorkerFaults::*field;
};

constexpr FaultField kFaultFields[] = {
    {"fail_all", &WorkerFaults::fail_all},
    {"refuse_all", &WorkerFaults::refuse_all},
    {"unreachable", &WorkerFaults::unreachable},
    {"dead", &WorkerFaults::dead},
    {"frozen", &WorkerFaults::frozen},
};

/// Applies the fields of a fault request; returns false for a field of another
/// type, so that a fault is never silently left out.
bool ReadFaults(const nlohmann::json& json, WorkerFaults& faults) {
  for (const FaultField& row : kFaultFields) {
    if (!json.contains(row.name)) continue;
    if (!json[row.name].is_boolean()) return false;
    faults.*row.field = json[row.name].get<bool>();
  }
  if (json.contains("lose_answers")) {
    const auto& value = json["lose_answers"];
    if (!value.is_boolean() && !value.is_number_integer()) return false;
    // "true" loses all further answers.
    const int64_t all = value == true ? INT64_MAX : 0;
    faults.lose_answers = value.is_boolean() ? all : value.get<int64_t>();
  }
  if (json.contains("delay_ms")) {
    if (!json["delay_ms"].is_number_integer()) return false;
    faults.delay_ms = json["delay_ms"].get<int64_t>();
  }
  return true;
}

}  // namespace

struct WorkerStandin::Worker {
  Vm vm;
  WorkerFaults faults;
  std::unique_ptr<WorkerModel> model;
  /// Requests that arrived while the worker was frozen.
  std::vector<std::pair<HttpRequest, HttpReply>> held;
};

WorkerStandin::WorkerStandin(EventLoop& loop, WorkerStandinOptions options)
    : loop(loop),
      options(std::move(options)),
      task_journal(this->options.journal_file) {
  for (const Vm& vm : this->options.vms) {
    if (vm.role != VmRole::kWorker) continue;
    auto worker = std::make_unique<Worker>();
    worker->vm = vm;
    WorkerModelOptions model;
    model.id = vm.id;
    model.capacity = vm.capacity;
    model.speed = this->options.speed;
    model.default_run_ms = this->options.default_run_ms;
    model.usage_delay_ms = this->options.usage_delay_ms;
    worker->model =
        std::make_unique<WorkerModel>(loop, model, this->task_journal);
    this->workers[vm.id] = std::move(worker);
  }
}

WorkerStandin::~WorkerStandin() = default;

Result<std::unique_ptr<WorkerStandin>> WorkerStandin::Start(
    EventLoop& loop, WorkerStandinOptions options) {
  std::unique_ptr<WorkerStandin> standin(
      new WorkerStandin(loop, std::move(options)));
  HttpServerOptions server;
  server.address = standin->options.address;
  server.port = standin->options.port;
  server.max_body_bytes = 4 << 20;
  server.receive_timeout_ms = 60'000;
  server.max_connections = 16'384;
  WorkerStandin* self = standin.get();
  BOOST_LEAF_ASSIGN(standin->server,
                    HttpServer::Start(loop, server,
                                      [self](const HttpRequest& request,
                                             const HttpReply& reply) {
                                        self->Handle(request, reply);
                                      }));
  for (auto& [id, worker] : standin->workers) {
    worker->vm.address = standin->UrlOf(id);
  }
  return standin;
}

uint16_t WorkerStandin::port() const { return this->server->port(); }

std::string WorkerStandin::UrlOf(const std::string& worker) const {
  return "http://" + this->options.address + ":" +
         std::to_string(this->port()) + "/w/" + worker;
}

std::vector<Vm> WorkerStandin::vms() const {
  std::vector<Vm> vms;
  for (const auto& [id, worker] : this->workers) vms.push_back(worker->vm);
  return vms;
}

const WorkerJournal& WorkerStandin::journal() const {
  return this->task_journal;
}

WorkerFaults WorkerStandin::faults(const std::string& worker) const {
  const auto found = this->workers.find(worker);
  return found == this->workers.end() ? WorkerFaults{} : found->second->faults;
}

size_t WorkerStandin::running(const std::string& worker) const {
  return this->workers.at(worker)->model->running();
}

bool WorkerStandin::SetFaults(const std::string& worker,
                              const WorkerFaults& faults) {
  const auto found = this->workers.find(worker);
  if (found == this->workers.end()) return false;
  Worker& target = *found->second;
  if (faults.dead && !target.faults.dead) target.model->Crash();
  target.faults = faults;
  target.model->SetFailAll(faults.fail_all);
  target.model->SetRefuseAll(faults.refuse_all);
  target.model->SetFrozen(faults.frozen);
  if (faults.frozen) return true;
  auto held = std::move(target.held);
  target.held.clear();
  for (const auto& [request, reply] : held) {
    this->Process(target, request, reply);
  }
  return true;
}

void WorkerStandin::RunAfter(int64_t delay_ms, std::function<void()> action) {
  const uint64_t id = this->next_timer++;
  auto timer = std::make_unique<Timer>(
      this->loop, [this, id, action = std::move(action)] {
        // Erasing the timer destroys this callback, so it is kept until the
        // end.
        const auto node = this->delay_timers.extract(id);
        action();
      });
  timer->StartAfter(delay_ms);
  this->delay_timers[id] = std::move(timer);
}

void WorkerStandin::HoldLostAnswer(const HttpReply& reply) {
  this->RunAfter(kLostHoldMs, [reply] {
    reply.Send(MakeErrorResponse(500, "this answer was lost"));
  });
}

void WorkerStandin::Handle(const HttpRequest& request, const HttpReply& reply) {
  if (request.path == "/control/fault") {
    this->HandleFault(request, reply);
    return;
  }
  const std::string prefix = "/w/";
  const size_t end = request.path.find('/', prefix.size());
  if (!request.path.starts_with(prefix) || end == std::string::npos) {
    reply.Send(MakeErrorResponse(404, "no such path"));
    return;
  }
  const auto found = this->workers.find(
      request.path.substr(prefix.size(), end - prefix.size()));
  if (found == this->workers.end()) {
    reply.Send(MakeErrorResponse(410, "no such worker"));
    return;
  }
  Worker& worker = *found->second;
  if (worker.faults.delay_ms <= 0) {
    this->Deliver(worker, request, reply);
    return;
  }
  this->RunAfter(worker.faults.delay_ms, [this, &worker, request, reply] {
    this->Deliver(worker, request, reply);
  });
}

void WorkerStandin::Deliver(Worker& worker, const HttpRequest& request,
                            const HttpReply& reply) {
  if (worker.faults.dead || worker.faults.unreachable) {
    this->HoldLostAnswer(reply);
    return;
  }
  if (worker.faults.frozen) {
    worker.held.emplace_back(request, reply);
    return;
  }
  this->Process(worker, request, reply);
}

void WorkerStandin::Process(Worker& worker, const HttpRequest& request,
                            const HttpReply& reply) {
  const std::string path = request.path.substr(request.path.find("/v1/"));
  const auto malformed = [&reply] {
    reply.Send(MakeErrorResponse(400, "malformed request"));
  };
  WorkerModel& model = *worker.model;
  if (path == "/v1/fence") {
    FenceRequest fence;
    if (!FromJson(request.body, fence)) return malformed();
    return this->Answer(worker, reply, model.Fence(fence));
  }
  if (path == "/v1/start") {
    StartRequest start;
    if (!FromJson(request.body, start)) return malformed();
    return this->Answer(worker, reply, model.Start(start));
  }
  if (path == "/v1/control") {
    ControlRequest control;
    if (!FromJson(request.body, control)) return malformed();
    return this->Answer(worker, reply, model.Control(control));
  }
  if (path == "/v1/sync") {
    SyncRequest sync;
    if (!FromJson(request.body, sync)) return malformed();
    model.Sync(sync, [this, &worker, reply](const WorkerAnswer& answer) {
      this->Answer(worker, reply, answer);
    });
    return;
  }
  reply.Send(MakeErrorResponse(404, "no such path"));
}

void WorkerStandin::Answer(Worker& worker, const HttpReply& reply,
                           const WorkerAnswer& answer) {
  // A network partition blocks both directions, so a pending answer is lost.
  const bool is_lost = worker.faults.lose_answers > 0;
  if (is_lost) worker.faults.lose_answers--;
  if (is_lost || worker.faults.unreachable) {
    this->HoldLostAnswer(reply);
    return;
  }
  reply.Send(ToResponse(answer));
}

void WorkerStandin::HandleFault(const HttpRequest& request,
                                const HttpReply& reply) {
  const auto json = nlohmann::json::parse(request.body, nullptr, false);
  if (!json.is_object() || !json.contains("worker") ||
      !json["worker"].is_string()) {
    reply.Send(MakeErrorResponse(400, "a worker must be named"));
    return;
  }
  const std::string name = json["worker"].get<std::string>();
  std::vector<std::string> names;
  for (const auto& [id, worker] : this->workers) {
    if (name == "*" || name == id) names.push_back(id);
  }
  if (names.empty()) {
    reply.Send(MakeErrorResponse(404, "no such worker"));
    return;
  }
  for (const std::string& id : names) {
    WorkerFaults faults = this->faults(id);
    if (!ReadFaults(json, faults)) {
      reply.Send(MakeErrorResponse(400, "a fault has a value of another type"));
      return;
    }
    this->SetFaults(id, faults);
  }
  HttpResponse response;
  response.body = "{}";
  reply.Send(response);
}

}  // namespace dotterelcove::standins
