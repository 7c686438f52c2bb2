// Tokens of callers and operators.
#ifndef SYCAMOREHINGE_ENTRY_SRC_ACCESS_H_
#define SYCAMOREHINGE_ENTRY_SRC_ACCESS_H_

#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/core/error.h"

namespace sycamorehinge {

enum class access_right { kCaller, kOperator };

// Tokens are compared in constant time. A list without any token leaves its right open to all;
// operators may do what callers may.
class access_tokens {
 public:
  access_tokens(std::vector<std::string> callers, std::vector<std::string> operators);

  // kOk, kUnauthorized without a known token, kForbidden for a caller's token where an operator's
  // is needed. `authorization` is the value of the HTTP header, "Bearer TOKEN".
  errc Check(std::string_view authorization, access_right needed) const;

 private:
  static bool Known(const std::vector<std::string>& tokens, std::string_view token);

  std::vector<std::string> callers_;
  std::vector<std::string> operators_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_ENTRY_SRC_ACCESS_H_
