// Tables and values as text for terminals.
#ifndef SYCAMOREHINGE_CTL_TEXT_TABLE_H_
#define SYCAMOREHINGE_CTL_TEXT_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Replaces control characters, which a terminal would interpret.
std::string Printable(std::string_view text);

// Left-aligned columns, numbers right-aligned.
class text_table {
 public:
  explicit text_table(std::vector<std::string> headings);
  // Missing cells are empty, further ones are dropped.
  void Add(std::vector<std::string> cells);
  // Heading and rows, each with a line end.
  std::string Render() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

// "2026-12-04 07:50:00Z"; "-" for 0.
std::string WallTimeText(std::int64_t wall_ms);
// "2.5 cores, 4 GB, 1 acc, 8 slots"; zero parts are left out, "-" if all are zero.
std::string SizeText(const resources& size);
// "12 ms", "1.5 s" or "3 min 20 s".
std::string DurationText(std::int64_t ms);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_TEXT_TABLE_H_
