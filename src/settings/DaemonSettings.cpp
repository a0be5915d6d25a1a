#include "settings/DaemonSettings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <string_view>

#include "settings/JsonReader.h"

namespace dotterelcove {
namespace {

constexpr int64_t kMaxPort = 65'535;
constexpr int64_t kHourMs = 3'600'000;

bool IsIpNumber(const std::string& text) {
  in_addr address{};
  return inet_pton(AF_INET, text.c_str(), &address) == 1;
}

bool IsPort(std::string_view text) {
  if (text.empty() || text.size() > 5 || text[0] == '0') return false;
  int64_t port = 0;
  for (const char c : text) {
    if (c < '0' || c > '9') return false;
    port = port * 10 + (c - '0');
  }
  return port >= 1 && port <= kMaxPort;
}

bool IsPeerAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  return IsIpNumber(text.substr(0, colon)) && IsPort(text.substr(colon + 1));
}

bool IsBaseUrl(const std::string& text) {
  static constexpr std::string_view kScheme = "http://";
  if (!text.starts_with(kScheme) || text.ends_with("/")) return false;
  const std::string rest = text.substr(kScheme.size());
  return IsPeerAddress(rest.substr(0, rest.find('/')));
}

constexpr std::string_view kIpRule = "an IP number as in \"127.0.0.1\"";
constexpr std::string_view kPeerRule =
    "\"ip:port\" with a port from 1 to 65535";
constexpr std::string_view kUrlRule =
    "\"http://ip:port\" without a slash at the end";

void ReadListen(const JsonNode& root, std::string_view key, bool required,
                ListenSettings& listen) {
  if (!required && FindMember(root, key) == nullptr) return;
  if (!RequireMember(root, key, "an object with address and port")) return;
  const JsonNode node = ReadObject(root, key);
  if (node.value == nullptr) return;
  RejectUnknownMembers(node, {"address", "port"});
  RequireMember(node, "address", kIpRule);
  ReadText(node, "address", IsIpNumber, kIpRule, listen.address);
  RequireMember(node, "port", "a whole number from 1 to 65535");
  int64_t port = 0;
  ReadInteger(node, "port", 1, kMaxPort, port);
  listen.port = static_cast<uint16_t>(port);
}

void ReadPlatform(const JsonNode& root, PlatformSettings& platform) {
  if (!RequireMember(root, "platform",
                     "an object with tables, objects and vm_list")) {
    return;
  }
  const JsonNode node = ReadObject(root, "platform");
  if (node.value == nullptr) return;
  RejectUnknownMembers(node, {"tables", "objects", "vm_list"});
  struct Entry {
    std::string_view key;
    std::string& target;
  };
  for (const Entry& entry :
       {Entry{"tables", platform.tables}, Entry{"objects", platform.objects},
        Entry{"vm_list", platform.vm_list}}) {
    RequireMember(node, entry.key, kUrlRule);
    ReadText(node, entry.key, IsBaseUrl, kUrlRule, entry.target);
  }
}

void ReadTiming(const JsonNode& root, TimingSettings& timing) {
  const JsonNode node = ReadObject(root, "timing");
  RejectUnknownMembers(
      node, {"owner_lease_ms", "owner_beat_ms", "standby_poll_ms",
             "commit_interval_ms", "worker_lease_ms", "max_routed_deadline_ms",
             "vm_list_poll_ms", "config_poll_ms", "store_timeout_ms",
             "heartbeat_ms", "peer_silence_ms", "drain_limit_ms"});
  ReadInteger(node, "owner_lease_ms", 100, 60'000, timing.owner_lease_ms);
  ReadInteger(node, "owner_beat_ms", 10, 20'000, timing.owner_beat_ms);
  ReadInteger(node, "standby_poll_ms", 10, 20'000, timing.standby_poll_ms);
  // Below 25 ms the owner alone would exceed 40 of the 50 writes a second.
  ReadInteger(node, "commit_interval_ms", 25, 1'000, timing.commit_interval_ms);
  ReadInteger(node, "worker_lease_ms", 500, 600'000, timing.worker_lease_ms);
  ReadInteger(node, "max_routed_deadline_ms", 100, 600'000,
              timing.max_routed_deadline_ms);
  ReadInteger(node, "vm_list_poll_ms", 50, 60'000, timing.vm_list_poll_ms);
  ReadInteger(node, "config_poll_ms", 50, 60'000, timing.config_poll_ms);
  ReadInteger(node, "store_timeout_ms", 50, 60'000, timing.store_timeout_ms);
  ReadInteger(node, "heartbeat_ms", 50, 60'000, timing.heartbeat_ms);
  ReadInteger(node, "peer_silence_ms", 100, 600'000, timing.peer_silence_ms);
  ReadInteger(node, "drain_limit_ms", 0, kHourMs, timing.drain_limit_ms);
  // Two beats and two reads must fit into a lease, or one lost message would
  // cost a healthy owner its claim.
  if (timing.owner_beat_ms * 2 >= timing.owner_lease_ms) {
    AddFault(node, "owner_beat_ms", "less than half of owner_lease_ms");
  }
  if (timing.standby_poll_ms * 2 >= timing.owner_lease_ms) {
    AddFault(node, "standby_poll_ms", "less than half of owner_lease_ms");
  }
  if (timing.heartbeat_ms * 2 > timing.peer_silence_ms) {
    AddFault(node, "heartbeat_ms", "at most half of peer_silence_ms");
  }
}

void ReadLimits(const JsonNode& root, LimitSettings& limits) {
  const JsonNode node = ReadObject(root, "limits");
  RejectUnknownMembers(
      node, {"max_body_bytes", "receive_timeout_ms", "max_connections",
             "max_in_progress", "event_ring_size"});
  ReadInteger(node, "max_body_bytes", 1'024, 64 << 20, limits.max_body_bytes);
  ReadInteger(node, "receive_timeout_ms", 100, 600'000,
              limits.receive_timeout_ms);
  ReadInteger(node, "max_connections", 1, 65'536, limits.max_connections);
  ReadInteger(node, "max_in_progress", 1, 1'000'000, limits.max_in_progress);
  ReadInteger(node, "event_ring_size", 1, 1'000'000, limits.event_ring_size);
}

/// Adds a fault for each name that a list holds twice.
void RejectRepeats(const JsonNode& root, std::string_view key,
                   const std::vector<std::string>& names) {
  std::set<std::string> seen;
  for (const std::string& name : names) {
    if (!seen.insert(name).second) AddFault(root, key, "\"" + name + "\" once");
  }
}

DaemonSettings ReadSettings(JsonSource& source) {
  DaemonSettings settings;
  const JsonNode root = RootOf(source);
  RejectUnknownMembers(
      root, {"process", "zone", "http", "peer", "schedulers", "entries",
             "platform", "partition", "timing", "limits", "log_level"});
  RequireMember(root, "process", kIdentifierRule);
  ReadText(root, "process", IsIdentifier, kIdentifierRule, settings.process);
  RequireMember(root, "zone", kIdentifierRule);
  ReadText(root, "zone", IsIdentifier, kIdentifierRule, settings.zone);
  ReadListen(root, "http", true, settings.http);
  ReadListen(root, "peer", false, settings.peer);
  RequireMember(root, "schedulers", "a list with at least one \"ip:port\"");
  ReadTexts(root, "schedulers", IsPeerAddress, kPeerRule, settings.schedulers);
  const auto* schedulers = FindMember(root, "schedulers");
  if (schedulers != nullptr && schedulers->is_array() && schedulers->empty()) {
    AddFault(root, "schedulers", "a list with at least one \"ip:port\"");
  }
  RejectRepeats(root, "schedulers", settings.schedulers);
  ReadTexts(root, "entries", IsIdentifier, kIdentifierRule, settings.entries);
  RejectRepeats(root, "entries", settings.entries);
  ReadPlatform(root, settings.platform);
  int64_t partition = 0;
  ReadInteger(root, "partition", 0, 1'023, partition);
  settings.partition = static_cast<uint32_t>(partition);
  ReadTiming(root, settings.timing);
  ReadLimits(root, settings.limits);
  ReadEnum(root, "log_level", kLogLevelNames, settings.log_level);
  return settings;
}

}  // namespace

std::string FormatFaults(const SettingsError& error) {
  std::string text;
  for (const SettingsFault& fault : error.faults) {
    text.append(fault.file);
    // A fault of the file itself has neither a line nor a key.
    if (fault.line > 0) text.append(":").append(std::to_string(fault.line));
    if (!fault.key.empty()) {
      text.append(": ").append(fault.key).append(" = ").append(fault.value);
    } else if (!fault.value.empty()) {
      text.append(": ").append(fault.value);
    }
    text.append(": allowed: ").append(fault.allowed).append("\n");
  }
  return text;
}

Result<DaemonSettings> ParseDaemonSettings(const std::string& text,
                                           const std::string& file) {
  JsonSource source = ParseJsonSource(text, file);
  if (!source.faults.empty()) {
    return leaf::new_error(SettingsError{source.faults});
  }
  DaemonSettings settings = ReadSettings(source);
  if (!source.faults.empty()) {
    std::stable_sort(source.faults.begin(), source.faults.end(),
                     [](const SettingsFault& a, const SettingsFault& b) {
                       return a.line < b.line;
                     });
    return leaf::new_error(SettingsError{source.faults});
  }
  return settings;
}

Result<DaemonSettings> LoadDaemonSettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream.is_open()) {
    return leaf::new_error(
        SettingsError{{{file, 0, "", "", "a readable file"}}});
  }
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  return ParseDaemonSettings(text, file);
}

}  // namespace dotterelcove
