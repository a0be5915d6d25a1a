#include "border/worker/WorkerMessages.h"

#include <nlohmann/json.hpp>

#include "base/Base64.h"

namespace dotterelcove {
namespace {

using Json = nlohmann::json;

// Decoding errors set `ok` to false instead of returning, so that a codec stays
// a flat list of fields.
struct Reader {
  const Json& json;
  bool& ok;

  template <class T>
  void Number(const char* name, T& value) const {
    const auto found = this->json.find(name);
    if (found == this->json.end() || !found->is_number_integer()) {
      this->ok = false;
      return;
    }
    value = found->get<T>();
  }
  void Bool(const char* name, bool& value) const {
    const auto found = this->json.find(name);
    if (found == this->json.end() || !found->is_boolean()) {
      this->ok = false;
      return;
    }
    value = found->get<bool>();
  }
  void Text(const char* name, std::string& value) const {
    const auto found = this->json.find(name);
    if (found == this->json.end() || !found->is_string()) {
      this->ok = false;
      return;
    }
    value = found->get<std::string>();
  }
  void Bytes(const char* name, std::string& value) const {
    std::string text;
    this->Text(name, text);
    if (const auto bytes = DecodeBase64(text)) {
      value = *bytes;
    } else {
      this->ok = false;
    }
  }
  template <class E, std::size_t N>
  void Name(const char* name, const NameTable<E, N>& table, E& value) const {
    std::string text;
    this->Text(name, text);
    const auto found = ValueOf(table, text);
    if (!found.has_value()) {
      this->ok = false;
      return;
    }
    value = *found;
  }
};

bool ParseObject(const std::string& text, Json& json) {
  json = Json::parse(text, nullptr, false);
  return json.is_object();
}

void AddToken(Json& json, const FenceToken& token) {
  json["epoch"] = token.epoch;
  json["fence"] = token.count;
}

void ReadToken(const Reader& reader, FenceToken& token) {
  reader.Number("epoch", token.epoch);
  reader.Number("fence", token.count);
}

Json SizeJson(const Resources& size) {
  return {{"milli_cores", size.milli_cores},
          {"memory_mb", size.memory_mb},
          {"accelerators", size.accelerators}};
}

void ReadSize(const Reader& reader, const char* name, Resources& size) {
  const auto found = reader.json.find(name);
  if (found == reader.json.end() || !found->is_object()) {
    reader.ok = false;
    return;
  }
  const Reader inner{*found, reader.ok};
  inner.Number("milli_cores", size.milli_cores);
  inner.Number("memory_mb", size.memory_mb);
  inner.Number("accelerators", size.accelerators);
}

Json TaskJson(const WorkerTask& task) {
  return {{"id", task.id},
          {"job", task.job},
          {"member", task.member},
          {"attempt", task.attempt},
          {"size", SizeJson(task.size)},
          {"idempotent", task.idempotent},
          {"descriptor", EncodeBase64(task.descriptor)}};
}

void ReadTask(const Reader& reader, WorkerTask& task) {
  reader.Text("id", task.id);
  reader.Text("job", task.job);
  reader.Number("member", task.member);
  reader.Number("attempt", task.attempt);
  ReadSize(reader, "size", task.size);
  reader.Bool("idempotent", task.idempotent);
  reader.Bytes("descriptor", task.descriptor);
}

Json EndedJson(const std::vector<EndedTask>& ended) {
  Json list = Json::array();
  for (const EndedTask& task : ended) {
    Json item = TaskJson(task.task);
    item["sequence"] = task.sequence;
    item["end"] = NameOf(kWorkerTaskEndNames, task.end);
    item["result"] = EncodeBase64(task.result);
    item["message"] = task.message;
    list.push_back(std::move(item));
  }
  return list;
}

// Calls `read` for each object of the array `name`.
template <class Read>
void ReadList(const Reader& reader, const char* name, Read read) {
  const auto found = reader.json.find(name);
  if (found == reader.json.end() || !found->is_array()) {
    reader.ok = false;
    return;
  }
  for (const Json& item : *found) {
    if (!item.is_object()) {
      reader.ok = false;
      return;
    }
    read(Reader{item, reader.ok});
  }
}

void ReadEnded(const Reader& reader, std::vector<EndedTask>& ended) {
  ReadList(reader, "ended", [&ended](const Reader& item) {
    EndedTask task;
    ReadTask(item, task.task);
    item.Number("sequence", task.sequence);
    item.Name("end", kWorkerTaskEndNames, task.end);
    item.Bytes("result", task.result);
    item.Text("message", task.message);
    ended.push_back(std::move(task));
  });
}

// Text from workers may be invalid UTF-8. It is replaced, since it would
// otherwise end the process with an exception.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::string MakeTaskId(std::string_view job, uint32_t member,
                       uint32_t attempt) {
  std::string id(job);
  id += '.';
  id += std::to_string(member);
  id += '.';
  id += std::to_string(attempt);
  return id;
}

std::string ToJson(const FenceRequest& request) {
  Json json;
  AddToken(json, request.token);
  return Dump(json);
}

bool FromJson(const std::string& text, FenceRequest& request) {
  Json json;
  bool ok = true;
  if (!ParseObject(text, json)) return false;
  ReadToken(Reader{json, ok}, request.token);
  return ok;
}

std::string ToJson(const FenceReply& reply) {
  Json held = Json::array();
  for (const HeldTask& task : reply.held) {
    Json item = TaskJson(task.task);
    item["running_ms"] = task.running_ms;
    held.push_back(std::move(item));
  }
  return Dump({{"incarnation", reply.incarnation},
               {"held", std::move(held)},
               {"ended", EndedJson(reply.ended)}});
}

bool FromJson(const std::string& text, FenceReply& reply) {
  Json json;
  bool ok = true;
  if (!ParseObject(text, json)) return false;
  const Reader reader{json, ok};
  reader.Number("incarnation", reply.incarnation);
  ReadList(reader, "held", [&reply](const Reader& item) {
    HeldTask task;
    ReadTask(item, task.task);
    item.Number("running_ms", task.running_ms);
    reply.held.push_back(std::move(task));
  });
  ReadEnded(reader, reply.ended);
  return ok;
}

std::string ToJson(const StartRequest& request) {
  Json json{{"task", TaskJson(request.task)},
            {"payload", EncodeBase64(request.payload)}};
  AddToken(json, request.token);
  return Dump(json);
}

bool FromJson(const std::string& text, StartRequest& request) {
  Json json;
  bool ok = true;
  if (!ParseObject(text, json)) return false;
  const Reader reader{json, ok};
  ReadToken(reader, request.token);
  reader.Bytes("payload", request.payload);
  const auto task = json.find("task");
  if (task == json.end() || !task->is_object()) return false;
  ReadTask(Reader{*task, ok}, request.task);
  return ok;
}

std::string ToJson(const SyncRequest& request) {
  Json json{{"lease_ms", request.lease_ms},
            {"renew", request.renew},
            {"acknowledged", request.acknowledged},
            {"received", request.received},
            {"wait_ms", request.wait_ms}};
  AddToken(json, request.token);
  return Dump(json);
}

bool FromJson(const std::string& text, SyncRequest& request) {
  Json json;
  bool ok = true;
  if (!ParseObject(text, json)) return false;
  const Reader reader{json, ok};
  ReadToken(reader, request.token);
  reader.Number("lease_ms", request.lease_ms);
  reader.Bool("renew", request.renew);
  reader.Number("acknowledged", request.acknowledged);
  reader.Number("received", request.received);
  reader.Number("wait_ms", request.wait_ms);
  return ok;
}

std::string ToJson(const SyncReply& reply) {
  Json usage = Json::array();
  for (const TaskUsage& item : reply.usage) {
    usage.push_back({{"task", item.task}, {"used", SizeJson(item.used)}});
  }
  return Dump({{"incarnation", reply.incarnation},
               {"ended", EndedJson(reply.ended)},
               {"usage", std::move(usage)}});
}

bool FromJson(const std::string& text, SyncReply& reply) {
  Json json;
  bool ok = true;
  if (!ParseObject(text, json)) return false;
  const Reader reader{json, ok};
  reader.Number("incarnation", reply.incarnation);
  ReadEnded(reader, reply.ended);
  ReadList(reader, "usage", [&reply](const Reader& item) {
    TaskUsage usage;
    item.Text("task", usage.task);
    ReadSize(item, "used", usage.used);
    reply.usage.push_back(std::move(usage));
  });
  return ok;
}

std::string ToJson(const ControlRequest& request) {
  Json json{{"task", request.task},
            {"action", NameOf(kControlActionNames, request.action)}};
  AddToken(json, request.token);
  return Dump(json);
}

bool FromJson(const std::string& text, ControlRequest& request) {
  Json json;
  bool ok = true;
  if (!ParseObject(text, json)) return false;
  const Reader reader{json, ok};
  ReadToken(reader, request.token);
  reader.Text("task", request.task);
  reader.Name("action", kControlActionNames, request.action);
  return ok;
}

std::string ToJson(const RefusalBody& body) {
  Json json{{"error", body.reason}};
  AddToken(json, body.highest);
  return Dump(json);
}

bool FromJson(const std::string& text, RefusalBody& body) {
  Json json;
  bool ok = true;
  if (!ParseObject(text, json)) return false;
  const Reader reader{json, ok};
  reader.Text("error", body.reason);
  ReadToken(reader, body.highest);
  return ok;
}

}  // namespace dotterelcove
