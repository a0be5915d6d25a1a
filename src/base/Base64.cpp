#include "base/Base64.h"

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

/// Length of a UTF-8 sequence with this first byte, 0 for an invalid one.
size_t SequenceLength(uint8_t first) {
  if (first < 0x80) return 1;
  if (first >= 0xc2 && first < 0xe0) return 2;
  if (first >= 0xe0 && first < 0xf0) return 3;
  if (first >= 0xf0 && first < 0xf5) return 4;
  return 0;
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

bool IsUtf8(std::string_view text) {
  for (size_t i = 0; i < text.size();) {
    const auto first = static_cast<uint8_t>(text[i]);
    const size_t length = SequenceLength(first);
    if (length == 0 || i + length > text.size()) return false;
    for (size_t j = 1; j < length; ++j) {
      if ((static_cast<uint8_t>(text[i + j]) & 0xc0) != 0x80) return false;
    }
    if (length > 1) {
      const auto second = static_cast<uint8_t>(text[i + 1]);
      // Overlong forms, surrogates and code points above U+10FFFF.
      if (first == 0xe0 && second < 0xa0) return false;
      if (first == 0xed && second > 0x9f) return false;
      if (first == 0xf0 && second < 0x90) return false;
      if (first == 0xf4 && second > 0x8f) return false;
    }
    i += length;
  }
  return true;
}

}  // namespace dotterelcove
