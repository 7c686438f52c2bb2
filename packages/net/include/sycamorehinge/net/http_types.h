// Header types and lookup shared by the HTTP client and server.
#ifndef SYCAMOREHINGE_NET_HTTP_TYPES_H_
#define SYCAMOREHINGE_NET_HTTP_TYPES_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorehinge {

struct http_header {
  std::string name;
  std::string value;
};

struct http_header_view {
  std::string_view name;
  std::string_view value;
};

// ASCII case-insensitive comparison.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Value of the first header with this name, ignoring case; nullopt if absent.
std::optional<std::string_view> FindHeader(std::span<const http_header> headers,
                                           std::string_view name);
std::optional<std::string_view> FindHeader(std::span<const http_header_view> headers,
                                           std::string_view name);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_HTTP_TYPES_H_
