#include "accounts/Quota.h"

#include <algorithm>

namespace dotterelcove::accounts {
namespace {

/// The number of tasks that one dimension of the quota allows.
int64_t CountInDimension(int64_t quota, int64_t running, int64_t size,
                         int64_t most) {
  if (quota <= 0 || size <= 0) return most;
  if (size > quota) return running <= 0 ? std::min<int64_t>(most, 1) : 0;
  return std::clamp<int64_t>((quota - running) / size, 0, most);
}

bool IsUnderHalfOf(int64_t quota, int64_t running) {
  return quota <= 0 || 2 * running < quota;
}

/// One dimension of `QuotaLimits`.
struct DimensionLimits {
  int64_t usable = 0;
  int64_t whole = 0;
};

bool MayStartInDimension(const DimensionLimits& limits, int64_t running,
                         int64_t size, int64_t count) {
  if (limits.whole <= 0 || size <= 0) return true;
  if (running + size * count <= limits.usable) return true;
  return IsUnderHalfOf(limits.whole, running) &&
         running + size * (count - 1) <= limits.whole;
}

int64_t ExcessInDimension(int64_t quota, int64_t running, int64_t size,
                          int64_t count) {
  if (quota <= 0 || size <= 0) return 0;
  return std::max<int64_t>(running + size * count - quota, 0);
}

}  // namespace

uint32_t CountWithinQuota(const Resources& quota, const Resources& running,
                          const Resources& size, uint32_t most) {
  int64_t count = most;
  count = CountInDimension(quota.milli_cores, running.milli_cores,
                           size.milli_cores, count);
  count = CountInDimension(quota.memory_mb, running.memory_mb, size.memory_mb,
                           count);
  count = CountInDimension(quota.accelerators, running.accelerators,
                           size.accelerators, count);
  return static_cast<uint32_t>(count);
}

bool MayRunTogether(const Resources& quota, const Resources& size,
                    uint32_t count) {
  return CountWithinQuota(quota, {}, size, count) >= count;
}

bool IsUnderHalf(const Resources& quota, const Resources& running) {
  return IsUnderHalfOf(quota.milli_cores, running.milli_cores) &&
         IsUnderHalfOf(quota.memory_mb, running.memory_mb) &&
         IsUnderHalfOf(quota.accelerators, running.accelerators);
}

bool MayStartTogether(const QuotaLimits& limits, const Resources& running,
                      const Resources& size, uint32_t count) {
  return MayStartInDimension(
             {limits.usable.milli_cores, limits.whole.milli_cores},
             running.milli_cores, size.milli_cores, count) &&
         MayStartInDimension({limits.usable.memory_mb, limits.whole.memory_mb},
                             running.memory_mb, size.memory_mb, count) &&
         MayStartInDimension(
             {limits.usable.accelerators, limits.whole.accelerators},
             running.accelerators, size.accelerators, count);
}

Resources ExcessOverQuota(const Resources& quota, const Resources& running,
                          const Resources& size, uint32_t count) {
  return {ExcessInDimension(quota.milli_cores, running.milli_cores,
                            size.milli_cores, count),
          ExcessInDimension(quota.memory_mb, running.memory_mb, size.memory_mb,
                            count),
          ExcessInDimension(quota.accelerators, running.accelerators,
                            size.accelerators, count)};
}

bool NeedsAnyOf(const Resources& size, const Resources& excess) {
  return (size.milli_cores > 0 && excess.milli_cores > 0) ||
         (size.memory_mb > 0 && excess.memory_mb > 0) ||
         (size.accelerators > 0 && excess.accelerators > 0);
}

}  // namespace dotterelcove::accounts
