#include "section_reader.h"

#include <algorithm>
#include <charconv>
#include <tuple>

#include "nesting_guard.h"

namespace sycamorehinge {

namespace {

std::string RangeName(std::string_view kind, std::string_view least, std::string_view most,
                      std::string_view unit) {
  std::string text = std::string(kind) + " from " + std::string(least) + " to " + std::string(most);
  if (!unit.empty()) text += " " + std::string(unit);
  return text;
}

// Shortest text, so that limits such as 0.1 appear as written.
std::string NumberText(double number) {
  char buffer[32];
  const auto end = std::to_chars(std::begin(buffer), std::end(buffer), number);
  return {std::begin(buffer), end.ptr};
}

// Drops bytes that a terminal or log would interpret.
std::string Printable(std::string_view text) {
  constexpr std::size_t kMaxShown = 128;
  std::string shown(text.substr(0, kMaxShown));
  std::replace_if(
      shown.begin(), shown.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
  return shown;
}

}  // namespace

void mistake_list::Add(const toml::source_region& where, std::string_view key, errc code,
                       std::string expected, std::string_view nearest) {
  if (IsFull()) return;
  mistakes_.push_back({file_, where.begin.line, where.begin.column, Printable(key), code,
                       std::move(expected), std::string(nearest)});
}

std::vector<mistake> mistake_list::Take() {
  std::stable_sort(mistakes_.begin(), mistakes_.end(), [](const mistake& a, const mistake& b) {
    return std::tie(a.line, a.column) < std::tie(b.line, b.column);
  });
  return std::move(mistakes_);
}

section_reader::section_reader(const toml::table& table, std::string path, mistake_list& mistakes)
    : table_(table), path_(std::move(path)), mistakes_(mistakes) {}

std::string section_reader::FullKey(std::string_view key) const {
  if (path_.empty()) return std::string(key);
  if (key.empty()) return path_;
  return path_ + "." + std::string(key);
}

const toml::node* section_reader::Take(std::string_view key) {
  known_.push_back(key);
  return table_.get(key);
}

void section_reader::Report(std::string_view key, errc code, std::string expected,
                            std::string_view nearest) {
  const toml::node* node = table_.get(key);
  mistakes_.Add(node == nullptr ? table_.source() : node->source(), FullKey(key), code,
                std::move(expected), nearest);
}

void section_reader::Read(std::string_view key, std::string& out, const text_rule& rule,
                          bool required) {
  const toml::node* node = Take(key);
  if (node == nullptr) {
    if (required) {
      Report(key, errc::kMalformed, "missing; expected " + std::string(rule.expected));
    }
    return;
  }
  const auto* text = node->as_string();
  if (text == nullptr || (rule.accepts != nullptr && !rule.accepts(text->get()))) {
    Report(key, errc::kMalformed, "expected " + std::string(rule.expected));
    return;
  }
  out = text->get();
}

void section_reader::Read(std::string_view key, std::vector<std::string>& out,
                          const text_rule& rule, bool required) {
  const std::string expected = "list of: " + std::string(rule.expected);
  const toml::node* node = Take(key);
  if (node == nullptr) {
    if (required) Report(key, errc::kMalformed, "missing; expected " + expected);
    return;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr || (required && array->empty())) {
    Report(key, errc::kMalformed, "expected " + expected);
    return;
  }
  if (IsTooLong(key, array->size())) return;
  std::vector<std::string> texts;
  for (const toml::node& item : *array) {
    const auto* text = item.as_string();
    if (text == nullptr || !rule.accepts(text->get())) {
      mistakes_.Add(item.source(), FullKey(key), errc::kMalformed,
                    "expected " + std::string(rule.expected));
      continue;
    }
    if (std::find(texts.begin(), texts.end(), text->get()) != texts.end()) {
      mistakes_.Add(item.source(), FullKey(key), errc::kDuplicateName, "appears twice in the list");
      continue;
    }
    texts.push_back(text->get());
  }
  out = std::move(texts);
}

void section_reader::Read(std::string_view key, double& out, const number_range& range) {
  const toml::node* node = Take(key);
  if (node == nullptr) return;
  const std::optional<double> number = node->value<double>();
  // The comparison is also false for NaN.
  if (!node->is_number() || !(*number >= range.least && *number <= range.most)) {
    Report(key, errc::kMalformed,
           "expected " +
               RangeName("number", NumberText(range.least), NumberText(range.most), range.unit));
    return;
  }
  out = *number;
}

void section_reader::Read(std::string_view key, duration& out, std::int64_t least_ms,
                          std::int64_t most_ms) {
  if (const auto number = TakeInteger(key, least_ms, most_ms, "ms")) {
    out = std::chrono::milliseconds(*number);
  }
}

void section_reader::Read(std::string_view key, bool& out) {
  const toml::node* node = Take(key);
  if (node == nullptr) return;
  if (const auto* value = node->as_boolean()) {
    out = value->get();
  } else {
    Report(key, errc::kMalformed, "expected true or false");
  }
}

std::optional<std::int64_t> section_reader::TakeInteger(std::string_view key, std::int64_t least,
                                                        std::int64_t most, std::string_view unit) {
  const toml::node* node = Take(key);
  if (node == nullptr) return std::nullopt;
  const auto* number = node->as_integer();
  if (number == nullptr || number->get() < least || number->get() > most) {
    Report(
        key, errc::kMalformed,
        "expected " + RangeName("whole number", std::to_string(least), std::to_string(most), unit));
    return std::nullopt;
  }
  return number->get();
}

const toml::table* section_reader::TakeTable(std::string_view key) {
  const toml::node* node = Take(key);
  if (node == nullptr) return nullptr;
  const toml::table* table = node->as_table();
  if (table == nullptr) Report(key, errc::kMalformed, "expected a table");
  return table;
}

bool section_reader::IsTooLong(std::string_view key, std::size_t length) {
  if (length <= kMaxListLength) return false;
  Report(key, errc::kTooLarge, "expected at most " + std::to_string(kMaxListLength) + " entries");
  return true;
}

std::vector<std::pair<std::string, const toml::table*>> section_reader::TakeTables(
    std::string_view key) {
  std::vector<std::pair<std::string, const toml::table*>> tables;
  const toml::node* node = Take(key);
  if (node == nullptr) return tables;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    Report(key, errc::kMalformed, "expected a list of tables");
    return tables;
  }
  if (IsTooLong(key, array->size())) return tables;
  for (std::size_t index = 0; index < array->size(); ++index) {
    const std::string full = FullKey(key) + "[" + std::to_string(index) + "]";
    const toml::table* table = (*array)[index].as_table();
    if (table == nullptr) {
      mistakes_.Add((*array)[index].source(), full, errc::kMalformed, "expected a table");
    } else {
      tables.emplace_back(full, table);
    }
  }
  return tables;
}

void section_reader::Finish() {
  for (const auto& [key, node] : table_) {
    if (mistakes_.IsFull()) return;
    if (std::find(known_.begin(), known_.end(), key.str()) != known_.end()) continue;
    mistakes_.Add(key.source(), FullKey(key.str()), errc::kUnknownKey, "unknown key",
                  NearestName(key.str(), known_));
  }
}

std::optional<toml::table> ParseToml(std::string_view text, std::size_t max_bytes,
                                     mistake_list& mistakes) {
  if (text.size() > max_bytes) {
    mistakes.Add({}, "", errc::kTooLarge,
                 "expected at most " + std::to_string(max_bytes) + " bytes");
    return std::nullopt;
  }
  if (const auto place = FindDeepNesting(text)) {
    const toml::source_position position{place->line, place->column};
    mistakes.Add({position, position, nullptr}, "", errc::kMalformed,
                 "nested deeper than " + std::to_string(kMaxNesting) + " levels");
    return std::nullopt;
  }
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& error) {
    mistakes.Add(error.source(), "", errc::kMalformed, Printable(error.description()));
    return std::nullopt;
  }
}

}  // namespace sycamorehinge
