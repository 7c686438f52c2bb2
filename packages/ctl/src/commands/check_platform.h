// Checks a configuration of the platform before it is sent.
#ifndef SYCAMOREHINGE_CTL_COMMANDS_CHECK_PLATFORM_H_
#define SYCAMOREHINGE_CTL_COMMANDS_CHECK_PLATFORM_H_

#include <string>

#include "command_line.h"

namespace sycamorehinge {

// Prints one line for each finding. kFailed if one of them is an error. `in_force` is the file with
// the version in force; empty if it is not to be compared.
exit_code CheckPlatform(command_context& context, const std::string& file,
                        const std::string& in_force);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_COMMANDS_CHECK_PLATFORM_H_
