/// The configuration of a cell: merged from service files, published as one
/// version and applied in every process.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "dotterelcove/Result.h"
#include "dotterelcove/Types.h"
#include "settings/DaemonSettings.h"

namespace dotterelcove {

/// A kind of request of a service.
struct KindConfig {
  Delivery delivery = Delivery::kPlace;
  RequestClass request_class = RequestClass::kBatch;
  /// Default for requests that do not specify it.
  bool idempotent = true;
  /// Default size of each task; placed kinds only.
  Resources size;
  uint32_t tasks = 1;
  bool gang = false;
  /// Declared run time in ms; 0 for unknown or unbounded.
  int64_t duration_ms = 0;
  /// Default deadline of requests in ms; 0 for none.
  int64_t deadline_ms = 0;
};

struct ServiceConfig {
  std::string team;
  std::map<std::string, KindConfig> kinds;
};

struct TeamConfig {
  /// The team's own share of the cell; use above it is borrowed.
  Resources quota;
};

/// Limits of one caller over the whole cell.
struct CallerConfig {
  int64_t max_in_progress = 1'000;
  int64_t requests_per_second = 1'000;
};

struct CellConfig {
  uint64_t version = 0;
  std::map<std::string, ServiceConfig> services;
  std::map<std::string, TeamConfig> teams;
  /// Limits by caller; "default" applies to callers that are not listed.
  std::map<std::string, CallerConfig> callers;
};

/// Reads configuration content; fails with a SettingsError.
Result<CellConfig> ParseCellConfig(const std::string& content, uint64_t version,
                                   const std::string& file);

/// Canonical JSON content: equal configurations give identical text.
std::string SerializeCellConfig(const CellConfig& config);

/// Returns the kind of a service, or nullptr.
const KindConfig* FindKind(const CellConfig& config, const std::string& service,
                           const std::string& kind);

}  // namespace dotterelcove
