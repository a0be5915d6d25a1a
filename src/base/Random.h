#pragma once

#include <cstdint>
#include <random>

namespace dotterelcove {

/// Generator used wherever a run must be reproducible from its seed.
using Random = std::mt19937_64;

/// Returns a generator seeded from the operating system, for jitter.
inline Random MakeSystemRandom() {
  std::random_device device;
  return Random((static_cast<uint64_t>(device()) << 32) | device());
}

/// Uniform integer in [low, high].
inline int64_t UniformInt(Random& random, int64_t low, int64_t high) {
  return std::uniform_int_distribution<int64_t>(low, high)(random);
}

/// Exponential backoff with equal jitter: for attempt 0, 1, 2… returns a delay
/// that is uniform in [d/2, d], where d = min(base_ms * 2^attempt, max_ms).
inline int64_t BackoffMs(Random& random, int attempt, int64_t base_ms,
                         int64_t max_ms) {
  int64_t delay = base_ms;
  for (int i = 0; i < attempt && delay < max_ms; ++i) delay *= 2;
  if (delay > max_ms) delay = max_ms;
  return UniformInt(random, delay / 2, delay);
}

}  // namespace dotterelcove
