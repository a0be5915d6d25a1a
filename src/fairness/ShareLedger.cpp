#include "fairness/ShareLedger.h"

#include <algorithm>

namespace dotterelcove::fairness {

bool TakeShare(ShareLedger& ledger, const std::string& account, double weight,
               TimeMs now_ms) {
  constexpr double kMsPerSecond = 1'000;
  const double capacity = std::max(weight, 1.0);
  const auto [found, is_new] = ledger.buckets.try_emplace(
      account, ShareLedger::Bucket{capacity, now_ms});
  ShareLedger::Bucket& bucket = found->second;
  const TimeMs passed_ms = std::max<TimeMs>(now_ms - bucket.filled_ms, 0);
  const double gained = weight * static_cast<double>(passed_ms) / kMsPerSecond;
  bucket.tokens = std::min(bucket.tokens + gained, capacity);
  bucket.filled_ms = std::max(bucket.filled_ms, now_ms);
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

}  // namespace dotterelcove::fairness
