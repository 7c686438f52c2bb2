#include "text_table.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <ctime>

namespace sycamorehinge {

namespace {

// Columns on a terminal: one for each code point.
std::size_t Width(std::string_view text) {
  return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char c) {
    return (static_cast<unsigned char>(c) & 0xc0U) != 0x80U;
  }));
}

bool IsNumber(std::string_view text) {
  return text == "-" || (!text.empty() && text.find_first_not_of("0123456789.") == text.npos);
}

// At most two decimals: enough for people, and no column grows with a binary fraction.
std::string ShortNumber(double value) {
  value = std::round(value * 100) / 100;
  std::array<char, 32> buffer{};
  const auto end = std::to_chars(buffer.begin(), buffer.end(), value);
  return {buffer.begin(), end.ptr};
}

}  // namespace

std::string Printable(std::string_view text) {
  std::string shown(text);
  std::replace_if(
      shown.begin(), shown.end(),
      [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }, '?');
  return shown;
}

text_table::text_table(std::vector<std::string> headings) : rows_{std::move(headings)} {}

void text_table::Add(std::vector<std::string> cells) {
  cells.resize(rows_.front().size());
  std::transform(cells.begin(), cells.end(), cells.begin(),
                 [](const std::string& cell) { return Printable(cell); });
  rows_.push_back(std::move(cells));
}

std::string text_table::Render() const {
  const std::size_t columns = rows_.front().size();
  std::vector<std::size_t> widths(columns, 0);
  std::vector<bool> numeric(columns, rows_.size() > 1);
  for (std::size_t row = 0; row < rows_.size(); ++row) {
    for (std::size_t column = 0; column < columns; ++column) {
      const std::string& cell = rows_[row][column];
      widths[column] = std::max(widths[column], Width(cell));
      if (row > 0 && !IsNumber(cell)) numeric[column] = false;
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : rows_) {
    std::string line;
    for (std::size_t column = 0; column < columns; ++column) {
      const std::string padding(widths[column] - Width(row[column]), ' ');
      if (column > 0) line += "  ";
      line += numeric[column] ? padding + row[column] : row[column] + padding;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string WallTimeText(std::int64_t wall_ms) {
  if (wall_ms <= 0) return "-";
  const std::time_t seconds = wall_ms / 1000;
  std::tm parts{};
  std::array<char, 32> buffer{};
  if (gmtime_r(&seconds, &parts) == nullptr) return "-";
  const std::size_t size = std::strftime(buffer.data(), buffer.size(), "%F %TZ", &parts);
  return {buffer.data(), size};
}

std::string SizeText(const resources& size) {
  constexpr double kMillisPerCore = 1000;
  constexpr double kMbPerGb = 1024;
  std::string text;
  const auto add = [&text](const std::string& number, std::string_view unit) {
    if (!text.empty()) text += ", ";
    text += number + " " + std::string(unit);
  };
  if (size.cores_milli != 0) {
    add(ShortNumber(static_cast<double>(size.cores_milli) / kMillisPerCore), "cores");
  }
  if (size.memory_mb != 0) {
    add(ShortNumber(static_cast<double>(size.memory_mb) / kMbPerGb), "GB");
  }
  if (size.accelerators != 0) add(std::to_string(size.accelerators), "acc");
  if (size.slots != 0) add(std::to_string(size.slots), "slots");
  return text.empty() ? "-" : text;
}

std::string DurationText(std::int64_t ms) {
  constexpr std::int64_t kSecond = 1000;
  constexpr std::int64_t kMinute = 60 * kSecond;
  if (ms < kSecond) return std::to_string(ms) + " ms";
  if (ms < kMinute) return ShortNumber(std::floor(static_cast<double>(ms) / 100) / 10) + " s";
  return std::to_string(ms / kMinute) + " min " + std::to_string(ms % kMinute / kSecond) + " s";
}

}  // namespace sycamorehinge
