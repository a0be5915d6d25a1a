#include "border/operator/OperatorApi.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterelcove {
namespace {

using Json = nlohmann::ordered_json;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string NotReadyReason(const OperatorContext& context) {
  return context.not_ready_reason ? context.not_ready_reason() : "";
}

/// Sets the gauges common to all daemons: readiness and, if the state has them,
/// the active configuration version and the age of the last store answer.
void SetCommonGauges(const OperatorContext& context) {
  context.metrics->Set("ready", NotReadyReason(context).empty() ? 1.0 : 0.0);
  if (!context.state_json) return;
  const Json state = Json::parse(context.state_json(), nullptr, false);
  if (!state.is_object()) return;
  const auto version = state.find("config_version");
  if (version != state.end() && version->is_number()) {
    context.metrics->Set("config_version", version->get<double>());
  }
  const auto age_ms = state.find("store_age_ms");
  if (age_ms != state.end() && age_ms->is_number()) {
    context.metrics->Set("store_age_seconds", age_ms->get<double>() / 1'000);
  }
}

void ServeMetrics(const OperatorContext& context, const HttpRequest&,
                  const HttpReply& reply) {
  if (context.refresh_metrics) context.refresh_metrics();
  if (context.metrics != nullptr) SetCommonGauges(context);
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  if (context.metrics != nullptr) response.body = context.metrics->Render();
  reply.Send(std::move(response));
}

void ServeHealth(const OperatorContext& context, const HttpRequest&,
                 const HttpReply& reply) {
  HttpResponse response;
  response.body = Dump({{"status", "ok"}, {"process", context.process}});
  reply.Send(std::move(response));
}

void ServeReadiness(const OperatorContext& context, const HttpRequest&,
                    const HttpReply& reply) {
  const std::string reason = NotReadyReason(context);
  HttpResponse response;
  response.status = reason.empty() ? 200 : 503;
  Json body = {{"ready", reason.empty()}, {"process", context.process}};
  if (!reason.empty()) body["reason"] = reason;
  response.body = Dump(body);
  reply.Send(std::move(response));
}

void ServeEvents(const OperatorContext& context, const HttpRequest& request,
                 const HttpReply& reply) {
  EventSubject filter;
  for (const auto& [name, value] : request.query) {
    if (name == "job") {
      filter.job = value;
    } else if (name == "task") {
      filter.task = value;
    } else if (name == "worker") {
      filter.worker = value;
    } else if (name == "epoch") {
      const char* end = value.data() + value.size();
      const auto parsed = std::from_chars(value.data(), end, filter.epoch);
      if (parsed.ec == std::errc() && parsed.ptr == end) continue;
      reply.Send(MakeErrorResponse(
          400, "epoch = " + value + ": allowed: a whole number"));
      return;
    } else {
      reply.Send(MakeErrorResponse(
          400,
          "unknown filter " + name + ": allowed: job, task, worker, epoch"));
      return;
    }
  }
  HttpResponse response;
  response.body = context.events == nullptr
                      ? "[]"
                      : EventsToJson(context.events->Find(filter),
                                     context.process, context.zone);
  reply.Send(std::move(response));
}

void ServeState(const OperatorContext& context, const HttpRequest&,
                const HttpReply& reply) {
  const std::string reason = NotReadyReason(context);
  Json body = {{"process", context.process},
               {"zone", context.zone},
               {"version", DOTTERELCOVE_VERSION},
               {"ready", reason.empty()}};
  if (!reason.empty()) body["not_ready_reason"] = reason;
  if (context.state_json) {
    const Json state = Json::parse(context.state_json(), nullptr, false);
    if (!state.is_object()) {
      reply.Send(MakeErrorResponse(500, "state is not a JSON object"));
      return;
    }
    body.update(state);
  }
  HttpResponse response;
  response.body = Dump(body);
  reply.Send(std::move(response));
}

void ServeDrain(const OperatorContext& context, const HttpRequest& request,
                const HttpReply& reply) {
  std::string vm;
  if (!request.body.empty()) {
    const Json body = Json::parse(request.body, nullptr, false);
    const bool valid = body.is_object() && body.size() == 1 &&
                       body.contains("vm") && body["vm"].is_string() &&
                       !body["vm"].get_ref<const std::string&>().empty();
    // An invalid body must not be taken for an empty one, which drains the
    // daemon itself.
    if (!valid) {
      reply.Send(MakeErrorResponse(400, "body: allowed: none or {\"vm\": id}"));
      return;
    }
    vm = body["vm"].get<std::string>();
  }
  if (!context.drain) {
    reply.Send(MakeErrorResponse(501, "this process cannot be drained"));
    return;
  }
  context.drain(vm, reply);
}

void ServeLogLevel(const OperatorContext& context, const HttpRequest& request,
                   const HttpReply& reply) {
  const Json body = Json::parse(request.body, nullptr, false);
  const std::string name =
      body.is_object() && body.contains("level") && body["level"].is_string()
          ? body["level"].get<std::string>()
          : "";
  const auto level = ValueOf(kLogLevelNames, name);
  if (!level) {
    reply.Send(MakeErrorResponse(
        400,
        "body: allowed: {\"level\": \"debug\" | \"info\" | \"warning\" | "
        "\"error\"}"));
    return;
  }
  if (context.set_log_level) context.set_log_level(*level);
  HttpResponse response;
  response.body = Dump({{"level", name}});
  reply.Send(std::move(response));
}

struct Route {
  const char* method;
  const char* path;
  void (*serve)(const OperatorContext&, const HttpRequest&, const HttpReply&);
};

constexpr Route kRoutes[] = {
    {"GET", "/metrics", ServeMetrics},
    {"GET", "/healthz", ServeHealth},
    {"GET", "/readyz", ServeReadiness},
    {"GET", "/v1/events", ServeEvents},
    {"GET", "/v1/state", ServeState},
    {"POST", "/v1/drain", ServeDrain},
    {"POST", "/v1/log-level", ServeLogLevel},
};

}  // namespace

bool HandleOperatorRequest(const OperatorContext& context,
                           const HttpRequest& request, const HttpReply& reply) {
  for (const Route& route : kRoutes) {
    if (request.path != route.path) continue;
    if (request.method != route.method) {
      HttpResponse response = MakeErrorResponse(
          405, std::string(route.path) + " takes " + route.method);
      response.headers.emplace_back("Allow", route.method);
      reply.Send(std::move(response));
      return true;
    }
    route.serve(context, request, reply);
    return true;
  }
  return false;
}

}  // namespace dotterelcove
