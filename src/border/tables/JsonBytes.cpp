#include "border/tables/JsonBytes.h"

#include "base/Base64.h"

namespace dotterelcove {

nlohmann::json BytesToJson(const std::string& bytes) {
  if (IsUtf8(bytes)) return bytes;
  return {{"base64", EncodeBase64(bytes)}};
}

bool BytesFromJson(const nlohmann::json& value, std::string& bytes) {
  if (value.is_string()) {
    bytes = value.get_ref<const std::string&>();
    return true;
  }
  if (!value.is_object()) return false;
  const auto found = value.find("base64");
  if (found == value.end() || !found->is_string()) return false;
  const auto decoded = DecodeBase64(found->get_ref<const std::string&>());
  if (decoded) bytes = *decoded;
  return decoded.has_value();
}

}  // namespace dotterelcove
