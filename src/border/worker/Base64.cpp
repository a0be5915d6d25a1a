#include "border/worker/Base64.h"

#include <cstdint>

namespace dotterelcove {
namespace {

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

int DigitValue(char c) {
  if (c >= 'A' && c <= 'Z') return c - 'A';
  if (c >= 'a' && c <= 'z') return c - 'a' + 26;
  if (c >= '0' && c <= '9') return c - '0' + 52;
  if (c == '+') return 62;
  if (c == '/') return 63;
  return -1;
}

}  // namespace

std::string Base64Encode(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (size_t i = 0; i < bytes.size(); i += 3) {
    const size_t left = bytes.size() - i;
    uint32_t group = static_cast<uint8_t>(bytes[i]) << 16;
    if (left > 1) group |= static_cast<uint8_t>(bytes[i + 1]) << 8;
    if (left > 2) group |= static_cast<uint8_t>(bytes[i + 2]);
    text += kDigits[group >> 18];
    text += kDigits[(group >> 12) & 63];
    text += left > 1 ? kDigits[(group >> 6) & 63] : '=';
    text += left > 2 ? kDigits[group & 63] : '=';
  }
  return text;
}

bool Base64Decode(std::string_view text, std::string& bytes) {
  bytes.clear();
  if (text.size() % 4 != 0) return false;
  bytes.reserve(text.size() / 4 * 3);
  while (!text.empty() && text.back() == '=') text.remove_suffix(1);
  uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const int value = DigitValue(c);
    if (value < 0) return false;
    group = (group << 6) | static_cast<uint32_t>(value);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>((group >> bits) & 255);
  }
  return true;
}

}  // namespace dotterelcove
