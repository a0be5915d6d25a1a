/// The settings of a daemon: one JSON file with comments, validated as a whole
/// before the daemon starts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dotterelcove/Result.h"
#include "dotterelcove/Types.h"
#include "telemetry/Log.h"

namespace dotterelcove {

/// Where a server of this process listens.
struct ListenSettings {
  std::string address;
  uint16_t port = 0;
};

/// Base URLs of the platform's services, for example "http://127.0.0.1:7000".
struct PlatformSettings {
  std::string tables;
  std::string objects;
  std::string vm_list;
};

/// Time limits, in milliseconds.
struct TimingSettings {
  /// Ownership lease, see docs/design.md 3.4.
  int64_t owner_lease_ms = 900;
  int64_t owner_beat_ms = 250;
  int64_t standby_poll_ms = 300;
  /// Shortest time between two group commits.
  int64_t commit_interval_ms = 25;
  int64_t worker_lease_ms = 15'000;
  /// Longest deadline of a routed request.
  int64_t max_routed_deadline_ms = 10'000;
  int64_t vm_list_poll_ms = 1'000;
  int64_t config_poll_ms = 2'000;
  int64_t store_timeout_ms = 1'000;
  int64_t heartbeat_ms = 1'000;
  int64_t peer_silence_ms = 3'000;
  /// Longest time a planned stop may take.
  int64_t drain_limit_ms = 60'000;
};

struct LimitSettings {
  int64_t max_body_bytes = 1 << 20;
  int64_t receive_timeout_ms = 15'000;
  int64_t max_connections = 4'096;
  /// Requests in progress in one entry process.
  int64_t max_in_progress = 10'000;
  int64_t event_ring_size = 20'000;
};

struct DaemonSettings {
  std::string process;
  std::string zone;
  ListenSettings http;
  /// Used by the scheduler daemon only.
  ListenSettings peer;
  /// "ip:port" of the peer port of every scheduler daemon of the cell.
  std::vector<std::string> schedulers;
  /// Names of all entry daemons of the cell.
  std::vector<std::string> entries;
  PlatformSettings platform;
  uint32_t partition = 0;
  TimingSettings timing;
  LimitSettings limits;
  LogLevel log_level = LogLevel::kInfo;
};

/// One validation error in a settings or service file: where it is, the value
/// found and the values allowed. `line` is 0 for an error of the file itself.
struct SettingsFault {
  std::string file;
  int line = 0;
  std::string key;
  std::string value;
  std::string allowed;
};

/// All validation errors of a file.
struct SettingsError {
  std::vector<SettingsFault> faults;
};

/// "file:line: key = value: allowed: …", one line per error.
std::string FormatFaults(const SettingsError& error);

/// Reads and validates a settings file; fails with a SettingsError.
Result<DaemonSettings> LoadDaemonSettings(const std::string& file);

/// Validates settings already read into `text`; `file` is used in messages.
Result<DaemonSettings> ParseDaemonSettings(const std::string& text,
                                           const std::string& file);

}  // namespace dotterelcove
