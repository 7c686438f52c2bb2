// Refuses TOML text that is nested too deeply, before the parser sees it.
#ifndef SYCAMOREHINGE_SETTINGS_NESTING_GUARD_H_
#define SYCAMOREHINGE_SETTINGS_NESTING_GUARD_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace sycamorehinge {

struct text_place {
  std::uint32_t line = 1;
  std::uint32_t column = 1;
};

// toml++ 3.3 limits nested values but not dotted keys: 500,000 parts in one key overflow the stack
// when the table is destroyed. Settings and documents need 3 levels.
inline constexpr int kMaxNesting = 32;

// First place with more than kMaxNesting open brackets or parts of one dotted key; nullopt if
// there is none. Strings and comments do not count.
std::optional<text_place> FindDeepNesting(std::string_view text);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_SETTINGS_NESTING_GUARD_H_
