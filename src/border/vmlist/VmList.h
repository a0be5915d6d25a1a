/// Client of the platform's list of live and leaving VMs. The list lags behind
/// the actual state, so it is a hint and never proof that a VM runs nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/NameTable.h"
#include "dotterelcove/Types.h"
#include "http/HttpClient.h"

namespace dotterelcove {

enum class VmRole : uint8_t { kWorker, kEndpoint };
inline constexpr auto kVmRoleNames = MakeNameTable<VmRole>(
    {{VmRole::kWorker, "worker"}, {VmRole::kEndpoint, "endpoint"}});

enum class VmState : uint8_t { kLive, kLeaving };
inline constexpr auto kVmStateNames = MakeNameTable<VmState>(
    {{VmState::kLive, "live"}, {VmState::kLeaving, "leaving"}});

struct Vm {
  std::string id;
  VmRole role = VmRole::kWorker;
  VmState state = VmState::kLive;
  std::string zone;
  std::string rack;
  /// Base URL of the worker or endpoint, as in "http://127.0.0.1:7300/w/w-01".
  std::string address;
  /// Workers: capacity.
  Resources capacity;
  /// Endpoints: the service it serves, and its limits.
  std::string service;
  int64_t slots = 0;
  int64_t connections = 0;
};

struct VmListResult {
  bool ok = false;
  std::vector<Vm> vms;
};

struct VmListClient {
  HttpClient& http;
  std::string base_url;
  int64_t timeout_ms = 1'000;
};

/// Reads the whole list.
void FetchVms(const VmListClient& client,
              std::function<void(VmListResult)> done);

/// JSON codec, shared with the stand-in.
std::string VmsToJson(const std::vector<Vm>& vms);
bool VmsFromJson(const std::string& text, std::vector<Vm>& vms);

}  // namespace dotterelcove
