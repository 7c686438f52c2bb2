// Percent-encoding of URL path segments.
#ifndef SYCAMOREHINGE_NET_URL_H_
#define SYCAMOREHINGE_NET_URL_H_

#include <string>
#include <string_view>

namespace sycamorehinge {

// Percent-encodes everything except unreserved characters (RFC 3986, section 2.3).
std::string PercentEncode(std::string_view text);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_URL_H_
