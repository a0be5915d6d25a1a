#include "tests/platform/soak/StoreStandin.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "base/Base64.h"

namespace dotterelcove::soak {
namespace {

using Json = nlohmann::json;

/// Time of one answer, as at the users' store.
constexpr int64_t kAnswerMs = 4;
constexpr size_t kMaxRows = 500;
/// Where the daemons keep jobs.
constexpr const char* kJobTable = "job";
constexpr size_t kMaxRowBytes = 65'536;

std::string Field(const Request& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

Reply Error(int status) {
  Reply reply;
  reply.status = status;
  return reply;
}

Json RowToJson(const Row& row) {
  Json json{{"table", row.table},
            {"part", row.part},
            {"key", row.key},
            {"row_version", row.version}};
  if (row.dropped) {
    json["tombstone"] = true;
  } else {
    json["value"] = row.value;
  }
  return json;
}

}  // namespace

bool StoreStandin::Serve(const std::string& caller, const std::string& ip,
                         uint16_t port) {
  auto server = std::make_unique<Server>(
      ip, port, [this, caller](const Request& request) {
        Request named = request;
        named.caller = caller;
        return this->Handle(named);
      });
  if (!server->Start()) return false;
  this->servers[caller] = std::move(server);
  return true;
}

void StoreStandin::Stop() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_stopped = true;
  }
  this->changed.notify_all();
  for (const auto& [caller, server] : this->servers) server->Stop();
  for (std::thread& thread : this->late) thread.join();
}

void StoreStandin::PerformLate(const Request& request, int64_t late_ms) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->is_stopped) return;
  this->late.emplace_back([this, request, late_ms] {
    const bool waited = SleepUnless(late_ms, this->is_stopped);
    if (waited) this->Perform(request);
  });
}

void StoreStandin::SetFault(const std::string& caller, StoreFault fault,
                            bool reset_connections) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->faults[caller] = fault;
  }
  this->changed.notify_all();
  const auto server = this->servers.find(caller);
  if (reset_connections && server != this->servers.end()) {
    server->second->ResetChannels();
  }
}

void StoreStandin::DropHistory() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->history.clear();
    this->forgotten = this->version;
  }
  this->changed.notify_all();
}

StoreFault StoreStandin::DrawFault(const std::string& caller) {
  constexpr uint32_t kAll = 100;
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->faults.find(caller);
  if (found == this->faults.end()) return {};
  if (this->random() % kAll >= found->second.percent) return {};
  return found->second;
}

Reply StoreStandin::Hold() {
  SleepUnless(kNoAnswerMs, this->is_stopped);
  Reply reply;
  reply.reset = true;
  return reply;
}

void StoreStandin::Apply(const Key& key, const std::string& value, bool dropped,
                         uint64_t new_version) {
  Row row{std::get<0>(key), std::get<1>(key), std::get<2>(key), value,
          new_version,      dropped};
  this->history.push_back(row);
  if (dropped) {
    this->rows.erase(key);
  } else {
    this->rows[key] = std::move(row);
  }
}

uint64_t StoreStandin::Put(const std::string& table, const std::string& key,
                           const std::string& text) {
  uint64_t written = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    written = ++this->version;
    this->Apply({table, "", key}, EncodeBase64(text), false, written);
  }
  this->changed.notify_all();
  return written;
}

void StoreStandin::Remove(const std::string& table, const std::string& key) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->rows.contains({table, "", key})) return;
    this->Apply({table, "", key}, "", true, ++this->version);
  }
  this->changed.notify_all();
}

std::string StoreStandin::RowsToJson(const Request& request,
                                     const std::vector<Row>& found,
                                     bool has_more) const {
  Json list = Json::array();
  for (const Row& row : found) {
    list.push_back(RowToJson(row));
    if (this->value_for && !row.dropped) {
      list.back()["value"] = this->value_for(request.caller, row);
    }
  }
  return Json{{"rows", std::move(list)},
              {"has_more", has_more},
              {"row_version", this->version},
              {"now_ms", NowMs()}}
      .dump();
}

Reply StoreStandin::HideChanges(const Request& request) {
  Reply reply;
  if (request.path == "/rows-feed") {
    SleepMs(std::atoll(Field(request, "wait_ms").c_str()));
    const std::lock_guard<std::mutex> lock(this->mutex);
    reply.body = this->RowsToJson(request, {}, false);
    return reply;
  }
  reply = this->Perform(request);
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->first_manifest.empty()) this->first_manifest = reply.body;
  reply.body = this->first_manifest;
  return reply;
}

bool StoreStandin::RefusesInsert(const Request& request) const {
  if (this->plant != Plant::kRefused || request.path != "/rows-tx") {
    return false;
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("puts")) return false;
  return std::any_of(
      body["puts"].begin(), body["puts"].end(), [](const Json& put) {
        const std::string key = put.at("key");
        return put.at("table") == kJobTable && key.ends_with('0');
      });
}

bool StoreStandin::LosesInsert(const Row& row) {
  if (this->plant != Plant::kLost || row.table != kJobTable) return false;
  constexpr uint64_t kOneIn = 3;
  return ++this->inserts % kOneIn == 0;
}

Reply StoreStandin::Handle(const Request& request) {
  if (this->RefusesInsert(request)) {
    this->Perform(request);
    return Error(503);
  }
  const bool is_hidden =
      request.caller.starts_with("daemon-") && Field(request, "table") == "op";
  if (this->plant == Plant::kConfig && is_hidden) {
    return this->HideChanges(request);
  }
  const StoreFault fault = this->DrawFault(request.caller);
  Reply reset;
  reset.reset = true;
  switch (fault.kind) {
    case StoreFaultKind::kNone:
      return this->Perform(request);
    case StoreFaultKind::kRefuse:
      SleepMs(kAnswerMs);
      return Error(503);
    case StoreFaultKind::kThrottle:
      SleepMs(kAnswerMs);
      return Error(429);
    case StoreFaultKind::kResetBefore:
      return reset;
    case StoreFaultKind::kResetAfter:
      this->Perform(request);
      return reset;
    case StoreFaultKind::kSilent:
      return this->Hold();
    case StoreFaultKind::kLoseAnswer:
      this->Perform(request);
      return this->Hold();
    case StoreFaultKind::kPerformLate:
      if (request.path == "/rows-tx") {
        this->PerformLate(request, fault.delay_ms);
      }
      return this->Hold();
    case StoreFaultKind::kSlow:
      SleepMs(fault.delay_ms);
      return this->Perform(request);
    case StoreFaultKind::kErrorAfter:
      this->Perform(request);
      return Error(500);
    case StoreFaultKind::kRefuseAfter:
      this->Perform(request);
      return Error(503);
  }
  return Error(400);
}

Reply StoreStandin::Perform(const Request& request) {
  if (request.path == "/rows-feed") return this->Feed(request);
  SleepMs(kAnswerMs);
  if (request.path == "/rows-tx") return this->Transact(request);
  if (request.path == "/rows-get") return this->Read(request);
  if (request.path == "/rows-parts") return this->ListParts(request);
  return Error(400);
}

Reply StoreStandin::Transact(const Request& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) return Error(400);
  const auto key_of = [](const Json& entry) {
    return Key{entry.at("table"), entry.at("part"), entry.at("key")};
  };
  const Json none = Json::array();
  const Json& puts = body.contains("puts") ? body["puts"] : none;
  const Json& removals = body.contains("remove") ? body["remove"] : none;
  for (const Json& put : puts) {
    const std::string table = put.at("table");
    if (table == "op" || table == "servers") return Error(403);
    if (put.at("value").get<std::string>().size() > kMaxRowBytes * 4 / 3 + 4) {
      return Error(400);
    }
  }
  Reply reply;
  std::vector<Row> written;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    bool holds = true;
    std::vector<Row> current;
    if (body.contains("expected_rev")) {
      for (const Json& condition : body["expected_rev"]) {
        const Key key = key_of(condition);
        const auto found = this->rows.find(key);
        Row row{
            std::get<0>(key), std::get<1>(key), std::get<2>(key), "", 0, false};
        if (found != this->rows.end()) row = found->second;
        const uint64_t expected = condition.at("row_version");
        holds = holds && row.version == expected;
        if (row.version > 0) current.push_back(std::move(row));
      }
    }
    if (!holds) {
      reply.status = 412;
      reply.body = this->RowsToJson(request, current, false);
      return reply;
    }
    const uint64_t new_version = ++this->version;
    for (const Json& put : puts) {
      const Key key = key_of(put);
      if (!this->rows.contains(key) &&
          this->LosesInsert({std::get<0>(key), {}, {}, {}, 0, false})) {
        continue;
      }
      this->Apply(key, put.at("value"), false, new_version);
      written.push_back(this->history.back());
    }
    for (const Json& removal : removals) {
      const Key key = key_of(removal);
      if (this->rows.contains(key)) this->Apply(key, "", true, new_version);
    }
    reply.body = this->RowsToJson(request, {}, false);
  }
  this->changed.notify_all();
  if (this->on_put) {
    for (const Row& row : written) this->on_put(row);
  }
  return reply;
}

Reply StoreStandin::Read(const Request& request) {
  const std::string table = Field(request, "table");
  const std::string part = Field(request, "part");
  const std::string from = Field(request, "from");
  const std::string target = Field(request, "target");
  const std::string wanted = Field(request, "limit");
  const size_t limit =
      wanted.empty()
          ? kMaxRows
          : std::min<size_t>(std::strtoull(wanted.c_str(), nullptr, 10),
                             kMaxRows);
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<Row> found;
  bool has_more = false;
  for (auto it = this->rows.lower_bound({table, part, from});
       it != this->rows.end(); ++it) {
    const Row& row = it->second;
    if (row.table != table || row.part != part) break;
    if (!target.empty() && row.key >= target) break;
    if (found.size() >= limit) {
      has_more = true;
      break;
    }
    found.push_back(row);
  }
  Reply reply;
  reply.body = this->RowsToJson(request, found, has_more);
  return reply;
}

Reply StoreStandin::ListParts(const Request& request) {
  const std::string table = Field(request, "table");
  const std::lock_guard<std::mutex> lock(this->mutex);
  Json parts = Json::array();
  for (const auto& [key, row] : this->rows) {
    if (row.table != table) continue;
    if (parts.empty() || parts.back() != row.part) parts.push_back(row.part);
  }
  Reply reply;
  reply.body = Json{{"parts", std::move(parts)}, {"has_more", false}}.dump();
  return reply;
}

Reply StoreStandin::Feed(const Request& request) {
  const std::string table = Field(request, "table");
  const uint64_t after =
      std::strtoull(Field(request, "after").c_str(), nullptr, 10);
  const int64_t wait_ms = std::atoll(Field(request, "wait_ms").c_str());
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(std::max<int64_t>(wait_ms, 0));
  std::unique_lock<std::mutex> lock(this->mutex);
  if (after < this->forgotten) return Error(410);
  std::vector<Row> found;
  bool timed_out = false;
  while (!this->is_stopped) {
    // Versions rise along the history, which may be another one by now.
    auto at = std::partition_point(
        this->history.begin(), this->history.end(),
        [&](const Row& row) { return row.version <= after; });
    for (; at != this->history.end(); ++at) {
      if (at->table == table) found.push_back(*at);
    }
    if (!found.empty() || timed_out) break;
    timed_out =
        this->changed.wait_until(lock, until) == std::cv_status::timeout;
    if (after < this->forgotten) return Error(410);
  }
  if (this->is_stopped) return Error(503);
  Reply reply;
  reply.body = this->RowsToJson(request, found, false);
  return reply;
}

}  // namespace dotterelcove::soak
