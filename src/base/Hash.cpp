#include "base/Hash.h"

#include <xxhash.h>

#include <cstdio>

namespace dotterelcove {

uint64_t Hash64(std::string_view data) {
  return XXH3_64bits(data.data(), data.size());
}

std::string Hash128Hex(std::string_view data) {
  const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
  char text[33];
  std::snprintf(text, sizeof(text), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text;
}

std::string MakeJobId(std::string_view caller, std::string_view key) {
  // The length prefix distinguishes ("ab", "c") from ("a", "bc").
  std::string text = std::to_string(caller.size());
  text.append(":").append(caller).append(key);
  return Hash128Hex(text);
}

}  // namespace dotterelcove
