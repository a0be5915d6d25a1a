/// How much an account may start beside what it has running. Answers load in
/// which an account sends more than it may run: its tasks then start in waves,
/// as earlier ones end.
#pragma once

#include <cstdint>

#include "dotterelcove/Types.h"

namespace dotterelcove::accounts {

/// What an account has running, by its owner's count.
struct AccountUsage {
  Resources running;
  /// The part of it that does not end by itself.
  Resources long_running;
};

/// How many tasks of `size`, `most` at most, may start beside what is running.
/// A task that is larger than the quota may run by itself.
uint32_t CountWithinQuota(const Resources& quota, const Resources& running,
                          const Resources& size, uint32_t most);

/// Whether `count` tasks of `size` may run at the same time while the account
/// has nothing else running.
bool MayRunTogether(const Resources& quota, const Resources& size,
                    uint32_t count);

/// The quota of an account as it binds one kind of its work.
struct QuotaLimits {
  /// The part that this work may fill.
  Resources usable;
  Resources whole;
};

/// Whether the account has less than half of its quota running, in every
/// dimension that the quota limits.
bool IsUnderHalf(const Resources& quota, const Resources& running);

/// Whether `count` tasks of `size` may start together beside what is running. A
/// dimension that they do not fit may be exceeded by one task while less than
/// half of it is in use: the rest of it may be in use by tasks that do not end,
/// so work larger than what is free could wait for ever.
bool MayStartTogether(const QuotaLimits& limits, const Resources& running,
                      const Resources& size, uint32_t count);

/// By how much `count` tasks of `size` would exceed the quota, 0 in a dimension
/// in which they would not.
Resources ExcessOverQuota(const Resources& quota, const Resources& running,
                          const Resources& size, uint32_t count);

/// Whether a task of `size` takes something of a dimension in which `excess` is
/// above 0. If so, starting it would delay the tasks that lack that quota.
bool NeedsAnyOf(const Resources& size, const Resources& excess);

}  // namespace dotterelcove::accounts
