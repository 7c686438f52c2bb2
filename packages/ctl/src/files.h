// Files that commands read.
#ifndef SYCAMOREHINGE_CTL_FILES_H_
#define SYCAMOREHINGE_CTL_FILES_H_

#include <string>

#include "sycamorehinge/core/error.h"

namespace sycamorehinge {

// Reads a file of at most 64 MiB; "-" is standard input. kMalformed if it cannot be read,
// kTooLarge if it is larger.
result<std::string> ReadInput(const std::string& path);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_FILES_H_
