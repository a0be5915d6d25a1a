#include "accounts/KeyCheck.h"

namespace dotterelcove::accounts {
namespace {

/// Evidence counts as too old this much before the bound, since the clocks of
/// two VMs run at slightly different rates.
constexpr TimeMs kMarginMs = 250;

bool IsRecent(const ConfigEvidence& evidence, TimeMs limit_ms) {
  return evidence.age_ms && *evidence.age_ms <= limit_ms;
}

/// Whether the key may have been taken away so long ago that the call must not
/// be served any more.
bool MayBeRevoked(const ConfigEvidence& evidence, const KeyBounds& bounds) {
  if (evidence.is_behind && !IsRecent(evidence, bounds.apply_ms - kMarginMs)) {
    return true;
  }
  return bounds.revoke_ms && !IsRecent(evidence, *bounds.revoke_ms - kMarginMs);
}

}  // namespace

KeyVerdict CheckKey(bool is_known, const ConfigEvidence& evidence,
                    const KeyBounds& bounds, bool read_again) {
  if (is_known) {
    return MayBeRevoked(evidence, bounds) ? KeyVerdict::kEvidenceTooOld
                                          : KeyVerdict::kServe;
  }
  if (!evidence.is_behind && IsRecent(evidence, bounds.apply_ms - kMarginMs)) {
    return KeyVerdict::kUnknownKey;
  }
  return read_again ? KeyVerdict::kEvidenceTooOld : KeyVerdict::kReadAgain;
}

}  // namespace dotterelcove::accounts
