#include "standins/EndpointStandin.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/Clock.h"

namespace dotterelcove {
namespace {

constexpr int64_t kDefaultRunMs = 5;
constexpr int64_t kMaxResultBytes = 64 << 20;
/// Entries kept in memory; the file holds all.
constexpr size_t kMaxEntries = 100'000;
/// Connections beyond the endpoint's limit are accepted and journaled, so that
/// a violation is seen rather than hidden in the listen queue.
constexpr unsigned kMaxConnections = 1'024;

/// What a run's body asks for.
struct RunPlan {
  int64_t run_ms = kDefaultRunMs;
  std::string result = "ok";
};

RunPlan ReadPlan(const std::string& body) {
  RunPlan plan;
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) return plan;
  if (json.contains("run_ms") && json["run_ms"].is_number()) {
    plan.run_ms = std::max<int64_t>(0, json["run_ms"].get<int64_t>());
  }
  if (json.contains("result") && json["result"].is_string()) {
    plan.result = json["result"].get<std::string>();
  }
  if (json.contains("result_bytes") && json["result_bytes"].is_number()) {
    const auto bytes = std::clamp<int64_t>(json["result_bytes"].get<int64_t>(),
                                           0, kMaxResultBytes);
    plan.result.resize(static_cast<size_t>(bytes), 'x');
  }
  return plan;
}

uint16_t PortOf(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) return 0;
  return static_cast<uint16_t>(std::atoi(address.c_str() + colon + 1));
}

/// Host of "http://host:port/…".
std::string HostOf(const std::string& address) {
  const size_t begin = address.find("://");
  const size_t host = begin == std::string::npos ? 0 : begin + 3;
  return address.substr(host, address.rfind(':') - host);
}

int64_t HeaderNumber(const HttpRequest& request, const std::string& name) {
  const auto found = request.headers.find(name);
  if (found == request.headers.end()) return 0;
  return std::strtoll(found->second.c_str(), nullptr, 10);
}

/// Reads a fault that is on or off; a number counts as on unless it is 0.
bool ReadFlag(const nlohmann::json& value, bool& flag) {
  if (!value.is_boolean() && !value.is_number_integer()) return false;
  flag = value.is_boolean() ? value.get<bool>() : value.get<int64_t>() != 0;
  return true;
}

/// Changes the faults that `json` names; false for a wrong type or name.
bool ReadFaults(const nlohmann::json& json, EndpointFaults& faults) {
  const std::pair<const char*, bool*> flags[] = {
      {"leaving", &faults.leaving},
      {"unreachable", &faults.unreachable},
      {"fail", &faults.fail}};
  size_t read = json.contains("endpoint") ? 1 : 0;
  for (const auto& [name, flag] : flags) {
    if (!json.contains(name)) continue;
    if (!ReadFlag(json[name], *flag)) return false;
    read++;
  }
  if (json.contains("lose_answers")) {
    const auto& value = json["lose_answers"];
    if (!value.is_boolean() && !value.is_number_integer()) return false;
    // "true" is all answers from now on.
    faults.lose_answers = value.is_boolean()
                              ? (value.get<bool>() ? INT64_MAX : 0)
                              : value.get<int64_t>();
    read++;
  }
  if (json.contains("delay_ms")) {
    if (!json["delay_ms"].is_number_integer()) return false;
    faults.delay_ms = json["delay_ms"].get<int64_t>();
    read++;
  }
  if (json.contains("slow")) {
    if (!json["slow"].is_number()) return false;
    faults.slow = json["slow"].get<double>();
    read++;
  }
  return read == json.size();
}

/// One endpoint and its server.
struct Endpoint {
  Vm vm;
  uint16_t port = 0;
  EndpointFaults faults;
  int64_t busy_slots = 0;
  std::unique_ptr<HttpServer> server;
};

/// A timer of a run or of a delayed answer.
struct Pending {
  std::unique_ptr<Timer> timer;
};

}  // namespace

struct EndpointStandin::State {
  explicit State(EventLoop& loop)
      : loop(loop), reaper(loop, [this] { this->finished.clear(); }) {}
  ~State() {
    // Servers go before the endpoints that their handlers refer to.
    this->control.reset();
    for (auto& [id, endpoint] : this->endpoints) endpoint->server.reset();
    if (this->file != nullptr) std::fclose(this->file);
  }

  bool Listen(Endpoint& endpoint);
  void Handle(Endpoint& endpoint, const HttpRequest& request, HttpReply reply);
  void HandleControl(const HttpRequest& request, const HttpReply& reply,
                     const std::string& default_id);
  void Run(Endpoint& endpoint, const HttpRequest& request, HttpReply reply);
  void EndRun(Endpoint& endpoint, const std::string& request, RunPlan plan,
              bool cut_off, const HttpReply& reply);
  void Journal(const Endpoint& endpoint, const std::string& request,
               const std::string& event);
  void After(int64_t delay_ms, std::function<void()> action);
  void Apply(Endpoint& endpoint, const EndpointFaults& faults);

  EventLoop& loop;
  std::map<std::string, std::unique_ptr<Endpoint>> endpoints;
  std::map<uint64_t, Pending> pending;
  std::vector<Pending> finished;
  std::vector<std::unique_ptr<HttpServer>> closed;
  std::unique_ptr<HttpServer> control;
  uint64_t next_timer = 1;
  std::deque<EndpointEntry> entries;
  FILE* file = nullptr;
  Timer reaper;
};

void EndpointStandin::State::After(int64_t delay_ms,
                                   std::function<void()> action) {
  const uint64_t id = this->next_timer++;
  auto timer = std::make_unique<Timer>(
      this->loop, [this, id, action = std::move(action)] {
        const auto found = this->pending.find(id);
        // Kept until after the callback, which runs on this timer.
        this->finished.push_back(std::move(found->second));
        this->pending.erase(found);
        this->reaper.StartAfter(0);
        action();
      });
  timer->StartAfter(delay_ms);
  this->pending[id] = {std::move(timer)};
}

void EndpointStandin::State::Journal(const Endpoint& endpoint,
                                     const std::string& request,
                                     const std::string& event) {
  EndpointEntry entry;
  entry.wall_ms = WallMs();
  entry.monotonic_us = MonotonicUs();
  entry.endpoint = endpoint.vm.id;
  entry.request = request;
  entry.event = event;
  entry.busy_slots = endpoint.busy_slots;
  entry.open_connections =
      endpoint.server == nullptr
          ? 0
          : static_cast<int64_t>(endpoint.server->open_connections());
  if (this->file != nullptr) {
    const nlohmann::json json = {{"wall_ms", entry.wall_ms},
                                 {"monotonic_us", entry.monotonic_us},
                                 {"endpoint", entry.endpoint},
                                 {"request", entry.request},
                                 {"event", entry.event},
                                 {"busy_slots", entry.busy_slots},
                                 {"open_connections", entry.open_connections}};
    // One write a line, so that a killed process leaves whole lines.
    const std::string line =
        json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
        "\n";
    std::fwrite(line.data(), 1, line.size(), this->file);
    std::fflush(this->file);
  }
  this->entries.push_back(std::move(entry));
  if (this->entries.size() > kMaxEntries) this->entries.pop_front();
}

bool EndpointStandin::State::Listen(Endpoint& endpoint) {
  HttpServerOptions options;
  options.address = HostOf(endpoint.vm.address);
  options.port = endpoint.port;
  options.max_body_bytes = 16 << 20;
  options.max_connections = kMaxConnections;
  return leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_ASSIGN(
            endpoint.server,
            HttpServer::Start(
                this->loop, options,
                [this, &endpoint](const HttpRequest& request, HttpReply reply) {
                  this->Handle(endpoint, request, std::move(reply));
                }));
        endpoint.port = endpoint.server->port();
        return true;
      },
      [] { return false; });
}

void EndpointStandin::State::Apply(Endpoint& endpoint,
                                   const EndpointFaults& faults) {
  endpoint.faults = faults;
  if (faults.unreachable && endpoint.server != nullptr) {
    // Runs in progress go on, and so do connections that are open already.
    endpoint.server->StopListening();
  }
  const bool closed =
      endpoint.server == nullptr || !endpoint.server->is_listening();
  if (!faults.unreachable && closed) {
    this->closed.push_back(std::move(endpoint.server));
    this->Listen(endpoint);
  }
}

void EndpointStandin::State::Handle(Endpoint& endpoint,
                                    const HttpRequest& request,
                                    HttpReply reply) {
  if (request.method == "POST" && request.path == "/run") {
    this->Run(endpoint, request, std::move(reply));
    return;
  }
  this->HandleControl(request, reply, endpoint.vm.id);
}

void EndpointStandin::State::HandleControl(const HttpRequest& request,
                                           const HttpReply& reply,
                                           const std::string& default_id) {
  if (request.method == "POST" && request.path == "/control/fault") {
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
      reply.Send(MakeErrorResponse(400, "allowed: one JSON object"));
      return;
    }
    const std::string id = json.value("endpoint", default_id);
    if (!this->endpoints.contains(id)) {
      reply.Send(MakeErrorResponse(404, "endpoint: not one of this process"));
      return;
    }
    Endpoint& target = *this->endpoints.at(id);
    EndpointFaults faults = target.faults;
    if (!ReadFaults(json, faults)) {
      reply.Send(MakeErrorResponse(400, "wrong type, or unknown fault"));
      return;
    }
    HttpResponse response;
    response.body = "{}";
    reply.Send(std::move(response));
    // After the answer, since the fault may close the server that gives it.
    this->After(0, [this, &target, faults] { this->Apply(target, faults); });
    return;
  }
  if (request.path == "/healthz") {
    reply.Send(HttpResponse{.body = "{}", .headers = {}});
    return;
  }
  reply.Send(MakeErrorResponse(404, "allowed: /run, /control/fault, /healthz"));
}

void EndpointStandin::State::Run(Endpoint& endpoint, const HttpRequest& request,
                                 HttpReply reply) {
  const auto id = request.headers.find("x-request-id");
  const std::string request_id = id == request.headers.end() ? "" : id->second;
  if (static_cast<int64_t>(endpoint.server->open_connections()) >
      endpoint.vm.connections) {
    this->Journal(endpoint, request_id, "over_connections");
  }
  if (endpoint.faults.unreachable) {
    // A connection opened before the fault; nothing runs.
    reply.Abort();
    return;
  }
  const bool full = endpoint.busy_slots >= endpoint.vm.slots;
  if (full || endpoint.faults.leaving) {
    this->Journal(endpoint, request_id, full ? "over_slots" : "refused");
    HttpResponse response =
        MakeErrorResponse(503, full ? "no free slot" : "leaving");
    if (endpoint.faults.leaving) {
      response.headers.emplace_back("X-Endpoint-State", "leaving");
    }
    reply.Send(std::move(response));
    return;
  }
  RunPlan plan = ReadPlan(request.body);
  plan.run_ms = static_cast<int64_t>(static_cast<double>(plan.run_ms) *
                                     endpoint.faults.slow);
  // Work stops at its deadline, so a slot is never held longer.
  const int64_t deadline_ms = HeaderNumber(request, "x-deadline-ms");
  const bool cut_off = deadline_ms > 0 && plan.run_ms > deadline_ms;
  if (cut_off) plan.run_ms = deadline_ms;
  endpoint.busy_slots++;
  this->Journal(endpoint, request_id, "started");
  const int64_t run_ms = plan.run_ms;
  this->After(run_ms, [this, &endpoint, request_id, plan = std::move(plan),
                       cut_off, reply = std::move(reply)] {
    this->EndRun(endpoint, request_id, plan, cut_off, reply);
  });
}

void EndpointStandin::State::EndRun(Endpoint& endpoint,
                                    const std::string& request, RunPlan plan,
                                    bool cut_off, const HttpReply& reply) {
  endpoint.busy_slots--;
  this->Journal(endpoint, request, "ended");
  if (endpoint.faults.lose_answers > 0) {
    endpoint.faults.lose_answers--;
    reply.Abort();
    return;
  }
  HttpResponse response;
  response.content_type = "application/octet-stream";
  response.body = std::move(plan.result);
  if (endpoint.faults.fail) response = MakeErrorResponse(500, "run failed");
  if (cut_off) response = MakeErrorResponse(504, "deadline passed");
  if (endpoint.faults.leaving) {
    response.headers.emplace_back("X-Endpoint-State", "leaving");
  }
  if (endpoint.faults.delay_ms <= 0) {
    reply.Send(std::move(response));
    return;
  }
  this->After(
      endpoint.faults.delay_ms,
      [reply, response = std::move(response)] { reply.Send(response); });
}

EndpointStandin::EndpointStandin(std::unique_ptr<State> state)
    : state(std::move(state)) {}

EndpointStandin::~EndpointStandin() = default;

Result<std::unique_ptr<EndpointStandin>> EndpointStandin::Start(
    EventLoop& loop, const std::vector<Vm>& vms, const std::string& journal,
    uint16_t control_port) {
  auto state = std::make_unique<State>(loop);
  if (!journal.empty()) {
    state->file = std::fopen(journal.c_str(), "ae");
    if (state->file == nullptr) return leaf::new_error(HttpListenError{});
  }
  for (const Vm& vm : vms) {
    if (vm.role != VmRole::kEndpoint) continue;
    auto endpoint = std::make_unique<Endpoint>();
    endpoint->vm = vm;
    endpoint->port = PortOf(vm.address);
    if (!state->Listen(*endpoint)) {
      return leaf::new_error(HttpListenError{vm.address, endpoint->port});
    }
    state->endpoints[vm.id] = std::move(endpoint);
  }
  if (control_port != 0) {
    HttpServerOptions options;
    options.port = control_port;
    State* self = state.get();
    BOOST_LEAF_ASSIGN(
        state->control,
        HttpServer::Start(
            loop, options,
            [self](const HttpRequest& request, const HttpReply& reply) {
              self->HandleControl(request, reply, "");
            }));
  }
  return std::unique_ptr<EndpointStandin>(
      new EndpointStandin(std::move(state)));
}

void EndpointStandin::SetFaults(const std::string& endpoint,
                                const EndpointFaults& faults) {
  this->state->Apply(*this->state->endpoints.at(endpoint), faults);
}

std::string EndpointStandin::address(const std::string& endpoint) const {
  const Endpoint& found = *this->state->endpoints.at(endpoint);
  return "http://" + HostOf(found.vm.address) + ":" +
         std::to_string(found.port);
}

const std::deque<EndpointEntry>& EndpointStandin::entries() const {
  return this->state->entries;
}

size_t EndpointStandin::Count(const std::string& event,
                              const std::string& request) const {
  return static_cast<size_t>(
      std::count_if(this->state->entries.begin(), this->state->entries.end(),
                    [&](const EndpointEntry& entry) {
                      return entry.event == event &&
                             (request.empty() || entry.request == request);
                    }));
}

}  // namespace dotterelcove
