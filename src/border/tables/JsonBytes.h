/// Lossless encoding of byte strings in JSON: a plain string when they are
/// valid UTF-8, otherwise an object {"base64": "…"}.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace dotterelcove {

nlohmann::json BytesToJson(const std::string& bytes);

/// Returns false, with `bytes` unchanged, for any other JSON value.
bool BytesFromJson(const nlohmann::json& value, std::string& bytes);

}  // namespace dotterelcove
