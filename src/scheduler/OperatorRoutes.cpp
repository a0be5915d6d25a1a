#include "scheduler/OperatorRoutes.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/Clock.h"

namespace dotterelcove {
namespace {

using Json = nlohmann::json;

constexpr size_t kDefaultRows = 100;
constexpr size_t kMaxRows = 1'000;

void SendJson(const HttpReply& reply, int status, const Json& json) {
  HttpResponse response;
  response.status = status;
  response.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  reply.Send(std::move(response));
}

Json SizeJson(const Resources& size) {
  return {{"milli_cores", size.milli_cores},
          {"memory_mb", size.memory_mb},
          {"accelerators", size.accelerators}};
}

std::string StateOf(const Term& term, const Job& job) {
  if (job.phase != JobPhase::kOpen) {
    return std::string(NameOf(kJobPhaseNames, job.phase));
  }
  const core::JobExplanation explanation =
      core::Explain(term.cell().cell(), job.submit.job, MonotonicMs());
  return explanation.found ? explanation.state : "open";
}

Json JobJson(const Term& term, const Job& job) {
  const core::JobExplanation explanation =
      core::Explain(term.cell().cell(), job.submit.job, MonotonicMs());
  const auto request_class =
      static_cast<RequestClass>(job.submit.request_class);
  return {{"job", job.submit.job},
          {"caller", job.submit.caller},
          {"key", job.submit.key},
          {"service", job.submit.service},
          {"kind", job.submit.kind},
          {"team", job.submit.team},
          {"class", NameOf(kRequestClassNames, request_class)},
          {"state", StateOf(term, job)},
          {"reason", explanation.reason},
          {"workers", explanation.workers},
          {"tasks", job.members.size()},
          {"recorded", job.recorded},
          {"idempotent", job.submit.idempotent},
          {"age_ms", MonotonicMs() - job.submitted_ms}};
}

Json EndedJson(const std::string& id, const EndedJob& job) {
  return {{"job", id},
          {"state", "ended"},
          {"outcome", NameOf(kOutcomeNames, job.result.outcome)},
          {"reason", job.result.detail},
          {"workers", Json::array({job.result.worker})},
          {"ended_ms_ago", MonotonicMs() - job.ended_ms}};
}

std::string QueryOf(const HttpRequest& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

void ListJobs(const Term& term, const HttpRequest& request,
              const HttpReply& reply) {
  const std::string state = QueryOf(request, "state");
  const std::string after = QueryOf(request, "after");
  const std::string limit_text = QueryOf(request, "limit");
  size_t limit = kDefaultRows;
  if (!limit_text.empty()) {
    limit = std::strtoull(limit_text.c_str(), nullptr, 10);
  }
  limit = std::clamp<size_t>(limit, 1, kMaxRows);
  std::vector<std::string> ids;
  for (const auto& [id, job] : term.jobs().jobs) {
    if (id > after) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  Json jobs = Json::array();
  std::string next;
  for (const std::string& id : ids) {
    const Job& job = *term.jobs().Find(id);
    if (!state.empty() && StateOf(term, job) != state) continue;
    if (jobs.size() == limit) {
      next = jobs.back()["job"].get<std::string>();
      break;
    }
    jobs.push_back(JobJson(term, job));
  }
  SendJson(reply, 200, {{"jobs", std::move(jobs)}, {"next", next}});
}

void ExplainJob(const Term& term, const std::string& id,
                const HttpReply& reply) {
  const Job* const job = term.jobs().Find(id);
  if (job != nullptr) {
    SendJson(reply, 200, JobJson(term, *job));
    return;
  }
  const EndedJob* const ended = term.jobs().ended.Find(id);
  if (ended != nullptr) {
    SendJson(reply, 200, EndedJson(id, *ended));
    return;
  }
  reply.Send(MakeErrorResponse(404, "no job " + id));
}

void ListWorkers(const Term& term, const HttpReply& reply) {
  std::map<std::string, size_t> tasks;
  for (const auto& [id, entry] : term.cell().tasks()) tasks[entry.worker]++;
  Json workers = Json::array();
  for (const std::string& id : term.workers()->ids()) {
    const WorkerSession& session = *term.workers()->Find(id);
    workers.push_back({{"id", id},
                       {"zone", session.vm().zone},
                       {"rack", session.vm().rack},
                       {"state", NameOf(core::kWorkerStateNames,
                                        term.workers()->StateOf(id))},
                       {"session", NameOf(kSessionStateNames, session.state())},
                       {"capacity", SizeJson(session.vm().capacity)},
                       {"tasks", tasks[id]}});
  }
  SendJson(reply, 200, {{"workers", std::move(workers)}});
}

void ListEndpoints(const Term& term, const HttpReply& reply) {
  const TimeMs now = MonotonicMs();
  Json endpoints = Json::array();
  if (term.slots() != nullptr) {
    const EndpointTable& table = term.slots()->endpoints();
    for (const auto& [id, endpoint] : table.endpoints()) {
      std::string state = "live";
      if (table.IsLeaving(endpoint, now)) {
        state = "leaving";
      } else if (now < endpoint.ejected_until_ms) {
        state = "ejected";
      } else if (endpoint.probing) {
        state = "probing";
      }
      endpoints.push_back({{"id", id},
                           {"service", endpoint.vm.service},
                           {"state", state},
                           {"slots", endpoint.vm.slots},
                           {"slots_in_use", endpoint.slots_in_use}});
    }
  }
  SendJson(reply, 200, {{"endpoints", std::move(endpoints)}});
}

// Whether only the owner answers requests for this path.
bool IsOwnerPath(const std::string& path) {
  return path == "/v1/jobs" || path.starts_with("/v1/jobs/") ||
         path == "/v1/workers" || path == "/v1/endpoints";
}

void SendNotOwner(const Scheduler& scheduler, const HttpReply& reply) {
  SendJson(reply, 421,
           {{"error", "this scheduler is not the owner"},
            {"owner", scheduler.owner().process},
            {"address", scheduler.owner().address}});
}

std::string StateJson(const Scheduler& scheduler) {
  const Term* const term = scheduler.term();
  Json state = {{"role", "scheduler"},
                {"owner", scheduler.owner().process},
                {"owner_address", scheduler.owner().address},
                {"owner_epoch", scheduler.owner().epoch},
                {"is_owner", term != nullptr},
                {"serving", scheduler.serving()},
                {"draining", scheduler.stopping()},
                {"store_age_ms", scheduler.store_age_ms()},
                {"config_version", scheduler.config_version()}};
  if (term == nullptr) return state.dump();
  const core::CellStats stats = core::Stats(term->cell().cell());
  state["store_up"] = term->records().store_up();
  state["queued"] = stats.queued;
  state["running"] = stats.running;
  state["jobs"] = term->jobs().jobs.size();
  state["jobs_ended"] = term->jobs().ended.size();
  state["workers_usable"] = stats.workers_usable;
  state["workers_quarantined"] = stats.workers_quarantined;
  state["in_doubt"] = term->has_unresolved_workers();
  if (term->slots() != nullptr) {
    state["slot_requests_waiting"] = term->slots()->waiting();
    state["slots_in_use"] = term->slots()->in_use();
  }
  return state.dump();
}

void Drain(Scheduler& scheduler, const std::string& vm,
           const HttpReply& reply) {
  if (vm.empty()) {
    SendJson(reply, 202, {{"draining", true}});
    scheduler.Stop();
    return;
  }
  if (!scheduler.serving()) {
    SendNotOwner(scheduler, reply);
    return;
  }
  if (!scheduler.term()->Drain(vm)) {
    reply.Send(MakeErrorResponse(404, "no worker or endpoint " + vm));
    return;
  }
  SendJson(reply, 202, {{"draining", true}, {"vm", vm}});
}

}  // namespace

OperatorContext MakeOperatorContext(Scheduler& scheduler, Metrics& metrics,
                                    EventRing& events) {
  OperatorContext context;
  context.process = scheduler.shared().settings.process;
  context.zone = scheduler.shared().settings.zone;
  context.metrics = &metrics;
  context.events = &events;
  context.refresh_metrics = [&scheduler] { scheduler.RefreshMetrics(); };
  context.not_ready_reason = [&scheduler]() -> std::string {
    return scheduler.stopping() ? "stopping" : "";
  };
  context.state_json = [&scheduler] { return StateJson(scheduler); };
  context.drain = [&scheduler](const std::string& vm, const HttpReply& reply) {
    Drain(scheduler, vm, reply);
  };
  return context;
}

void HandleSchedulerRequest(const OperatorContext& context,
                            Scheduler& scheduler, const HttpRequest& request,
                            const HttpReply& reply) {
  if (HandleOperatorRequest(context, request, reply)) return;
  if (!IsOwnerPath(request.path)) {
    reply.Send(MakeErrorResponse(404, "no such path"));
    return;
  }
  if (request.method != "GET") {
    reply.Send(MakeErrorResponse(405, "only GET is allowed"));
    return;
  }
  if (!scheduler.serving()) {
    SendNotOwner(scheduler, reply);
    return;
  }
  const Term& term = *scheduler.term();
  const std::string jobs = "/v1/jobs/";
  if (request.path == "/v1/jobs") return ListJobs(term, request, reply);
  if (request.path == "/v1/workers") return ListWorkers(term, reply);
  if (request.path == "/v1/endpoints") return ListEndpoints(term, reply);
  ExplainJob(term, request.path.substr(jobs.size()), reply);
}

}  // namespace dotterelcove
