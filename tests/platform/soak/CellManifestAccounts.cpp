/// The client accounts in the manifests of a cell, and their changes.
#include <nlohmann/json.hpp>
#include <utility>

#include "tests/platform/soak/Cell.h"

namespace dotterelcove::soak {
namespace {

using Json = nlohmann::json;

/// The accounts as the daemons read them, which a planted fault may change.
Json MakeTenants(const CellOptions& options, const AccountSettings& settings) {
  AccountSettings written = settings;
  if (options.plant == Plant::kRevoked) written.revocations = {};
  Json tenants = Json::array();
  for (AccountState& account : MakeAccounts(written, options.jobs_per_second)) {
    if (options.plant == Plant::kForeignKey && tenants.empty()) {
      account.keys.emplace_back(kForeignKey);
    }
    const int64_t factor = options.plant == Plant::kQuota ? 4 : 1;
    tenants.push_back({{"name", account.name},
                       {"api_keys", account.keys},
                       {"weight", options.jobs_per_second / kAccountCount},
                       {"cap",
                        {{"cpu", factor * account.cap_milli_cores},
                         {"mem_mb", factor * account.cap_memory_mb},
                         {"gpu", 0}}}});
  }
  return tenants;
}

}  // namespace

void AddAccounts(const CellOptions& options, const AccountSettings& settings,
                 Json& manifest, ManifestChange& change) {
  for (Json& route : manifest["routes"]) {
    const std::string path_prefix = route["path_prefix"];
    const std::string queue = path_prefix.substr(1, path_prefix.size() - 2);
    if (!IsPublicQueue(queue)) continue;
    change.public_queues.push_back(queue);
    route["public"] = true;
  }
  manifest["tenants"] = MakeTenants(options, settings);
  change.accounts = MakeAccounts(settings, options.jobs_per_second);
}

void Cell::RevokeKeys(const std::vector<size_t>& keys) {
  this->ChangeKeys(keys, 1);
}

void Cell::RestoreKeys(const std::vector<size_t>& keys) {
  this->ChangeKeys(keys, -1);
}

void Cell::ChangeKeys(const std::vector<size_t>& keys, int revocations) {
  const std::lock_guard<std::mutex> lock(this->manifest_mutex);
  for (const size_t key : keys) {
    this->account_settings.revocations[key] += revocations;
  }
  this->WriteNextManifest();
}

void Cell::SetCapPercent(size_t account, int64_t percent) {
  const std::lock_guard<std::mutex> lock(this->manifest_mutex);
  this->account_settings.cap_percent[account] = percent;
  this->WriteNextManifest();
}

}  // namespace dotterelcove::soak
