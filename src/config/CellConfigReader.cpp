#include "config/CellConfigReader.h"

namespace dotterelcove {
namespace {

constexpr int64_t kMaxMilliCores = 1'000'000;
constexpr int64_t kMaxMemoryMb = 16 << 20;
constexpr int64_t kMaxAccelerators = 1'024;
/// Quotas are shares of a whole cell.
constexpr int64_t kQuotaFactor = 10'000;
constexpr int64_t kMaxTasks = 10'000;
constexpr int64_t kMaxDurationMs = 366ll * 24 * 3'600'000;
constexpr int64_t kMaxRate = 1'000'000;

void ReadResources(const JsonNode& parent, std::string_view key, int64_t factor,
                   Resources& resources) {
  const JsonNode node = ReadObject(parent, key);
  RejectUnknownMembers(node, {"milli_cores", "memory_mb", "accelerators"});
  ReadInteger(node, "milli_cores", 0, kMaxMilliCores * factor,
              resources.milli_cores);
  ReadInteger(node, "memory_mb", 0, kMaxMemoryMb * factor, resources.memory_mb);
  ReadInteger(node, "accelerators", 0, kMaxAccelerators * factor,
              resources.accelerators);
}

void CheckRoutedKind(const JsonNode& node, const KindConfig& kind) {
  for (const std::string_view key : {"size", "tasks", "gang", "duration_ms"}) {
    if (FindMember(node, key) == nullptr) continue;
    AddFault(node, key, "only with \"delivery\": \"place\"");
  }
  if (kind.request_class == RequestClass::kService) {
    AddFault(node, "class", "urgent or batch with \"delivery\": \"route\"");
  }
}

void CheckPlacedKind(const JsonNode& node, const KindConfig& kind) {
  if (kind.size.milli_cores < 1 || kind.size.memory_mb < 1) {
    AddFault(node, "size", "at least 1 milli_cores and 1 memory_mb");
  }
  if (kind.gang && kind.tasks < 2) {
    AddFault(node, "tasks", "2 or more with \"gang\": true");
  }
}

void ReadKind(const JsonNode& node, KindConfig& kind) {
  RejectUnknownMembers(node, {"delivery", "class", "idempotent", "size",
                              "tasks", "gang", "duration_ms", "deadline_ms"});
  RequireMember(node, "delivery", "route or place");
  ReadEnum(node, "delivery", kDeliveryNames, kind.delivery);
  RequireMember(node, "class", "urgent, service or batch");
  ReadEnum(node, "class", kRequestClassNames, kind.request_class);
  ReadFlag(node, "idempotent", kind.idempotent);
  ReadResources(node, "size", 1, kind.size);
  int64_t tasks = kind.tasks;
  ReadInteger(node, "tasks", 1, kMaxTasks, tasks);
  kind.tasks = static_cast<uint32_t>(tasks);
  ReadFlag(node, "gang", kind.gang);
  ReadInteger(node, "duration_ms", 0, kMaxDurationMs, kind.duration_ms);
  ReadInteger(node, "deadline_ms", 0, kMaxDurationMs, kind.deadline_ms);
  if (kind.delivery == Delivery::kRoute) {
    CheckRoutedKind(node, kind);
    return;
  }
  CheckPlacedKind(node, kind);
}

/// Calls `read(child, key)` for each member of `node` that is an object and has
/// a valid name.
template <class F>
void ForEachObject(const JsonNode& node, F read) {
  if (node.value == nullptr) return;
  for (const auto& [name, value] : node.value->items()) {
    if (!IsIdentifier(name)) {
      AddFault(node, name, "a name of " + std::string(kIdentifierRule));
      continue;
    }
    const JsonNode child = ReadObject(node, name);
    if (child.value != nullptr) read(child, name);
  }
}

}  // namespace

void ReadService(const JsonNode& node, ServiceConfig& service) {
  RequireMember(node, "team", kIdentifierRule);
  ReadText(node, "team", IsIdentifier, kIdentifierRule, service.team);
  RequireMember(node, "kinds", "an object with at least one kind");
  const JsonNode kinds = ReadObject(node, "kinds");
  if (kinds.value != nullptr && kinds.value->empty()) {
    AddFault(node, "kinds", "an object with at least one kind");
  }
  ForEachObject(kinds, [&](const JsonNode& child, const std::string& name) {
    ReadKind(child, service.kinds[name]);
  });
}

void ReadTeams(const JsonNode& node, std::map<std::string, TeamConfig>& teams) {
  ForEachObject(node, [&](const JsonNode& child, const std::string& name) {
    TeamConfig team;
    RejectUnknownMembers(child, {"quota"});
    RequireMember(child, "quota", "an object with resources");
    ReadResources(child, "quota", kQuotaFactor, team.quota);
    if (!teams.emplace(name, team).second) {
      AddFault(node, name, "a team that no other file defines");
    }
  });
}

void ReadCallers(const JsonNode& node,
                 std::map<std::string, CallerConfig>& callers) {
  ForEachObject(node, [&](const JsonNode& child, const std::string& name) {
    CallerConfig caller;
    RejectUnknownMembers(child, {"max_in_progress", "requests_per_second"});
    ReadInteger(child, "max_in_progress", 0, kMaxRate, caller.max_in_progress);
    ReadInteger(child, "requests_per_second", 0, kMaxRate,
                caller.requests_per_second);
    if (!callers.emplace(name, caller).second) {
      AddFault(node, name, "a caller that no other file defines");
    }
  });
}

CellConfig ReadCellConfig(JsonSource& source) {
  CellConfig config;
  const JsonNode root = RootOf(source);
  RejectUnknownMembers(root, {"services", "teams", "callers"});
  const JsonNode services = ReadObject(root, "services");
  ReadTeams(ReadObject(root, "teams"), config.teams);
  ReadCallers(ReadObject(root, "callers"), config.callers);
  ForEachObject(services, [&](const JsonNode& child, const std::string& name) {
    RejectUnknownMembers(child, {"team", "kinds"});
    ServiceConfig service;
    ReadService(child, service);
    if (!service.team.empty() && !config.teams.contains(service.team)) {
      AddFault(child, "team", "a team that is defined");
    }
    config.services.emplace(name, std::move(service));
  });
  return config;
}

}  // namespace dotterelcove
