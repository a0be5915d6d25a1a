#include "accounts/Accounts.h"

#include <utility>

namespace dotterelcove::accounts {
namespace {

/// The account that `entry` configures, with the earlier version's members in
/// place of those that could not be read.
Account MakeAccount(const AccountEntry& entry, const std::string& name,
                    const AccountTable& earlier) {
  Account account;
  const auto before = earlier.by_name.find(name);
  if (before != earlier.by_name.end()) account = before->second;
  account.name = name;
  if (entry.keys) account.keys = *entry.keys;
  if (entry.weight) account.weight = *entry.weight;
  if (entry.quota) account.quota = *entry.quota;
  return account;
}

std::string DescribeMissing(const AccountEntry& entry) {
  std::string missing;
  if (!entry.keys) missing += " keys";
  if (!entry.weight) missing += " weight";
  if (!entry.quota) missing += " quota";
  return missing;
}

/// Gives the key to the account, unless another one claims it and has the
/// better right to it; returns whether there is such a conflict.
bool AssignKey(const std::string& key, const std::string& name,
               const AccountTable& earlier, AccountTable& table) {
  const auto [holder, is_new] = table.name_by_key.try_emplace(key, name);
  if (is_new || holder->second == name) return false;
  const auto before = earlier.name_by_key.find(key);
  const bool had_it =
      before != earlier.name_by_key.end() && before->second == name;
  if (had_it) holder->second = name;
  return true;
}

/// The name of the entry, or if it cannot be read that of the account which had
/// one of its keys before.
std::string NameOfEntry(const AccountEntry& entry,
                        const AccountTable& earlier) {
  if (!entry.name.empty() || !entry.keys) return entry.name;
  for (const std::string& key : *entry.keys) {
    const auto before = earlier.name_by_key.find(key);
    if (before != earlier.name_by_key.end()) return before->second;
  }
  return {};
}

bool HasKnownKeys(const AccountEntry& entry, const std::string& name,
                  const AccountTable& earlier) {
  return entry.keys ||
         (earlier.by_name.contains(name) && !earlier.are_keys_incomplete);
}

}  // namespace

MadeAccountTable MakeAccountTable(const std::vector<AccountEntry>& entries,
                                  const AccountTable& earlier) {
  MadeAccountTable made;
  made.table.enabled = true;
  for (const AccountEntry& entry : entries) {
    const std::string name = NameOfEntry(entry, earlier);
    if (entry.name.empty()) {
      made.problems.push_back("an account has no name, taken for: " + name);
    }
    if (name.empty()) {
      made.table.are_keys_incomplete = true;
      continue;
    }
    const auto [added, is_new] = made.table.by_name.try_emplace(name);
    if (!is_new) {
      made.problems.push_back(name + ": the account is listed twice");
      continue;
    }
    added->second = MakeAccount(entry, name, earlier);
    if (!HasKnownKeys(entry, name, earlier)) {
      made.table.are_keys_incomplete = true;
    }
    const std::string missing = DescribeMissing(entry);
    if (!missing.empty()) {
      made.problems.push_back(name + ": cannot be read:" + missing);
    }
    for (const std::string& key : added->second.keys) {
      // A request without a key would have this one.
      if (key.empty()) {
        made.problems.push_back(name + ": a key is empty");
      } else if (AssignKey(key, name, earlier, made.table)) {
        made.problems.push_back(name +
                                ": a key belongs to another account as well");
      }
    }
  }
  return made;
}

const Account* FindByKey(const AccountTable& table, const std::string& key) {
  const auto name = table.name_by_key.find(key);
  if (name == table.name_by_key.end()) return nullptr;
  const auto account = table.by_name.find(name->second);
  return account == table.by_name.end() ? nullptr : &account->second;
}

}  // namespace dotterelcove::accounts
