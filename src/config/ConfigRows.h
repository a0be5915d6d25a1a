/// Published configuration in the table service and the object store:
/// `config/head` names the newest version, `config/<version>` holds its
/// content or the name of the object that does.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "border/objects/ObjectClient.h"
#include "border/tables/TableClient.h"
#include "config/CellConfig.h"

namespace dotterelcove {

/// Content above this size is stored in the object store.
inline constexpr size_t kMaxRowContentBytes = 256 << 10;

struct ConfigHead {
  uint64_t version = 0;
  std::string digest;
};

/// One version's content as it was published.
struct ConfigContent {
  uint64_t version = 0;
  std::string digest;
  std::string content;
};

enum class FetchStatus : uint8_t {
  kOk,
  /// The store has no such version, or its content fails the digest.
  kMissing,
  kUnavailable,
};

std::string ConfigHeadKey();
std::string ConfigRowKey(uint64_t version);
std::string ConfigObjectName(uint64_t version, const std::string& digest);
std::string DigestOf(const std::string& content);

std::string ConfigHeadToJson(const ConfigHead& head);
/// Parses a head; empty text gives version 0. Returns false for malformed text.
bool ConfigHeadFromJson(const std::string& text, ConfigHead& head);

/// Value of the row `config/<version>`: the digest, and the content unless it
/// is in the object store.
std::string ConfigRowToJson(const ConfigContent& content);

/// Reads one version and checks its digest.
void FetchConfig(const TableClient& tables, const ObjectClient& objects,
                 uint64_t version,
                 std::function<void(FetchStatus, ConfigContent)> done);

/// Reads the head; an unpublished cell has version 0.
void FetchConfigHead(
    const TableClient& tables,
    std::function<void(FetchStatus, ConfigHead, uint64_t row_version)> done);

}  // namespace dotterelcove
