/// Client of the platform's object store.
#pragma once

#include <functional>
#include <string>

#include "border/tables/TableClient.h"

namespace dotterelcove {

struct ObjectClient {
  HttpClient& http;
  std::string base_url;
  int64_t timeout_ms = 5'000;
};

struct ObjectResult {
  TableStatus status = TableStatus::kUnknown;
  bool found = false;
  std::string content;
};

/// Writes a whole object, replacing an existing one of the same name.
void PutObject(const ObjectClient& client, const std::string& name,
               std::string content, std::function<void(ObjectResult)> done);

void GetObject(const ObjectClient& client, const std::string& name,
               std::function<void(ObjectResult)> done);

}  // namespace dotterelcove
