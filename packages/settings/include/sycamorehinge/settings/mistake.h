// Mistakes in files that people write; all mistakes of a file are reported at once.
#ifndef SYCAMOREHINGE_SETTINGS_MISTAKE_H_
#define SYCAMOREHINGE_SETTINGS_MISTAKE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "sycamorehinge/core/error.h"

namespace sycamorehinge {

struct mistake {
  std::string file;
  // 1-based; 0 if the mistake has no place, for example a missing key of the whole file.
  std::uint32_t line = 0;
  std::uint32_t column = 0;
  // Full key, for example "peers.list[2].address"; empty for a syntax error.
  std::string key;
  errc code = errc::kMalformed;
  // What was expected, or what is wrong.
  std::string expected;
  // Known name closest to an unknown one; empty if none is close.
  std::string nearest;
};

// One line: "FILE:LINE:COLUMN: KEY: EXPECTED (CODE); did you mean NEAREST?".
std::string ToString(const mistake& found);
// One line for each mistake, each with a line end.
std::string ToString(std::span<const mistake> mistakes);

// Candidate with the smallest edit distance to `name`; empty if more than a third of the letters
// differ (at least 2 are always tolerated).
std::string_view NearestName(std::string_view name, std::span<const std::string_view> candidates);

// Files are checked up to this number of mistakes, which bounds the time on hostile input.
inline constexpr std::size_t kMaxMistakes = 100;

// A value, or at least one mistake.
template <class T>
class [[nodiscard]] parsed {
 public:
  parsed(T value) : state_(std::move(value)) {}  // NOLINT(google-explicit-constructor)
  parsed(std::vector<mistake> mistakes)          // NOLINT(google-explicit-constructor)
      : state_(std::move(mistakes)) {}

  explicit operator bool() const { return state_.index() == 0; }
  T& operator*() { return std::get<0>(state_); }
  const T& operator*() const { return std::get<0>(state_); }
  T* operator->() { return &std::get<0>(state_); }
  const T* operator->() const { return &std::get<0>(state_); }
  // Empty if there is a value.
  std::span<const mistake> Mistakes() const {
    const auto* mistakes = std::get_if<1>(&state_);
    return mistakes == nullptr ? std::span<const mistake>() : std::span<const mistake>(*mistakes);
  }

 private:
  std::variant<T, std::vector<mistake>> state_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_SETTINGS_MISTAKE_H_
