#include "scheduler/JobRecords.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string_view>

#include "base/Base64.h"
#include "peer/Framing.h"

namespace dotterelcove {
namespace {

using Json = nlohmann::json;

std::string PartitionPrefix(std::string_view table, uint32_t partition) {
  return std::string(table) + "/" + std::to_string(partition) + "/";
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool ParseObject(const std::string& text, Json& json) {
  json = Json::parse(text, nullptr, false);
  return json.is_object();
}

bool ReadText(const Json& json, const char* name, std::string& value) {
  const auto found = json.find(name);
  if (found == json.end() || !found->is_string()) return false;
  value = found->get<std::string>();
  return true;
}

bool ReadBytes(const Json& json, const char* name, std::string& value) {
  std::string text;
  if (!ReadText(json, name, text)) return false;
  const auto bytes = DecodeBase64(text);
  if (bytes) value = *bytes;
  return bytes.has_value();
}

bool ReadNumber(const Json& json, const char* name, int64_t& value) {
  const auto found = json.find(name);
  if (found == json.end() || !found->is_number_integer()) return false;
  value = found->get<int64_t>();
  return true;
}

}  // namespace

std::string OpenJobPrefix(uint32_t partition) {
  return PartitionPrefix("job", partition);
}
std::string OpenJobKey(uint32_t partition, const std::string& job) {
  return OpenJobPrefix(partition) + job;
}
std::string MemberKey(uint32_t partition, const std::string& job,
                      uint32_t member) {
  return OpenJobKey(partition, job) + "/" + std::to_string(member);
}
std::string EndedJobPrefix(uint32_t partition) {
  return PartitionPrefix("ended", partition);
}
std::string EndedJobKey(uint32_t partition, const std::string& job) {
  return EndedJobPrefix(partition) + job;
}
std::string IntentPrefix(uint32_t partition) {
  return PartitionPrefix("intent", partition);
}
std::string IntentKey(uint32_t partition, const std::string& job) {
  return IntentPrefix(partition) + job;
}
std::string EntryDownPrefix() { return "entry-down/"; }
std::string EntryDownKey(const std::string& process) {
  return EntryDownPrefix() + process;
}
std::string UsedWorkerPrefix(uint32_t partition) {
  return PartitionPrefix("worker", partition);
}
std::string UsedWorkerKey(uint32_t partition, const std::string& worker) {
  return UsedWorkerPrefix(partition) + worker;
}

std::string PackSubmit(const wire::SubmitT& submit) {
  return EncodeFrame(MakeFrame(submit));
}

bool UnpackSubmit(const std::string& bytes, wire::SubmitT& submit) {
  std::string_view input = bytes;
  wire::FrameT frame;
  const bool decoded = leaf::try_handle_all(
      [&]() -> Result<bool> { return DecodeFrame(input, frame); },
      [] { return false; });
  if (!decoded || frame.body.AsSubmit() == nullptr) return false;
  submit = std::move(*frame.body.AsSubmit());
  return true;
}

std::string ToRow(const OpenJobRow& row) {
  return Dump({{"submit", EncodeBase64(PackSubmit(row.submit))},
               {"accepted_wall_ms", row.accepted_wall_ms}});
}

bool FromRow(const std::string& text, OpenJobRow& row) {
  Json json;
  std::string bytes;
  return ParseObject(text, json) && ReadBytes(json, "submit", bytes) &&
         ReadNumber(json, "accepted_wall_ms", row.accepted_wall_ms) &&
         UnpackSubmit(bytes, row.submit);
}

std::string ToRow(const MemberRow& row) {
  return Dump({{"result", EncodeBase64(row.result)}, {"worker", row.worker}});
}

bool FromRow(const std::string& text, MemberRow& row) {
  Json json;
  return ParseObject(text, json) && ReadBytes(json, "result", row.result) &&
         ReadText(json, "worker", row.worker);
}

std::string ToRow(const EndedJobRow& row) {
  const std::string body =
      row.result.object.empty() ? EncodeBase64(row.result.body) : "";
  return Dump({{"body_digest", row.body_digest},
               {"outcome", NameOf(kOutcomeNames, row.result.outcome)},
               {"body", body},
               {"object", row.result.object},
               {"detail", row.result.detail},
               {"worker", row.result.worker},
               {"retry_after_ms", row.result.retry_after_ms},
               {"ended_wall_ms", row.ended_wall_ms}});
}

bool FromRow(const std::string& text, EndedJobRow& row) {
  Json json;
  std::string outcome;
  if (!ParseObject(text, json) || !ReadText(json, "outcome", outcome)) {
    return false;
  }
  const auto value = ValueOf(kOutcomeNames, outcome);
  if (!value.has_value()) return false;
  row.result.outcome = *value;
  return ReadText(json, "body_digest", row.body_digest) &&
         ReadBytes(json, "body", row.result.body) &&
         ReadText(json, "object", row.result.object) &&
         ReadText(json, "detail", row.result.detail) &&
         ReadText(json, "worker", row.result.worker) &&
         ReadNumber(json, "retry_after_ms", row.result.retry_after_ms) &&
         ReadNumber(json, "ended_wall_ms", row.ended_wall_ms);
}

std::string ToRow(const IntentRow& row) {
  return Dump({{"entry", row.entry},
               {"caller", row.caller},
               {"key", row.key},
               {"body_digest", row.body_digest}});
}

bool FromRow(const std::string& text, IntentRow& row) {
  Json json;
  return ParseObject(text, json) && ReadText(json, "entry", row.entry) &&
         ReadText(json, "caller", row.caller) &&
         ReadText(json, "key", row.key) &&
         ReadText(json, "body_digest", row.body_digest);
}

std::string ToRow(const UsedWorkerRow& row) {
  return Dump({{"vms", VmsToJson({row.vm})},
               {"incarnation", std::to_string(row.incarnation)}});
}

bool FromRow(const std::string& text, UsedWorkerRow& row) {
  Json json;
  std::string vms_text;
  std::string incarnation;
  std::vector<Vm> vms;
  if (!ParseObject(text, json) || !ReadText(json, "vms", vms_text) ||
      !ReadText(json, "incarnation", incarnation) ||
      !VmsFromJson(vms_text, vms) || vms.size() != 1) {
    return false;
  }
  row.vm = vms.front();
  row.incarnation = std::strtoull(incarnation.c_str(), nullptr, 10);
  return true;
}

}  // namespace dotterelcove
