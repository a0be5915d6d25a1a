#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace dotterelcove {

/// 64-bit hash (XXH3). Stable across VMs and releases.
uint64_t Hash64(std::string_view data);

/// 128-bit hash (XXH3) as 32 lower-case hexadecimal digits.
std::string Hash128Hex(std::string_view data);

/// The job id of a request: a 128-bit hash of caller and key, so that every
/// process derives the same id for the same request.
std::string MakeJobId(std::string_view caller, std::string_view key);

}  // namespace dotterelcove
