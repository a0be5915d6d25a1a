/// Byte strings in JSON: plain text when they are valid UTF-8, else an object
/// {"base64": "…"}, so that no byte is changed on the way.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace dotterelcove {

nlohmann::json BytesToJson(const std::string& bytes);

/// Returns false, with `bytes` unchanged, for any other JSON value.
bool BytesFromJson(const nlohmann::json& value, std::string& bytes);

}  // namespace dotterelcove
