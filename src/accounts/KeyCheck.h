/// Decides whether a call with a key is served. Answers load in which keys are
/// taken away while some daemons are cut off from the store: what a daemon
/// knows of the keys is only as good as its evidence is recent.
#pragma once

#include <cstdint>
#include <optional>

#include "base/NameTable.h"
#include "dotterelcove/Types.h"

namespace dotterelcove::accounts {

enum class KeyVerdict : uint8_t {
  kServe,
  /// No account has the key.
  kUnknownKey,
  /// A newer configuration may have the key: read it and check again.
  kReadAgain,
  /// It is not known whether the key is still valid, or whether it has been
  /// added.
  kEvidenceTooOld,
};
inline constexpr auto kKeyVerdictNames = MakeNameTable<KeyVerdict>(
    {{KeyVerdict::kServe, "serve"},
     {KeyVerdict::kUnknownKey, "unknown_key"},
     {KeyVerdict::kReadAgain, "read_again"},
     {KeyVerdict::kEvidenceTooOld, "evidence_too_old"}});

/// What a daemon knows of the configuration in force.
struct ConfigEvidence {
  /// How long ago it is known to have been the newest, including time for which
  /// the VM was suspended; nothing if it was never known.
  std::optional<TimeMs> age_ms;
  /// A newer one exists that is not in force here.
  bool is_behind = false;
};

/// How soon a change of the configuration must be in force.
struct KeyBounds {
  /// At daemons that reach the store.
  TimeMs apply_ms = 2'000;
  /// At all daemons, for keys that are taken away; nothing for no such bound.
  std::optional<TimeMs> revoke_ms = std::nullopt;
};

/// `read_again` says that the configuration has been read for this call.
KeyVerdict CheckKey(bool is_known, const ConfigEvidence& evidence,
                    const KeyBounds& bounds, bool read_again);

}  // namespace dotterelcove::accounts
