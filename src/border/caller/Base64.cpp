#include "border/caller/Base64.h"

#include <array>
#include <cstdint>

namespace dotterelcove {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Value of one base64 digit, or -1.
int DigitValue(char digit) {
  const size_t position = kAlphabet.find(digit);
  return position == std::string_view::npos ? -1 : static_cast<int>(position);
}

}  // namespace

std::string EncodeBase64(std::string_view data) {
  std::string text;
  text.reserve((data.size() + 2) / 3 * 4);
  for (size_t i = 0; i < data.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      const uint8_t byte =
          i + j < data.size() ? static_cast<uint8_t>(data[i + j]) : 0;
      group = (group << 8) | byte;
    }
    for (size_t j = 0; j < 4; ++j) {
      const bool padding = i + j > data.size();
      text.push_back(padding ? '=' : kAlphabet[(group >> (18 - 6 * j)) & 63]);
    }
  }
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  std::string data;
  data.reserve(text.size() / 4 * 3);
  for (size_t i = 0; i < text.size(); i += 4) {
    const bool last = i + 4 == text.size();
    size_t padding = 0;
    if (last && text[i + 3] == '=') padding = text[i + 2] == '=' ? 2 : 1;
    uint32_t group = 0;
    for (size_t j = 0; j < 4; ++j) {
      const int value = j >= 4 - padding ? 0 : DigitValue(text[i + j]);
      if (value < 0) return std::nullopt;
      group = (group << 6) | static_cast<uint32_t>(value);
    }
    for (size_t j = 0; j < 3 - padding; ++j) {
      data.push_back(static_cast<char>((group >> (16 - 8 * j)) & 0xff));
    }
  }
  if (EncodeBase64(data) != text) return std::nullopt;
  return data;
}

}  // namespace dotterelcove
