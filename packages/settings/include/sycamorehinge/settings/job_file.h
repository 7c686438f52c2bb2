// Jobs described in TOML files, for `sycamorehingectl submit`.
#ifndef SYCAMOREHINGE_SETTINGS_JOB_FILE_H_
#define SYCAMOREHINGE_SETTINGS_JOB_FILE_H_

#include <string_view>

#include "sycamorehinge/core/records.h"
#include "sycamorehinge/settings/mistake.h"

namespace sycamorehinge {

// Reads a job. Every key may be absent, since flags of the command line may give it.
parsed<job_spec> ParseJob(std::string_view text, std::string_view file);

enum class file_kind { kSettings, kEnvironment, kJob };

// Tells the kind of a TOML file by its top-level keys; kEnvironment if nothing else fits.
file_kind GuessFileKind(std::string_view text);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_SETTINGS_JOB_FILE_H_
