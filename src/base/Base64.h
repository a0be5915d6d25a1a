#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace dotterelcove {

/// Standard base64 with padding (RFC 4648).
std::string EncodeBase64(std::string_view data);

/// Returns std::nullopt unless `text` is canonical base64 with padding.
std::optional<std::string> DecodeBase64(std::string_view text);

/// Whether `text` is well-formed UTF-8, so that it can be put into a JSON
/// string without an encoding such as base64.
bool IsUtf8(std::string_view text);

}  // namespace dotterelcove
