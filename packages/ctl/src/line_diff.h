// Difference of two texts, line by line.
#ifndef SYCAMOREHINGE_CTL_LINE_DIFF_H_
#define SYCAMOREHINGE_CTL_LINE_DIFF_H_

#include <string>
#include <string_view>

namespace sycamorehinge {

// Removed lines begin with '-', added ones with '+'; up to three equal lines around each change
// begin with ' ', and "..." stands for further ones. Empty if the texts are equal.
std::string LineDiff(std::string_view before, std::string_view after);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_LINE_DIFF_H_
