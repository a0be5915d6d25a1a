/// The configuration a cell runs: collected from service files, published as
/// one version, in force in every process.
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
  /// Default for requests that do not say.
  bool idempotent = true;
  /// Default size of each task of a placed kind.
  Resources size;
  uint32_t tasks = 1;
  bool gang = false;
  /// Declared run time, 0 for unknown or unbounded.
  int64_t duration_ms = 0;
  /// Default deadline of requests, 0 for none.
  int64_t deadline_ms = 0;
};

struct ServiceConfig {
  std::string team;
  std::map<std::string, KindConfig> kinds;
};

struct TeamConfig {
  /// Share of the cell that is the team's own; more is borrowed.
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
  /// Named callers; the entry "default" holds for all others.
  std::map<std::string, CallerConfig> callers;
};

/// Reads configuration content; fails with a SettingsError.
Result<CellConfig> ParseCellConfig(const std::string& content, uint64_t version,
                                   const std::string& file);

/// Canonical JSON content, the same for equal configurations.
std::string SerializeCellConfig(const CellConfig& config);

/// The kind of a service, or nothing.
const KindConfig* FindKind(const CellConfig& config, const std::string& service,
                           const std::string& kind);

}  // namespace dotterelcove
