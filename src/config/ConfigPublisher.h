/// Publishes a configuration by compare-and-set on `config/head`.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/NameTable.h"
#include "border/objects/ObjectClient.h"
#include "border/tables/TableClient.h"
#include "config/CellConfig.h"
#include "loop/EventLoop.h"

namespace dotterelcove {

enum class PublishStatus : uint8_t {
  kPublished,
  /// The same content is already published; no version number was used.
  kUnchanged,
  /// Another version was published concurrently; nothing was written.
  kConflict,
  /// The store could not be reached; nothing was written.
  kUnavailable,
  /// The store's answer to a write was lost, and the outcome could not be read
  /// back within the time limit.
  kUnknown,
};
inline constexpr auto kPublishStatusNames =
    MakeNameTable<PublishStatus>({{PublishStatus::kPublished, "published"},
                                  {PublishStatus::kUnchanged, "unchanged"},
                                  {PublishStatus::kConflict, "conflict"},
                                  {PublishStatus::kUnavailable, "unavailable"},
                                  {PublishStatus::kUnknown, "unknown"}});

struct PublishRequest {
  CellConfig config;
  /// The version that the operator intends to replace. If unset, the newest
  /// version at the start of publishing is replaced.
  std::optional<uint64_t> base_version;
  int64_t time_limit_ms = 10'000;
};

struct PublishResult {
  PublishStatus status = PublishStatus::kUnknown;
  /// Published: the new version. Unchanged and conflict: the newest version.
  uint64_t version = 0;
  /// Conflict: difference from the newest version to the refused one, see
  /// DiffConfigs.
  std::string difference;
};

/// Runs until the outcome is known or the time limit has passed; `done` runs
/// once. `loop` and the clients must live until then.
void PublishConfig(EventLoop& loop, const TableClient& tables,
                   const ObjectClient& objects, PublishRequest request,
                   std::function<void(PublishResult)> done);

enum class ShowStatus : uint8_t { kOk, kMissing, kUnavailable, kMalformed };

/// Reads one published version, or the newest for version 0. An unpublished
/// cell gives an empty configuration of version 0.
void ShowConfig(const TableClient& tables, const ObjectClient& objects,
                uint64_t version,
                std::function<void(ShowStatus, CellConfig)> done);

}  // namespace dotterelcove
