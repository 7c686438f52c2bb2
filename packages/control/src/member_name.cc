#include <array>
#include <charconv>

#include "sycamorehinge/control/calls.h"

namespace sycamorehinge::control {

namespace {

constexpr char kSeparator = '|';
constexpr std::size_t kParts = 5;

template <class Number>
bool ReadNumber(std::string_view text, Number& number) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

std::string FormatMemberName(const member_info& member) {
  std::string name = std::to_string(member.rank);
  for (const std::string_view part :
       {std::string_view(member.name), std::string_view(member.address),
        std::string_view(member.region.value), std::string_view(member.data_centre.value)}) {
    name += kSeparator;
    name += part;
  }
  return name;
}

result<member_info> ParseMemberName(std::string_view name) {
  std::array<std::string_view, kParts> parts;
  for (std::size_t i = 0; i < kParts; ++i) {
    const auto end = name.find(kSeparator);
    if ((end == std::string_view::npos) != (i + 1 == kParts)) return errc::kMalformed;
    parts[i] = name.substr(0, end);
    name.remove_prefix(end == std::string_view::npos ? name.size() : end + 1);
  }
  member_info member;
  if (!ReadNumber(parts[0], member.rank)) return errc::kMalformed;
  member.name = parts[1];
  member.address = parts[2];
  member.region.value = parts[3];
  member.data_centre.value = parts[4];
  return member;
}

}  // namespace sycamorehinge::control
