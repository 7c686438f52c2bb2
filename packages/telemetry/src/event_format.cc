#include <array>
#include <charconv>
#include <cstdio>
#include <ctime>

#include "sycamorehinge/telemetry/events.h"

namespace sycamorehinge {

namespace {

bool IsPlain(std::string_view text) {
  if (text.empty()) return false;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte <= ' ' || byte == 0x7f || c == '"' || c == '=' || c == '\\') return false;
  }
  return true;
}

void AppendQuoted(std::string& line, std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  line += '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else if (byte < ' ' || byte == 0x7f) {
      line += "\\x";
      line += kDigits[byte >> 4];
      line += kDigits[byte & 0xf];
    } else {
      line += c;
    }
  }
  line += '"';
}

void AppendValue(std::string& line, std::string_view text) {
  if (IsPlain(text)) {
    line += text;
  } else {
    AppendQuoted(line, text);
  }
}

void AppendValue(std::string& line, bool flag) { line += flag ? "true" : "false"; }

template <class Number>
void AppendValue(std::string& line, Number number) {
  std::array<char, 32> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
  line.append(digits.data(), end);
}

// UTC with milliseconds, for example 2026-12-04T07:51:04.123Z.
void AppendTime(std::string& line, std::int64_t wall_ms) {
  const std::time_t seconds = wall_ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  line.append(text.data(), size);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(wall_ms % 1000));
  line += fraction.data();
}

}  // namespace

std::string FormatEvent(std::int64_t wall_ms, const event_description& row,
                        std::span<const event_field> fields, std::uint64_t repeated) {
  std::string line;
  AppendTime(line, wall_ms);
  line += ' ';
  line += ToString(row.level);
  line += " event=";
  AppendValue(line, static_cast<std::uint64_t>(row.number));
  line += ' ';
  line += row.name;
  for (const event_field& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    std::visit([&](const auto& value) { AppendValue(line, value); }, field.value);
  }
  if (repeated > 0) {
    line += " repeated=";
    AppendValue(line, repeated);
  }
  return line;
}

}  // namespace sycamorehinge
