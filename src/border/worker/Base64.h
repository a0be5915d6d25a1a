#pragma once

#include <string>
#include <string_view>

namespace dotterelcove {

/// Standard base64 with padding; carries bytes inside JSON strings.
std::string Base64Encode(std::string_view bytes);

/// Reverses Base64Encode. Returns false when `text` is not valid base64.
bool Base64Decode(std::string_view text, std::string& bytes);

}  // namespace dotterelcove
