#include "standins/PlatformStandin.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/Clock.h"

namespace dotterelcove {
namespace {

using nlohmann::json;

constexpr size_t kMaxBodyBytes = 64 << 20;
constexpr std::string_view kObjectPath = "/v1/objects/";

/// libmicrohttpd refuses a status outside 100…999 and closes the connection,
/// which simulates a lost answer.
HttpResponse MakeLostAnswer() {
  HttpResponse response;
  response.status = 0;
  return response;
}

HttpResponse MakeResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

/// Sets `number` or `flag` from a member of the same name, if present; returns
/// false for a wrong type.
bool ReadNumber(const json& body, const char* name, int64_t& number) {
  const auto found = body.find(name);
  if (found == body.end()) return true;
  if (!found->is_number_integer() || found->get<int64_t>() < 0) return false;
  number = found->get<int64_t>();
  return true;
}

bool ReadFlag(const json& body, const char* name, bool& flag) {
  const auto found = body.find(name);
  if (found == body.end()) return true;
  if (!found->is_boolean()) return false;
  flag = found->get<bool>();
  return true;
}

bool HasOnlyKnownFaults(const json& body) {
  static constexpr std::string_view kKnown[] = {
      "outage",       "silent_outage", "delay_ms",       "delay_applied_ms",
      "lose_answers", "lose_requests", "vm_list_lag_ms", "vm_list_frozen"};
  for (const auto& [name, value] : body.items()) {
    if (std::find(std::begin(kKnown), std::end(kKnown), name) ==
        std::end(kKnown)) {
      return false;
    }
  }
  return true;
}

uint64_t Peak(const std::map<int64_t, uint64_t>& by_second) {
  uint64_t peak = 0;
  for (const auto& [second, count] : by_second) peak = std::max(peak, count);
  return peak;
}

uint64_t At(const std::map<int64_t, uint64_t>& by_second, int64_t second) {
  const auto found = by_second.find(second);
  return found == by_second.end() ? 0 : found->second;
}

}  // namespace

PlatformStandin::PlatformStandin(EventLoop& loop)
    : loop(loop), started_ms(MonotonicMs()) {}

PlatformStandin::~PlatformStandin() { this->server.reset(); }

Result<std::unique_ptr<PlatformStandin>> PlatformStandin::Start(
    EventLoop& loop, uint16_t port, std::vector<Vm> vms) {
  std::unique_ptr<PlatformStandin> standin(new PlatformStandin(loop));
  standin->SetVms(std::move(vms));
  HttpServerOptions options;
  options.port = port;
  options.max_body_bytes = kMaxBodyBytes;
  PlatformStandin* self = standin.get();
  BOOST_LEAF_ASSIGN(standin->server,
                    HttpServer::Start(loop, options,
                                      [self](const HttpRequest& request,
                                             const HttpReply& reply) {
                                        self->Handle(request, reply);
                                      }));
  return standin;
}

uint16_t PlatformStandin::port() const { return this->server->port(); }

std::string PlatformStandin::url() const {
  return "http://127.0.0.1:" + std::to_string(this->port());
}

void PlatformStandin::SetVms(std::vector<Vm> vms) {
  this->lists.push_back({MonotonicMs(), std::move(vms)});
}

void PlatformStandin::FreezeVms(bool frozen) {
  if (frozen) this->frozen_list = this->ServedVms();
  this->faults_in_force.vm_list_frozen = frozen;
}

const std::vector<Vm>& PlatformStandin::ServedVms() const {
  if (this->faults_in_force.vm_list_frozen) return this->frozen_list;
  const TimeMs as_of = MonotonicMs() - this->faults_in_force.vm_list_lag_ms;
  const ListVersion* served = &this->lists.front();
  for (const ListVersion& list : this->lists) {
    if (list.since_ms <= as_of) served = &list;
  }
  return served->vms;
}

int64_t PlatformStandin::Second() const {
  return (MonotonicMs() - this->started_ms) / 1'000;
}

void PlatformStandin::CountRead(uint64_t rows) {
  this->counts.reads++;
  this->counts.rows_read += rows;
  this->counts.reads_by_second[this->Second()]++;
}

void PlatformStandin::CountWrite(uint64_t rows) {
  this->counts.writes++;
  this->counts.rows_written += rows;
  this->counts.writes_by_second[this->Second()]++;
}

void PlatformStandin::RunLater(TimeMs delay_ms, std::function<void()> action) {
  const uint64_t id = this->next_timer++;
  auto timer = std::make_unique<Timer>(this->loop,
                                       [this, id, action = std::move(action)] {
                                         this->timers.erase(id);
                                         action();
                                       });
  timer->StartAfter(delay_ms);
  this->timers[id] = std::move(timer);
}

void PlatformStandin::SendLater(const HttpReply& reply, HttpResponse response) {
  const int64_t delay_ms = this->faults_in_force.delay_ms;
  if (delay_ms <= 0) {
    reply.Send(std::move(response));
    return;
  }
  this->RunLater(delay_ms, [reply, response = std::move(response)] {
    reply.Send(response);
  });
}

bool PlatformStandin::RefusedByOutage(const HttpReply& reply) {
  if (!this->faults_in_force.outage && !this->faults_in_force.silent_outage) {
    return false;
  }
  this->counts.faulted++;
  reply.Send(this->faults_in_force.silent_outage
                 ? MakeLostAnswer()
                 : MakeErrorResponse(503, "service is down"));
  return true;
}

void PlatformStandin::Handle(const HttpRequest& request,
                             const HttpReply& reply) {
  if (request.path.starts_with("/control/")) {
    this->HandleControl(request, reply);
    return;
  }
  if (request.path == "/v1/vms" && request.method == "GET") {
    this->counts.vm_list_reads++;
    reply.Send(MakeResponse(200, VmsToJson(this->ServedVms())));
    return;
  }
  if (request.path.starts_with(kObjectPath)) {
    this->HandleObject(request, reply);
    return;
  }
  if (request.method != "POST") {
    reply.Send(MakeErrorResponse(404, "no such resource"));
    return;
  }
  if (request.path == "/v1/transact") {
    this->HandleTransact(request, reply);
    return;
  }
  if (request.path == "/v1/read") {
    this->HandleRead(request, reply);
    return;
  }
  if (request.path == "/v1/scan") {
    this->HandleScan(request, reply);
    return;
  }
  reply.Send(MakeErrorResponse(404, "no such resource"));
}

void PlatformStandin::HandleTransact(const HttpRequest& request,
                                     const HttpReply& reply) {
  TableTransaction transaction;
  if (!TransactionFromJson(request.body, transaction)) {
    reply.Send(MakeErrorResponse(400, "malformed transaction"));
    return;
  }
  this->CountWrite(transaction.puts.size());
  if (this->RefusedByOutage(reply)) return;
  PlatformFaults& faults = this->faults_in_force;
  if (faults.lose_requests > 0) {
    faults.lose_requests--;
    this->counts.faulted++;
    reply.Send(MakeLostAnswer());
    return;
  }
  const bool lose_answer = faults.lose_answers > 0;
  if (lose_answer) {
    faults.lose_answers--;
    this->counts.faulted++;
  }
  auto apply = [this, reply, lose_answer,
                transaction = std::move(transaction)] {
    const TransactResult result = Commit(this->state, transaction);
    if (lose_answer) {
      this->SendLater(reply, MakeLostAnswer());
      return;
    }
    this->SendLater(reply,
                    result.status == TableStatus::kOk
                        ? MakeResponse(200, CommitToJson(result.version))
                        : MakeResponse(409, ConflictToJson(result.conflict)));
  };
  if (faults.delay_applied_ms > 0) {
    this->RunLater(faults.delay_applied_ms, apply);
    return;
  }
  apply();
}

void PlatformStandin::HandleRead(const HttpRequest& request,
                                 const HttpReply& reply) {
  std::vector<std::string> keys;
  if (!KeysFromJson(request.body, keys)) {
    reply.Send(MakeErrorResponse(400, "malformed read"));
    return;
  }
  this->CountRead(keys.size());
  if (this->RefusedByOutage(reply)) return;
  this->SendLater(reply,
                  MakeResponse(200, RowsToJson(Read(this->state, keys))));
}

void PlatformStandin::HandleScan(const HttpRequest& request,
                                 const HttpReply& reply) {
  ScanRequest scan;
  if (!ScanRequestFromJson(request.body, scan)) {
    reply.Send(MakeErrorResponse(400, "malformed scan"));
    return;
  }
  const ReadResult result = Scan(this->state, scan);
  this->CountRead(result.rows.size());
  if (this->RefusedByOutage(reply)) return;
  this->SendLater(reply, MakeResponse(200, RowsToJson(result)));
}

void PlatformStandin::HandleObject(const HttpRequest& request,
                                   const HttpReply& reply) {
  const std::string name = request.path.substr(kObjectPath.size());
  const bool put = request.method == "PUT";
  if (name.empty() || (!put && request.method != "GET")) {
    reply.Send(MakeErrorResponse(404, "no such resource"));
    return;
  }
  if (put) {
    this->CountWrite(1);
  } else {
    this->CountRead(1);
  }
  if (this->RefusedByOutage(reply)) return;
  if (put) {
    this->state.objects[name] = request.body;
    this->SendLater(reply, MakeResponse(200, "{}"));
    return;
  }
  const auto found = this->state.objects.find(name);
  if (found == this->state.objects.end()) {
    this->SendLater(reply, MakeErrorResponse(404, "no such object"));
    return;
  }
  HttpResponse response = MakeResponse(200, found->second);
  response.content_type = "application/octet-stream";
  this->SendLater(reply, std::move(response));
}

void PlatformStandin::HandleControl(const HttpRequest& request,
                                    const HttpReply& reply) {
  if (request.method == "POST" && request.path == "/control/fault") {
    reply.Send(this->SetFaults(request.body));
    return;
  }
  if (request.method == "POST" && request.path == "/control/vms") {
    reply.Send(this->ChangeVms(request.body));
    return;
  }
  if (request.method == "GET" && request.path == "/control/journal") {
    const auto after = request.query.find("after");
    const uint64_t version =
        after == request.query.end()
            ? 0
            : std::strtoull(after->second.c_str(), nullptr, 10);
    reply.Send(MakeResponse(200, JournalToJson(this->state, version)));
    return;
  }
  if (request.method == "GET" && request.path == "/control/stats") {
    reply.Send(MakeResponse(200, this->StatsToJson()));
    return;
  }
  reply.Send(MakeErrorResponse(404, "no such resource"));
}

HttpResponse PlatformStandin::SetFaults(const std::string& body) {
  const json fault = json::parse(body, nullptr, false);
  PlatformFaults next = this->faults_in_force;
  if (!fault.is_object() || !HasOnlyKnownFaults(fault) ||
      !ReadFlag(fault, "outage", next.outage) ||
      !ReadFlag(fault, "silent_outage", next.silent_outage) ||
      !ReadNumber(fault, "delay_ms", next.delay_ms) ||
      !ReadNumber(fault, "delay_applied_ms", next.delay_applied_ms) ||
      !ReadNumber(fault, "lose_answers", next.lose_answers) ||
      !ReadNumber(fault, "lose_requests", next.lose_requests) ||
      !ReadNumber(fault, "vm_list_lag_ms", next.vm_list_lag_ms) ||
      !ReadFlag(fault, "vm_list_frozen", next.vm_list_frozen)) {
    return MakeErrorResponse(400, "malformed fault");
  }
  const bool frozen = next.vm_list_frozen;
  if (frozen && !this->faults_in_force.vm_list_frozen) this->FreezeVms(true);
  this->faults_in_force = next;
  return MakeResponse(200, "{}");
}

HttpResponse PlatformStandin::ChangeVms(const std::string& body) {
  const json change = json::parse(body, nullptr, false);
  if (!change.is_object()) return MakeErrorResponse(400, "malformed VM list");
  std::vector<Vm> vms;
  if (change.contains("vms")) {
    if (!VmsFromJson(body, vms)) {
      return MakeErrorResponse(400, "malformed VM list");
    }
    this->SetVms(std::move(vms));
    return MakeResponse(200, "{}");
  }
  std::vector<Vm> set;
  if (change.contains("set") &&
      !VmsFromJson(json{{"vms", change["set"]}}.dump(), set)) {
    return MakeErrorResponse(400, "malformed VM list");
  }
  const json removed = change.value("remove", json::array());
  vms = this->lists.back().vms;
  std::erase_if(vms, [&](const Vm& vm) {
    const bool replaced = std::any_of(
        set.begin(), set.end(), [&](const Vm& v) { return v.id == vm.id; });
    return replaced || std::find(removed.begin(), removed.end(), json(vm.id)) !=
                           removed.end();
  });
  vms.insert(vms.end(), set.begin(), set.end());
  this->SetVms(std::move(vms));
  return MakeResponse(200, "{}");
}

std::string PlatformStandin::StatsToJson() const {
  const PlatformStats& stats = this->counts;
  const int64_t last = this->Second() - 1;
  return json{{"reads", stats.reads},
              {"writes", stats.writes},
              {"rows_read", stats.rows_read},
              {"rows_written", stats.rows_written},
              {"vm_list_reads", stats.vm_list_reads},
              {"faulted", stats.faulted},
              {"reads_per_second", At(stats.reads_by_second, last)},
              {"writes_per_second", At(stats.writes_by_second, last)},
              {"peak_reads_per_second", Peak(stats.reads_by_second)},
              {"peak_writes_per_second", Peak(stats.writes_by_second)},
              {"seconds", this->Second()}}
      .dump();
}

}  // namespace dotterelcove
