#ifndef SYCAMOREHINGE_TESTING_BASE64_H_
#define SYCAMOREHINGE_TESTING_BASE64_H_

#include <string>
#include <string_view>

namespace sycamorehinge::testing {

// Standard alphabet with padding (RFC 4648, section 4).
std::string Base64Encode(std::string_view bytes);

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_BASE64_H_
