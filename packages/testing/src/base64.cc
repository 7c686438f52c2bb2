#include "base64.h"

#include <cstdint>

namespace sycamorehinge::testing {

namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

}  // namespace

std::string Base64Encode(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    text += kAlphabet[group >> 18];
    text += kAlphabet[group >> 12 & 63];
    text += i + 1 < bytes.size() ? kAlphabet[group >> 6 & 63] : '=';
    text += i + 2 < bytes.size() ? kAlphabet[group & 63] : '=';
  }
  return text;
}

}  // namespace sycamorehinge::testing
