#include "access.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace sycamorehinge {

namespace {

constexpr std::string_view kScheme = "Bearer ";

using digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

// Digests have one length, so that the comparison does not tell the length of a token.
digest DigestOf(std::string_view token) {
  digest out{};
  SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(), out.data());
  return out;
}

}  // namespace

access_tokens::access_tokens(std::vector<std::string> callers, std::vector<std::string> operators)
    : callers_(std::move(callers)), operators_(std::move(operators)) {}

bool access_tokens::Known(const std::vector<std::string>& tokens, std::string_view token) {
  const digest given = DigestOf(token);
  bool known = false;
  for (const std::string& each : tokens) {
    const digest expected = DigestOf(each);
    known |= CRYPTO_memcmp(given.data(), expected.data(), given.size()) == 0;
  }
  return known;
}

errc access_tokens::Check(std::string_view authorization, access_right needed) const {
  const std::vector<std::string>& list = needed == access_right::kOperator ? operators_ : callers_;
  if (list.empty()) return errc::kOk;
  if (!authorization.starts_with(kScheme)) return errc::kUnauthorized;
  const std::string_view token = authorization.substr(kScheme.size());
  if (Known(operators_, token)) return errc::kOk;
  if (!Known(callers_, token)) return errc::kUnauthorized;
  return needed == access_right::kCaller ? errc::kOk : errc::kForbidden;
}

}  // namespace sycamorehinge
