// Where a token or key comes from. The text of a secret is never logged or put into an error.
#ifndef SYCAMOREHINGE_SETTINGS_SECRET_H_
#define SYCAMOREHINGE_SETTINGS_SECRET_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "sycamorehinge/core/error.h"

namespace sycamorehinge {

struct secret_in_environment {
  std::string variable;
};
struct secret_in_file {
  std::string path;
};
struct secret_value {
  std::string text;
};
using secret_source = std::variant<secret_in_environment, secret_in_file, secret_value>;

// Parses "ENV:NAME" or "FILE:PATH"; nullopt for anything else.
std::optional<secret_source> ParseSecretSource(std::string_view text);

// Reads the secret; white space around the contents of a file is dropped. kMalformed, with the
// name of the source but not its contents, if it is missing, empty or larger than 4096 bytes.
result<std::string> ReadSecret(const secret_source& source);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_SETTINGS_SECRET_H_
