#include "nesting_guard.h"

namespace sycamorehinge {

namespace {

// Index behind the string that starts at `start`, or behind its line if it is not closed there.
std::size_t EndOfLineString(std::string_view text, std::size_t start) {
  const char quote = text[start];
  for (std::size_t i = start + 1; i < text.size(); ++i) {
    if (text[i] == quote) return i + 1;
    if (text[i] == '\n') return i;
    if (quote == '"' && text[i] == '\\') ++i;
  }
  return text.size();
}

std::size_t EndOfBlockString(std::string_view text, std::size_t start) {
  const char quote = text[start];
  const std::string_view mark = text.substr(start, 3);
  for (std::size_t i = start + mark.size(); i < text.size(); ++i) {
    if (text.substr(i, mark.size()) == mark) {
      i += mark.size();
      // Up to two quotes may stand directly before the closing mark.
      for (int extra = 0; extra < 2 && i < text.size() && text[i] == quote; ++extra) ++i;
      return i;
    }
    if (quote == '"' && text[i] == '\\') ++i;
  }
  return text.size();
}

std::size_t EndOfString(std::string_view text, std::size_t start) {
  const std::string_view mark = text.substr(start, 3);
  const bool block = mark == "\"\"\"" || mark == "'''";
  return block ? EndOfBlockString(text, start) : EndOfLineString(text, start);
}

text_place PlaceOf(std::string_view text, std::size_t index) {
  text_place place;
  for (const char c : text.substr(0, index)) {
    ++place.column;
    if (c == '\n') place = {place.line + 1, 1};
  }
  return place;
}

}  // namespace

std::optional<text_place> FindDeepNesting(std::string_view text) {
  int open = 0;
  int dots = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"' || c == '\'') {
      i = EndOfString(text, i) - 1;
      continue;
    }
    if (c == '#') {
      const std::size_t end = text.find('\n', i);
      if (end == std::string_view::npos) return std::nullopt;
      i = end - 1;
      continue;
    }
    if (c == '[' || c == '{') ++open;
    if ((c == ']' || c == '}') && open > 0) --open;
    if (c == '.') ++dots;
    // These end a dotted key; outside of strings a key cannot contain them.
    if (std::string_view("\n=,[]{}").find(c) != std::string_view::npos) dots = 0;
    if (open > kMaxNesting || dots >= kMaxNesting) return PlaceOf(text, i);
  }
  return std::nullopt;
}

}  // namespace sycamorehinge
