#include "border/caller/CallerRequest.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <vector>

#include "base/Base64.h"
#include "base/Hash.h"

namespace dotterelcove {
namespace {

using nlohmann::json;

/// Deepest nesting of a body. Serializing JSON recurses, so unbounded nesting
/// could exhaust the stack.
constexpr int kMaxJsonDepth = 32;

constexpr std::string_view kKnownFields[] = {
    "service",     "kind",       "key",  "payload", "payload_encoding",
    "deadline_ms", "idempotent", "team", "mode",    "resources",
    "tasks"};
constexpr std::string_view kKnownResourceFields[] = {"milli_cores", "memory_mb",
                                                     "accelerators"};

std::string Quote(std::string_view text) {
  constexpr size_t kMaxQuoted = 64;
  std::string quoted(text.substr(0, kMaxQuoted));
  std::replace_if(
      quoted.begin(), quoted.end(),
      [](unsigned char c) { return c < 0x20 || c >= 0x7f; }, '?');
  return "\"" + quoted + (text.size() > kMaxQuoted ? "…\"" : "\"");
}

auto Fail(int status, std::string field, std::string message) {
  return leaf::new_error(
      CallerRequestError{status, std::move(field), std::move(message)});
}

template <size_t N>
std::string JoinNames(const std::string_view (&names)[N]) {
  std::string joined;
  for (const std::string_view name : names) {
    if (!joined.empty()) joined += ", ";
    joined += name;
  }
  return joined;
}

/// Parses JSON and rejects what the library accepts silently: a repeated key,
/// of which it keeps the last, and unbounded nesting.
Result<json> ParseStrictJson(const std::string& body) {
  bool too_deep = false;
  std::string repeated;
  std::vector<std::set<std::string>> keys;
  const json::parser_callback_t check =
      [&](int depth, json::parse_event_t event, json& parsed) {
        if (depth > kMaxJsonDepth) too_deep = true;
        if (too_deep) return false;
        if (event == json::parse_event_t::object_start) keys.emplace_back();
        if (event == json::parse_event_t::object_end && !keys.empty()) {
          keys.pop_back();
        }
        if (event == json::parse_event_t::key && !keys.empty() &&
            !keys.back().insert(parsed.get<std::string>()).second) {
          repeated = parsed.get<std::string>();
        }
        return true;
      };
  json parsed = json::parse(body, check, false);
  if (too_deep) {
    return Fail(400, "",
                "JSON is nested too deeply; allowed: " +
                    std::to_string(kMaxJsonDepth) + " levels");
  }
  if (!repeated.empty()) {
    return Fail(400, Quote(repeated), "key occurs twice; allowed: once");
  }
  if (parsed.is_discarded()) {
    return Fail(400, "", "body is not valid JSON; allowed: one JSON object");
  }
  if (!parsed.is_object()) {
    return Fail(400, "", "body is not an object; allowed: one JSON object");
  }
  return parsed;
}

template <size_t N>
Result<void> CheckKnown(const json& object, const std::string& prefix,
                        const std::string_view (&known)[N]) {
  for (const auto& [name, value] : object.items()) {
    if (std::find(std::begin(known), std::end(known), name) !=
        std::end(known)) {
      continue;
    }
    return Fail(400, prefix + Quote(name),
                "unknown key; allowed: " + JoinNames(known));
  }
  return {};
}

Result<std::string> ReadText(const json& object, const std::string& field,
                             bool required) {
  const auto found = object.find(field);
  if (found == object.end()) {
    if (!required) return std::string();
    return Fail(400, field, "missing; allowed: a string");
  }
  if (!found->is_string()) {
    return Fail(400, field, "wrong type; allowed: a string");
  }
  return found->get<std::string>();
}

Result<int64_t> ReadInt(const json& object, const std::string& name,
                        const std::string& field, int64_t low, int64_t high,
                        int64_t fallback) {
  const auto found = object.find(name);
  if (found == object.end()) return fallback;
  const std::string range = "allowed: an integer from " + std::to_string(low) +
                            " to " + std::to_string(high);
  if (!found->is_number_integer()) {
    return Fail(400, field, "wrong type; " + range);
  }
  const bool huge = found->is_number_unsigned() &&
                    found->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
  if (huge || found->get<int64_t>() < low || found->get<int64_t>() > high) {
    return Fail(400, field, "out of range; " + range);
  }
  return found->get<int64_t>();
}

Result<std::string> ReadPayload(const json& object) {
  BOOST_LEAF_AUTO(encoding, ReadText(object, "payload_encoding", false));
  if (!encoding.empty() && encoding != "text" && encoding != "base64") {
    return Fail(400, "payload_encoding",
                "unknown encoding; allowed: text, base64");
  }
  const auto found = object.find("payload");
  std::string payload;
  if (found != object.end()) {
    if (found->is_string()) {
      payload = found->get<std::string>();
    } else if (found->is_object() || found->is_array()) {
      payload = found->dump();
    } else {
      return Fail(400, "payload",
                  "wrong type; allowed: a string, an object or an array");
    }
  }
  if (encoding == "base64") {
    auto decoded = DecodeBase64(payload);
    if (!decoded || !found->is_string()) {
      return Fail(400, "payload",
                  "not base64; allowed: base64 with padding, as "
                  "payload_encoding says");
    }
    payload = std::move(*decoded);
  }
  if (payload.size() > kMaxPayloadBytes) {
    return Fail(413, "payload",
                "too large; allowed: up to " +
                    std::to_string(kMaxPayloadBytes) + " bytes");
  }
  return payload;
}

Result<void> ReadSize(const json& object, Resources& size) {
  const auto found = object.find("resources");
  if (found == object.end()) return {};
  if (!found->is_object()) {
    return Fail(400, "resources",
                "wrong type; allowed: an object with " +
                    JoinNames(kKnownResourceFields));
  }
  BOOST_LEAF_CHECK(CheckKnown(*found, "resources.", kKnownResourceFields));
  BOOST_LEAF_ASSIGN(size.milli_cores,
                    ReadInt(*found, "milli_cores", "resources.milli_cores", 1,
                            kMaxTaskSize.milli_cores, size.milli_cores));
  BOOST_LEAF_ASSIGN(size.memory_mb,
                    ReadInt(*found, "memory_mb", "resources.memory_mb", 1,
                            kMaxTaskSize.memory_mb, size.memory_mb));
  BOOST_LEAF_ASSIGN(size.accelerators,
                    ReadInt(*found, "accelerators", "resources.accelerators", 0,
                            kMaxTaskSize.accelerators, size.accelerators));
  return {};
}

Result<const KindConfig*> ReadKind(const json& object, const CellConfig& config,
                                   CallerRequest& request) {
  BOOST_LEAF_ASSIGN(request.service, ReadText(object, "service", true));
  BOOST_LEAF_ASSIGN(request.kind, ReadText(object, "kind", true));
  const auto service = config.services.find(request.service);
  if (service == config.services.end()) {
    std::string names;
    for (const auto& [name, unused] : config.services) {
      names += names.empty() ? name : ", " + name;
    }
    return Fail(404, "service",
                Quote(request.service) + " is not known; allowed: " + names);
  }
  const auto kind = service->second.kinds.find(request.kind);
  if (kind == service->second.kinds.end()) {
    std::string names;
    for (const auto& [name, unused] : service->second.kinds) {
      names += names.empty() ? name : ", " + name;
    }
    return Fail(404, "kind",
                Quote(request.kind) + " is not a kind of " +
                    Quote(request.service) + "; allowed: " + names);
  }
  BOOST_LEAF_ASSIGN(request.team, ReadText(object, "team", false));
  if (request.team.empty()) {
    request.team = service->second.team;
  } else if (!config.teams.contains(request.team)) {
    return Fail(404, "team",
                Quote(request.team) +
                    " is not known; allowed: a team of the configuration");
  }
  return &kind->second;
}

Result<void> ReadDeadline(const json& object, const KindConfig& kind,
                          const CallerCheckLimits& limits,
                          CallerRequest& request) {
  const bool routed = kind.delivery == Delivery::kRoute;
  const int64_t longest =
      routed ? limits.max_routed_deadline_ms : kMaxPlacedDeadlineMs;
  BOOST_LEAF_ASSIGN(request.deadline_ms, ReadInt(object, "deadline_ms",
                                                 "deadline_ms", 0, longest, 0));
  if (request.deadline_ms == 0) {
    request.deadline_ms = std::min(kind.deadline_ms, longest);
  }
  if (request.deadline_ms == 0 && routed) request.deadline_ms = longest;
  return {};
}

Result<void> ReadMode(const json& object, const KindConfig& kind,
                      CallerRequest& request) {
  BOOST_LEAF_AUTO(mode, ReadText(object, "mode", false));
  if (!mode.empty()) {
    const auto value = ValueOf(kSubmitModeNames, mode);
    if (!value) {
      return Fail(400, "mode", "unknown mode; allowed: wait, async");
    }
    request.mode = *value;
  }
  if (kind.delivery == Delivery::kPlace) return {};
  if (request.mode == SubmitMode::kAsync) {
    return Fail(400, "mode",
                "kind " + Quote(request.kind) + " is routed; allowed: wait");
  }
  for (const char* field : {"resources", "tasks"}) {
    if (!object.contains(field)) continue;
    return Fail(400, field,
                "kind " + Quote(request.kind) +
                    " is routed; allowed: for placed kinds only");
  }
  return {};
}

Result<void> ReadIdempotent(const json& object, CallerRequest& request) {
  const auto found = object.find("idempotent");
  if (found == object.end()) return {};
  if (!found->is_boolean()) {
    return Fail(400, "idempotent", "wrong type; allowed: true or false");
  }
  request.idempotent = found->get<bool>();
  return {};
}

}  // namespace

bool IsValidKey(const std::string& key) {
  if (key.empty() || key.size() > kMaxKeyBytes) return false;
  return std::all_of(key.begin(), key.end(), [](unsigned char c) {
    return std::isalnum(c) ||
           std::string_view("._:~@-").find(static_cast<char>(c)) !=
               std::string_view::npos;
  });
}

Result<std::string> ReadCaller(const FieldMap& headers) {
  const auto found = headers.find("x-caller");
  if (found == headers.end()) return std::string("anonymous");
  const std::string& caller = found->second;
  if (!IsValidKey(caller) || caller.size() > kMaxCallerBytes) {
    return Fail(400, "X-Caller",
                "not a caller name; allowed: 1 to " +
                    std::to_string(kMaxCallerBytes) +
                    " of A-Z a-z 0-9 . _ : ~ @ -");
  }
  return caller;
}

Result<CallerRequest> ParseCallerRequest(const std::string& body,
                                         const std::string& caller,
                                         const CellConfig& config,
                                         const CallerCheckLimits& limits) {
  BOOST_LEAF_AUTO(object, ParseStrictJson(body));
  BOOST_LEAF_CHECK(CheckKnown(object, "", kKnownFields));
  CallerRequest request;
  request.caller = caller;
  const auto add_key = leaf::on_error(
      [&request](CallerRequestError& fault) { fault.key = request.key; });
  BOOST_LEAF_ASSIGN(request.key, ReadText(object, "key", true));
  if (!IsValidKey(request.key)) {
    return Fail(400, "key",
                "not a key; allowed: 1 to " + std::to_string(kMaxKeyBytes) +
                    " of A-Z a-z 0-9 . _ : ~ @ -");
  }
  BOOST_LEAF_AUTO(kind, ReadKind(object, config, request));
  request.delivery = kind->delivery;
  request.request_class = kind->request_class;
  request.idempotent = kind->idempotent;
  request.gang = kind->gang;
  request.size = kind->size;
  request.duration_ms = kind->duration_ms;
  BOOST_LEAF_CHECK(ReadMode(object, *kind, request));
  BOOST_LEAF_CHECK(ReadIdempotent(object, request));
  BOOST_LEAF_CHECK(ReadDeadline(object, *kind, limits, request));
  BOOST_LEAF_CHECK(ReadSize(object, request.size));
  BOOST_LEAF_AUTO(tasks,
                  ReadInt(object, "tasks", "tasks", 1, kMaxTasks, kind->tasks));
  request.tasks = static_cast<uint32_t>(tasks);
  BOOST_LEAF_ASSIGN(request.payload, ReadPayload(object));
  return request;
}

std::string DigestOf(const CallerRequest& request) {
  std::string text;
  for (const std::string* part :
       {&request.service, &request.kind, &request.team, &request.payload}) {
    // The length prefix makes the concatenation unambiguous.
    text += std::to_string(part->size()) + ":" + *part;
  }
  for (const int64_t number :
       {request.size.milli_cores, request.size.memory_mb,
        request.size.accelerators, static_cast<int64_t>(request.tasks),
        static_cast<int64_t>(request.idempotent)}) {
    text += std::to_string(number) + ",";
  }
  return Hash128Hex(text);
}

}  // namespace dotterelcove
