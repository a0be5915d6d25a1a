#include "config/CellConfig.h"

#include <nlohmann/json.hpp>

#include "config/CellConfigReader.h"

namespace dotterelcove {
namespace {

using nlohmann::json;

json ResourcesToJson(const Resources& resources) {
  return {{"milli_cores", resources.milli_cores},
          {"memory_mb", resources.memory_mb},
          {"accelerators", resources.accelerators}};
}

json KindToJson(const KindConfig& kind) {
  json object = {{"delivery", NameOf(kDeliveryNames, kind.delivery)},
                 {"class", NameOf(kRequestClassNames, kind.request_class)},
                 {"idempotent", kind.idempotent},
                 {"deadline_ms", kind.deadline_ms}};
  if (kind.delivery == Delivery::kRoute) return object;
  object["size"] = ResourcesToJson(kind.size);
  object["tasks"] = kind.tasks;
  object["gang"] = kind.gang;
  object["duration_ms"] = kind.duration_ms;
  return object;
}

}  // namespace

Result<CellConfig> ParseCellConfig(const std::string& content, uint64_t version,
                                   const std::string& file) {
  JsonSource source = ParseJsonSource(content, file);
  CellConfig config;
  if (source.faults.empty()) config = ReadCellConfig(source);
  if (!source.faults.empty()) {
    return leaf::new_error(SettingsError{source.faults});
  }
  config.version = version;
  return config;
}

std::string SerializeCellConfig(const CellConfig& config) {
  json services = json::object();
  for (const auto& [name, service] : config.services) {
    json kinds = json::object();
    for (const auto& [kind_name, kind] : service.kinds) {
      kinds[kind_name] = KindToJson(kind);
    }
    services[name] = {{"team", service.team}, {"kinds", std::move(kinds)}};
  }
  json teams = json::object();
  for (const auto& [name, team] : config.teams) {
    teams[name] = {{"quota", ResourcesToJson(team.quota)}};
  }
  json callers = json::object();
  for (const auto& [name, caller] : config.callers) {
    callers[name] = {{"max_in_progress", caller.max_in_progress},
                     {"requests_per_second", caller.requests_per_second}};
  }
  // Members of json objects are sorted by name, which makes the text canonical.
  // One line each keeps differences readable.
  return json{{"services", std::move(services)},
              {"teams", std::move(teams)},
              {"callers", std::move(callers)}}
             .dump(1) +
         "\n";
}

const KindConfig* FindKind(const CellConfig& config, const std::string& service,
                           const std::string& kind) {
  const auto found_service = config.services.find(service);
  if (found_service == config.services.end()) return nullptr;
  const auto found_kind = found_service->second.kinds.find(kind);
  if (found_kind == found_service->second.kinds.end()) return nullptr;
  return &found_kind->second;
}

}  // namespace dotterelcove
