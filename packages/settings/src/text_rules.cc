#include "text_rules.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "sycamorehinge/settings/secret.h"

namespace sycamorehinge {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxTextLength = 4096;

// Locale-independent, unlike std::isalnum.
bool IsLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool IsNumberUpTo(std::string_view text, unsigned most) {
  unsigned number = 0;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && rest == text.data() + text.size() && number <= most;
}

}  // namespace

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return IsLetterOrDigit(c) || c == '.' || c == '_' || c == '-'; });
}

bool IsHostAddress(std::string_view text) {
  constexpr std::size_t kDots = 3;
  constexpr std::size_t kMaxDigits = 3;
  constexpr unsigned kMaxOctet = 255;
  if (std::count(text.begin(), text.end(), '.') != kDots) return false;
  for (std::size_t octet = 0; octet <= kDots; ++octet) {
    const std::size_t end = std::min(text.find('.'), text.size());
    if (end > kMaxDigits || !IsNumberUpTo(text.substr(0, end), kMaxOctet)) return false;
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return true;
}

bool IsPeerAddress(std::string_view text) {
  constexpr unsigned kMaxPort = 65535;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  const std::string_view port = text.substr(colon + 1);
  return IsHostAddress(text.substr(0, colon)) && port != "0" && IsNumberUpTo(port, kMaxPort);
}

bool IsHttpAddress(std::string_view text) {
  if (text.starts_with("http://")) {
    text.remove_prefix(7);
  } else if (text.starts_with("https://")) {
    text.remove_prefix(8);
  } else {
    return false;
  }
  return !text.empty() && text.size() <= kMaxTextLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return IsLetterOrDigit(c) || std::string_view(".-:/_[]").find(c) != std::string::npos;
         });
}

bool IsOptionalHttpAddress(std::string_view text) { return text.empty() || IsHttpAddress(text); }

bool IsLogLevel(std::string_view text) {
  constexpr std::array<std::string_view, 3> kLevels = {"info", "warning", "error"};
  return std::find(kLevels.begin(), kLevels.end(), text) != kLevels.end();
}

bool IsSecretSource(std::string_view text) { return ParseSecretSource(text).has_value(); }

bool IsOptionalVariableName(std::string_view text) {
  return text.empty() || (IsName(text) && text.find_first_of(".-") == std::string_view::npos);
}

bool IsAnyText(std::string_view text) { return text.size() <= kMaxTextLength; }

}  // namespace sycamorehinge
