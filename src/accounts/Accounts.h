/// The client accounts of a cell: their keys, weights and quotas.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dotterelcove/Types.h"

namespace dotterelcove::accounts {

struct Account {
  std::string name;
  /// Each of them identifies a caller as this account.
  std::vector<std::string> keys;
  /// Jobs a second for which the account is owed service, and its share of the
  /// cell in proportion to the other accounts.
  double weight = 1;
  /// What the account may have running at a time; 0 in a dimension for no
  /// limit.
  Resources quota;
};

/// An account as configured. A member that could not be read is absent.
struct AccountEntry {
  std::string name;
  std::optional<std::vector<std::string>> keys;
  std::optional<double> weight;
  std::optional<Resources> quota;
};

struct AccountTable {
  /// False for a deployment without accounts, whose callers need no key.
  bool enabled = false;
  std::map<std::string, Account> by_name;
  /// Keys of an account could not be read and no earlier version has them, so
  /// that an unknown key may be valid.
  bool are_keys_incomplete = false;
  /// Name of the account that a key belongs to.
  std::map<std::string, std::string> name_by_key;
};

/// A table and what was wrong with the entries that it was made from, one line
/// each. No line contains a key.
struct MadeAccountTable {
  AccountTable table;
  std::vector<std::string> problems;
};

/// Makes a table of the configured accounts. One bad member does not disturb
/// what worked: an account keeps what `earlier` has for it, and a key that two
/// accounts claim stays with the one that had it, or else with the first.
MadeAccountTable MakeAccountTable(const std::vector<AccountEntry>& entries,
                                  const AccountTable& earlier);

/// The account that the key belongs to, null if there is none.
const Account* FindByKey(const AccountTable& table, const std::string& key);

}  // namespace dotterelcove::accounts
