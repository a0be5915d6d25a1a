#include <cstdio>
#include <fstream>
#include <iterator>

#include "base/Base64.h"
#include "base/Random.h"
#include "operator/Commands.h"
#include "operator/EntryCalls.h"

namespace dotterelcove {
namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxNumber = 1'000'000'000'000;
constexpr int64_t kMaxWaitS = 86'400;
constexpr int64_t kMsPerSecond = 1'000;

std::string MakeRandomKey() {
  Random random = MakeSystemRandom();
  char text[32];
  std::snprintf(text, sizeof(text), "ctl-%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

/// Copies the number options into the body; returns what is wrong.
std::string AddNumbers(const ParsedOptions& options, Json& body) {
  struct NumberField {
    const char* option;
    const char* field;
    bool resource;
  };
  constexpr NumberField kFields[] = {{"deadline-ms", "deadline_ms", false},
                                     {"tasks", "tasks", false},
                                     {"milli-cores", "milli_cores", true},
                                     {"memory-mb", "memory_mb", true},
                                     {"accelerators", "accelerators", true}};
  for (const NumberField& field : kFields) {
    if (!options.Has(field.option)) continue;
    int64_t value = 0;
    std::string error;
    if (!ParseNumberOption(options, field.option, 0, kMaxNumber, value,
                           error)) {
      return error;
    }
    Json& target = field.resource ? body["resources"] : body;
    target[field.field] = value;
  }
  return "";
}

std::string AddPayload(const ParsedOptions& options, Json& body) {
  std::string payload = options.Get("payload");
  if (options.Has("payload-file")) {
    if (options.Has("payload")) {
      return "--payload and --payload-file exclude each other";
    }
    const std::string file = options.Get("payload-file");
    std::ifstream stream(file, std::ios::binary);
    if (!stream.is_open()) return file + ": cannot be read";
    payload.assign(std::istreambuf_iterator<char>(stream),
                   std::istreambuf_iterator<char>());
  }
  if (IsUtf8(payload)) {
    body["payload"] = payload;
    return "";
  }
  body["payload"] = EncodeBase64(payload);
  body["payload_encoding"] = "base64";
  return "";
}

/// Makes the request's body; returns what is wrong with the options.
std::string MakeBody(const ParsedOptions& options, Json& body) {
  for (const char* name : {"service", "kind"}) {
    if (!options.Has(name))
      return std::string("option --") + name + " is missing";
    body[name] = options.Get(name);
  }
  if (options.Has("team")) body["team"] = options.Get("team");
  if (options.Has("async")) body["mode"] = "async";
  if (options.Has("idempotent")) {
    const std::string value = options.Get("idempotent");
    if (value != "yes" && value != "no") {
      return "--idempotent = " + value + ": allowed: yes, no";
    }
    body["idempotent"] = value == "yes";
  }
  const std::string error = AddNumbers(options, body);
  return error.empty() ? AddPayload(options, body) : error;
}

}  // namespace

int RunSubmit(CtlContext& context, const ParsedOptions& options) {
  Json body = Json::object();
  std::string error = MakeBody(options, body);
  int64_t wait_s = 60;
  if (error.empty()) {
    ParseNumberOption(options, "wait-s", 1, kMaxWaitS, wait_s, error);
  }
  if (!error.empty()) return ReportError(context, kExitBadCommandLine, error);
  std::string key = options.Get("key");
  if (key.empty()) {
    key = MakeRandomKey();
    // Printed first, so that the request can be asked for after a lost answer.
    context.err << "key " << key << "\n";
  }
  body["key"] = key;
  HttpCall call;
  call.method = "POST";
  call.url = "/v1/requests";
  call.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  call.headers.emplace_back("Content-Type", "application/json");
  call.timeout_ms = wait_s * kMsPerSecond;
  // An operator's request is never sent twice on a dead connection.
  call.fresh_connection = true;
  return ReportOutcome(context, key,
                       CallEntries(context, "waiting for " + key, call));
}

}  // namespace dotterelcove
