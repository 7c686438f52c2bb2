// Escaping of names in URLs.
#ifndef SYCAMOREHINGE_NET_URL_H_
#define SYCAMOREHINGE_NET_URL_H_

#include <string>
#include <string_view>

namespace sycamorehinge {

// Percent-encodes everything but unreserved characters (RFC 3986, section 2.3).
std::string EscapeSegment(std::string_view text);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_URL_H_
