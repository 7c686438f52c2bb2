#include <array>
#include <charconv>
#include <cstdio>
#include <limits>

#include "sycamorehinge/control/calls.h"

namespace sycamorehinge::control {

namespace {

constexpr char kSeparator = '|';
constexpr std::size_t kParts = 7;

template <class Number>
bool ReadNumber(std::string_view text, Number& number) {
  const char* end = text.data() + text.size();
  return !text.empty() && std::from_chars(text.data(), end, number).ptr == end;
}

}  // namespace

std::string FormatMemberName(const member_info& member) {
  // Fixed width, so that names of equal rank sort by start time.
  std::array<char, 24> started{};
  std::snprintf(started.data(), started.size(), "%015lld",
                static_cast<long long>(member.started_ms));
  // The newest epoch sorts first, and the lack of one last.
  std::array<char, 24> owner{};
  std::snprintf(owner.data(), owner.size(), "%020llu",
                std::numeric_limits<unsigned long long>::max() - member.owner_epoch);
  std::string name = std::to_string(member.rank);
  for (const std::string_view part :
       {std::string_view(owner.data()), std::string_view(started.data()),
        std::string_view(member.name), std::string_view(member.address),
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
  std::uint64_t owner = 0;
  if (!ReadNumber(parts[0], member.rank) || !ReadNumber(parts[1], owner) ||
      !ReadNumber(parts[2], member.started_ms)) {
    return errc::kMalformed;
  }
  member.owner_epoch = std::numeric_limits<std::uint64_t>::max() - owner;
  member.name = parts[3];
  member.address = parts[4];
  member.region.value = parts[5];
  member.data_centre.value = parts[6];
  return member;
}

}  // namespace sycamorehinge::control
