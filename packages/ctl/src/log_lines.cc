#include "log_lines.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace sycamorehinge {

namespace {

// Digits of a time stand where this has a 0.
constexpr std::string_view kTimeForm = "0000-00-00T00:00:00.000Z";
constexpr std::string_view kEventKey = "event=";

bool IsTime(std::string_view word) {
  return word.size() == kTimeForm.size() &&
         std::equal(word.begin(), word.end(), kTimeForm.begin(), [](char have, char form) {
           return form == '0' ? std::isdigit(static_cast<unsigned char>(have)) != 0 : have == form;
         });
}

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(' ');
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

std::string_view TakeWord(std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  const std::string_view word = text.substr(0, text.find(' '));
  text.remove_prefix(word.size());
  return word;
}

// Takes one "key=value"; the value may be quoted and hold spaces.
std::string_view TakeField(std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  bool quoted = false;
  std::size_t end = 0;
  for (; end < text.size() && (quoted || text[end] != ' '); ++end) {
    if (text[end] == '\\') {
      ++end;
    } else if (text[end] == '"') {
      quoted = !quoted;
    }
  }
  const std::string_view field = text.substr(0, end);
  text.remove_prefix(field.size());
  return field;
}

// Undoes the escapes of event_format.cc: \", \\ and \xNN.
std::string Unquote(std::string_view value) {
  if (value.size() < 2 || value.front() != '"' || value.back() != '"') return std::string(value);
  value = value.substr(1, value.size() - 2);
  std::string text;
  while (!value.empty()) {
    if (value.front() != '\\' || value.size() < 2) {
      text += value.front();
      value.remove_prefix(1);
      continue;
    }
    unsigned code = 0;
    if (value[1] == 'x' && value.size() >= 4 &&
        std::from_chars(value.data() + 2, value.data() + 4, code, 16).ptr == value.data() + 4) {
      text += static_cast<char>(code);
      value.remove_prefix(4);
    } else {
      text += value[1];
      value.remove_prefix(2);
    }
  }
  return text;
}

}  // namespace

std::optional<log_line> ParseLogLine(std::string_view line) {
  log_line parsed;
  std::string_view rest = line;
  while (!IsTime(parsed.time)) {
    parsed.time = TakeWord(rest);
    if (parsed.time.empty()) return std::nullopt;
  }
  const auto before = static_cast<std::size_t>(parsed.time.data() - line.data());
  parsed.source = Trim(line.substr(0, before));
  parsed.level = TakeWord(rest);
  const std::string_view number = TakeWord(rest);
  if (!number.starts_with(kEventKey)) return std::nullopt;
  parsed.number = number.substr(kEventKey.size());
  parsed.name = TakeWord(rest);
  parsed.fields = rest;
  return parsed;
}

std::string FieldOf(const log_line& line, std::string_view key) {
  std::string_view rest = line.fields;
  while (true) {
    const std::string_view field = TakeField(rest);
    if (field.empty()) return {};
    const auto equals = field.find('=');
    if (equals == std::string_view::npos || field.substr(0, equals) != key) continue;
    return Unquote(field.substr(equals + 1));
  }
}

}  // namespace sycamorehinge
