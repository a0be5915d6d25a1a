/// Which jobs are within the share of their client account. Answers load in
/// which one account sends many times its usual: its jobs beyond the share wait
/// for room that the other accounts leave, and nobody else's do.
#pragma once

#include <map>
#include <string>

#include "dotterelcove/Types.h"

namespace dotterelcove::fairness {

/// A token bucket for each account, filled at the account's weight in jobs a
/// second. It holds what it gains in one second, and at least one job. A job
/// beyond the share takes no token, so a burst does not reduce the account's
/// share afterwards.
struct ShareLedger {
  struct Bucket {
    double tokens = 0;
    TimeMs filled_ms = 0;
  };
  std::map<std::string, Bucket> buckets;
};

/// Counts a job that the account submitted at `now_ms`; returns whether it is
/// within the account's share.
bool TakeShare(ShareLedger& ledger, const std::string& account, double weight,
               TimeMs now_ms);

}  // namespace dotterelcove::fairness
