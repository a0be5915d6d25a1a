#include "border/tables/JsonBytes.h"

#include <cstdint>

namespace dotterelcove {
namespace {

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      const size_t at = i + k;
      group = (group << 8) |
              (at < bytes.size() ? static_cast<uint8_t>(bytes[at]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      const bool padding = i + k > bytes.size();
      text.push_back(padding ? '=' : kDigits[(group >> (18 - 6 * k)) & 63]);
    }
  }
  return text;
}

bool DecodeBase64(std::string_view text, std::string& bytes) {
  if (text.size() % 4 != 0) return false;
  while (!text.empty() && text.back() == '=') text.remove_suffix(1);
  uint32_t group = 0;
  int bits = 0;
  std::string decoded;
  for (const char digit : text) {
    const size_t value = kDigits.find(digit);
    if (value == std::string_view::npos) return false;
    group = (group << 6) | static_cast<uint32_t>(value);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    decoded.push_back(static_cast<char>((group >> bits) & 255));
  }
  bytes = std::move(decoded);
  return true;
}

/// Number of continuation bytes after `lead`, or -1 for an invalid lead.
int ContinuationBytes(uint8_t lead) {
  if (lead < 0x80) return 0;
  if (lead >= 0xc2 && lead < 0xe0) return 1;
  if (lead >= 0xe0 && lead < 0xf0) return 2;
  if (lead >= 0xf0 && lead < 0xf5) return 3;
  return -1;
}

/// Overlong forms, surrogates and values above U+10FFFF show in the second
/// byte.
bool IsSecondByteValid(uint8_t lead, uint8_t second) {
  if (lead == 0xe0) return second >= 0xa0;
  if (lead == 0xed) return second < 0xa0;
  if (lead == 0xf0) return second >= 0x90;
  if (lead == 0xf4) return second < 0x90;
  return true;
}

}  // namespace

bool IsUtf8(std::string_view text) {
  for (size_t i = 0; i < text.size(); ++i) {
    const auto lead = static_cast<uint8_t>(text[i]);
    const int more = ContinuationBytes(lead);
    if (more < 0 || i + static_cast<size_t>(more) >= text.size()) return false;
    for (int k = 1; k <= more; ++k) {
      const auto next = static_cast<uint8_t>(text[i + k]);
      if ((next & 0xc0) != 0x80) return false;
      if (k == 1 && !IsSecondByteValid(lead, next)) return false;
    }
    i += static_cast<size_t>(more);
  }
  return true;
}

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
  return DecodeBase64(found->get_ref<const std::string&>(), bytes);
}

}  // namespace dotterelcove
