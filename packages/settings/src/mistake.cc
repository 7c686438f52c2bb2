#include "sycamorehinge/settings/mistake.h"

#include <algorithm>
#include <numeric>

namespace sycamorehinge {

namespace {

// Longer names are never close to a known one, and the distance takes quadratic time.
constexpr std::size_t kMaxComparedLength = 64;

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

}  // namespace

std::string ToString(const mistake& found) {
  std::string text = found.file;
  if (found.line > 0) {
    text += ":" + std::to_string(found.line) + ":" + std::to_string(found.column);
  }
  if (!found.key.empty()) text += ": " + found.key;
  text += ": " + found.expected + " (" + std::string(ErrorName(found.code)) + ")";
  if (!found.nearest.empty()) text += "; did you mean " + found.nearest + "?";
  return text;
}

std::string ToString(std::span<const mistake> mistakes) {
  std::string text;
  for (const mistake& found : mistakes) text += ToString(found) + "\n";
  return text;
}

std::string_view NearestName(std::string_view name, std::span<const std::string_view> candidates) {
  if (name.size() > kMaxComparedLength) return {};
  std::size_t smallest = std::max<std::size_t>(2, name.size() / 3) + 1;
  std::string_view nearest;
  for (const std::string_view candidate : candidates) {
    const std::size_t distance = EditDistance(name, candidate);
    // A candidate that shares no letter is no help, however short it is.
    if (distance < smallest && distance < std::max(name.size(), candidate.size())) {
      smallest = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace sycamorehinge
