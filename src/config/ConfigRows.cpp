#include "config/ConfigRows.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/Hash.h"

namespace dotterelcove {
namespace {

using nlohmann::json;

using FetchCallback = std::function<void(FetchStatus, ConfigContent)>;

bool GetText(const json& body, const char* name, std::string& text) {
  if (!body.is_object()) return false;
  const auto found = body.find(name);
  if (found == body.end() || !found->is_string()) return false;
  text = found->get<std::string>();
  return true;
}

void Verify(ConfigContent content, const FetchCallback& done) {
  const bool intact = DigestOf(content.content) == content.digest;
  done(intact ? FetchStatus::kOk : FetchStatus::kMissing, std::move(content));
}

void FetchFromObject(const ObjectClient& objects, ConfigContent content,
                     FetchCallback done) {
  const std::string name = ConfigObjectName(content.version, content.digest);
  GetObject(objects, name,
            [content = std::move(content),
             done = std::move(done)](const ObjectResult& result) {
              if (result.status != TableStatus::kOk) {
                done(FetchStatus::kUnavailable, {});
                return;
              }
              if (!result.found) {
                done(FetchStatus::kMissing, {});
                return;
              }
              ConfigContent whole = content;
              whole.content = result.content;
              Verify(std::move(whole), done);
            });
}

}  // namespace

std::string ConfigHeadKey() { return "config/head"; }

std::string ConfigRowKey(uint64_t version) {
  return "config/" + std::to_string(version);
}

std::string ConfigObjectName(uint64_t version, const std::string& digest) {
  return "config/" + std::to_string(version) + "-" + digest;
}

std::string DigestOf(const std::string& content) { return Hash128Hex(content); }

std::string ConfigHeadToJson(const ConfigHead& head) {
  return json{{"version", head.version}, {"digest", head.digest}}.dump();
}

bool ConfigHeadFromJson(const std::string& text, ConfigHead& head) {
  head = {};
  if (text.empty()) return true;
  const json body = json::parse(text, nullptr, false);
  if (!GetText(body, "digest", head.digest)) return false;
  const json version = body.value("version", json());
  if (!version.is_number_unsigned()) return false;
  head.version = version.get<uint64_t>();
  return true;
}

std::string ConfigRowToJson(const ConfigContent& content) {
  json row = {{"digest", content.digest}};
  if (content.content.size() <= kMaxRowContentBytes) {
    row["content"] = content.content;
  }
  return row.dump();
}

void FetchConfig(const TableClient& tables, const ObjectClient& objects,
                 uint64_t version, FetchCallback done) {
  ReadRows(
      tables, {ConfigRowKey(version)},
      [objects, version, done = std::move(done)](const ReadResult& result) {
        if (result.status != TableStatus::kOk) {
          done(FetchStatus::kUnavailable, {});
          return;
        }
        const json row = json::parse(result.rows[0].value, nullptr, false);
        ConfigContent content;
        content.version = version;
        if (!GetText(row, "digest", content.digest)) {
          done(FetchStatus::kMissing, {});
          return;
        }
        if (GetText(row, "content", content.content)) {
          Verify(std::move(content), done);
          return;
        }
        FetchFromObject(objects, std::move(content), done);
      });
}

void FetchConfigHead(
    const TableClient& tables,
    std::function<void(FetchStatus, ConfigHead, uint64_t)> done) {
  ReadRows(tables, {ConfigHeadKey()},
           [done = std::move(done)](const ReadResult& result) {
             ConfigHead head;
             if (result.status != TableStatus::kOk ||
                 !ConfigHeadFromJson(result.rows[0].value, head)) {
               done(FetchStatus::kUnavailable, {}, 0);
               return;
             }
             done(FetchStatus::kOk, head, result.rows[0].version);
           });
}

}  // namespace dotterelcove
