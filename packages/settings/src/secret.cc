#include "sycamorehinge/settings/secret.h"

#include <cstdlib>
#include <fstream>
#include <iterator>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

namespace {

constexpr std::size_t kMaxSecretBytes = 4096;
constexpr std::string_view kWhiteSpace = " \t\r\n";

result<std::string> ReadVariable(const std::string& variable) {
  // Nothing in the program changes the environment, so the call cannot race.
  const char* text = std::getenv(variable.c_str());  // NOLINT(concurrency-mt-unsafe)
  if (text == nullptr || *text == '\0') {
    return {errc::kMalformed, "environment variable " + variable + " is not set"};
  }
  return std::string(text);
}

result<std::string> ReadSecretFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return {errc::kMalformed, "file " + path + " cannot be read"};
  std::string text(kMaxSecretBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMaxSecretBytes) return {errc::kTooLarge, "file " + path + " is too large"};
  const std::size_t first = text.find_first_not_of(kWhiteSpace);
  if (first == std::string::npos) return {errc::kMalformed, "file " + path + " is empty"};
  return text.substr(first, text.find_last_not_of(kWhiteSpace) - first + 1);
}

}  // namespace

std::optional<secret_source> ParseSecretSource(std::string_view text) {
  if (text.starts_with("ENV:") && text.size() > 4) {
    return secret_in_environment{std::string(text.substr(4))};
  }
  if (text.starts_with("FILE:") && text.size() > 5) {
    return secret_in_file{std::string(text.substr(5))};
  }
  return std::nullopt;
}

result<std::string> ReadSecret(const secret_source& source) {
  return std::visit(
      overloaded{
          [](const secret_in_environment& from) { return ReadVariable(from.variable); },
          [](const secret_in_file& from) { return ReadSecretFile(from.path); },
          [](const secret_value& from) {
            return from.text.empty() ? result<std::string>(errc::kMalformed, "the secret is empty")
                                     : result<std::string>(from.text);
          },
      },
      source);
}

}  // namespace sycamorehinge
