#include "sycamorehinge/net/url.h"

#include <algorithm>

#include "sycamorehinge/net/http_types.h"

namespace sycamorehinge {

namespace {

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '.' || c == '_' || c == '~';
}

char ToLowerAscii(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

template <class Header>
std::optional<std::string_view> FindHeaderIn(std::span<const Header> headers,
                                             std::string_view name) {
  for (const Header& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) return std::string_view(header.value);
  }
  return std::nullopt;
}

}  // namespace

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string escaped;
  escaped.reserve(text.size());
  for (const char c : text) {
    if (IsUnreserved(c)) {
      escaped += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    escaped += '%';
    escaped += kDigits[byte >> 4];
    escaped += kDigits[byte & 0xf];
  }
  return escaped;
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToLowerAscii(x) == ToLowerAscii(y); });
}

std::optional<std::string_view> FindHeader(std::span<const http_header> headers,
                                           std::string_view name) {
  return FindHeaderIn(headers, name);
}

std::optional<std::string_view> FindHeader(std::span<const http_header_view> headers,
                                           std::string_view name) {
  return FindHeaderIn(headers, name);
}

}  // namespace sycamorehinge
