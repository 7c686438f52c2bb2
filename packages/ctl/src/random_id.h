// Identifiers that no other call has.
#ifndef SYCAMOREHINGE_CTL_RANDOM_ID_H_
#define SYCAMOREHINGE_CTL_RANDOM_ID_H_

#include <string>

namespace sycamorehinge {

// "ctl-" and 32 random hexadecimal digits.
std::string RandomId();

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_RANDOM_ID_H_
