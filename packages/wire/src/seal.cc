#include "sycamorehinge/wire/seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <limits>

namespace sycamorehinge {

namespace {

// Frame: version (1), incarnation (8), counter (8), name length (1), name, payload, code (32);
// numbers are big-endian.
constexpr std::uint8_t kSealVersion = 1;
constexpr std::size_t kCodeBytes = 32;
constexpr std::size_t kFixedBytes = 1 + 8 + 8 + 1;
constexpr std::size_t kMaxNameBytes = std::numeric_limits<std::uint8_t>::max();
constexpr std::uint64_t kWindowBits = 64;

using code_bytes = std::array<unsigned char, kCodeBytes>;

bool Authenticate(std::string_view key, std::string_view bytes, code_bytes& code) {
  unsigned size = 0;
  const auto* made =
      HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
           reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), code.data(), &size);
  return made != nullptr && size == kCodeBytes;
}

void PutNumber(std::string& out, std::uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8) out += static_cast<char>((number >> shift) & 0xff);
}

std::uint64_t TakeNumber(std::string_view& bytes) {
  std::uint64_t number = 0;
  for (int i = 0; i < 8; ++i) number = (number << 8) | static_cast<unsigned char>(bytes[i]);
  bytes.remove_prefix(8);
  return number;
}

}  // namespace

std::string Seal(std::string_view key, const seal_header& header, std::string_view payload) {
  const std::string_view name = std::string_view(header.from.value).substr(0, kMaxNameBytes);
  std::string frame;
  frame.reserve(kFixedBytes + name.size() + payload.size() + kCodeBytes);
  frame += static_cast<char>(kSealVersion);
  PutNumber(frame, header.incarnation);
  PutNumber(frame, header.counter);
  frame += static_cast<char>(name.size());
  frame += name;
  frame += payload;
  code_bytes code{};
  Authenticate(key, frame, code);
  frame.append(reinterpret_cast<const char*>(code.data()), code.size());
  return frame;
}

result<opened_frame> Open(std::string_view key, std::string_view frame) {
  if (frame.empty()) return errc::kTruncated;
  if (static_cast<std::uint8_t>(frame.front()) != kSealVersion) return errc::kWrongVersion;
  if (frame.size() < kFixedBytes + kCodeBytes) return errc::kTruncated;
  const std::string_view sealed = frame.substr(0, frame.size() - kCodeBytes);
  code_bytes code{};
  if (!Authenticate(key, sealed, code)) return errc::kInternal;
  if (CRYPTO_memcmp(code.data(), frame.data() + sealed.size(), kCodeBytes) != 0) {
    return errc::kUnauthorized;
  }
  std::string_view rest = sealed.substr(1);
  opened_frame opened;
  opened.header.incarnation = TakeNumber(rest);
  opened.header.counter = TakeNumber(rest);
  const auto name_size = static_cast<unsigned char>(rest.front());
  rest.remove_prefix(1);
  if (rest.size() < name_size || name_size == 0) return errc::kMalformed;
  opened.header.from.value = rest.substr(0, name_size);
  opened.payload = rest.substr(name_size);
  return opened;
}

bool replay_window::Accept(const seal_header& header) {
  const auto [found, is_new] = senders_.try_emplace(header.from);
  sender& known = found->second;
  if (is_new || header.incarnation > known.incarnation) {
    known = {header.incarnation, header.counter, 1};
    return true;
  }
  if (header.incarnation < known.incarnation) return false;
  if (header.counter > known.highest) {
    const std::uint64_t step = header.counter - known.highest;
    known.seen = step < kWindowBits ? (known.seen << step) | 1 : 1;
    known.highest = header.counter;
    return true;
  }
  const std::uint64_t age = known.highest - header.counter;
  if (age >= kWindowBits) return false;
  const std::uint64_t bit = std::uint64_t{1} << age;
  if ((known.seen & bit) != 0) return false;
  known.seen |= bit;
  return true;
}

}  // namespace sycamorehinge
