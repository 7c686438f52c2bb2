#include "sycamorehinge/wire/seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <limits>

namespace sycamorehinge {

namespace {

// Frame layout, sizes in bytes: version (1), incarnation (8), counter (8), name length (1), sender
// name, payload, MAC (32). Numbers are big-endian.
constexpr std::uint8_t kSealVersion = 1;
constexpr std::size_t kMacBytes = 32;
constexpr std::size_t kFixedHeaderBytes = 1 + 8 + 8 + 1;
constexpr std::size_t kMaxNameBytes = std::numeric_limits<std::uint8_t>::max();
constexpr std::uint64_t kWindowBits = 64;

using mac_bytes = std::array<unsigned char, kMacBytes>;

bool ComputeMac(std::string_view key, std::string_view bytes, mac_bytes& mac) {
  unsigned size = 0;
  const auto* computed =
      HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
           reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), mac.data(), &size);
  return computed != nullptr && size == kMacBytes;
}

void AppendBigEndian(std::string& out, std::uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8) out += static_cast<char>((number >> shift) & 0xff);
}

std::uint64_t ReadBigEndian(std::string_view& bytes) {
  std::uint64_t number = 0;
  for (int i = 0; i < 8; ++i) number = (number << 8) | static_cast<unsigned char>(bytes[i]);
  bytes.remove_prefix(8);
  return number;
}

}  // namespace

std::string Seal(std::string_view key, const seal_header& header, std::string_view payload) {
  const std::string_view name = std::string_view(header.from.value).substr(0, kMaxNameBytes);
  std::string frame;
  frame.reserve(kFixedHeaderBytes + name.size() + payload.size() + kMacBytes);
  frame += static_cast<char>(kSealVersion);
  AppendBigEndian(frame, header.incarnation);
  AppendBigEndian(frame, header.counter);
  frame += static_cast<char>(name.size());
  frame += name;
  frame += payload;
  mac_bytes mac{};
  ComputeMac(key, frame, mac);
  frame.append(reinterpret_cast<const char*>(mac.data()), mac.size());
  return frame;
}

result<opened_frame> Open(std::string_view key, std::string_view frame) {
  if (frame.empty()) return errc::kTruncated;
  if (static_cast<std::uint8_t>(frame.front()) != kSealVersion) return errc::kWrongVersion;
  if (frame.size() < kFixedHeaderBytes + kMacBytes) return errc::kTruncated;
  const std::string_view sealed = frame.substr(0, frame.size() - kMacBytes);
  mac_bytes mac{};
  if (!ComputeMac(key, sealed, mac)) return errc::kInternal;
  if (CRYPTO_memcmp(mac.data(), frame.data() + sealed.size(), kMacBytes) != 0) {
    return errc::kUnauthorized;
  }
  std::string_view rest = sealed.substr(1);
  opened_frame opened;
  opened.header.incarnation = ReadBigEndian(rest);
  opened.header.counter = ReadBigEndian(rest);
  const auto name_size = static_cast<unsigned char>(rest.front());
  rest.remove_prefix(1);
  if (rest.size() < name_size || name_size == 0) return errc::kMalformed;
  opened.header.from.value = rest.substr(0, name_size);
  opened.payload = rest.substr(name_size);
  return opened;
}

bool replay_window::Accept(const seal_header& header) {
  const auto [found, is_new] = senders_.try_emplace(header.from);
  sender& state = found->second;
  if (is_new || header.incarnation > state.incarnation) {
    state = {header.incarnation, header.counter, 1};
    return true;
  }
  if (header.incarnation < state.incarnation) return false;
  if (header.counter > state.highest) {
    const std::uint64_t step = header.counter - state.highest;
    state.seen = step < kWindowBits ? (state.seen << step) | 1 : 1;
    state.highest = header.counter;
    return true;
  }
  const std::uint64_t age = state.highest - header.counter;
  if (age >= kWindowBits) return false;
  const std::uint64_t bit = std::uint64_t{1} << age;
  if ((state.seen & bit) != 0) return false;
  state.seen |= bit;
  return true;
}

}  // namespace sycamorehinge
