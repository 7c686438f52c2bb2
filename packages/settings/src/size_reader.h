// Reads sizes such as {cores = 1.5, memory_gb = 4, accelerators = 1}.
#ifndef SYCAMOREHINGE_SETTINGS_SIZE_READER_H_
#define SYCAMOREHINGE_SETTINGS_SIZE_READER_H_

#include <string>

#include "section_reader.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// One GB is 1024 MB, as hosts report their memory.
resources ReadSize(const toml::table& table, const std::string& path, mistake_list& mistakes);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_SETTINGS_SIZE_READER_H_
