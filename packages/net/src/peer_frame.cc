#include "peer_frame.h"

#include <openssl/rand.h>

#include <limits>
#include <stdexcept>

namespace sycamorehinge {

std::string EncodeFrameContent(frame_kind kind, const process_id& to, std::string_view body) {
  constexpr std::size_t kMaxName = std::numeric_limits<std::uint8_t>::max();
  const std::string_view name = std::string_view(to.value).substr(0, kMaxName);
  std::string payload;
  payload.reserve(2 + name.size() + body.size());
  payload += static_cast<char>(kind);
  payload += static_cast<char>(name.size());
  payload += name;
  payload += body;
  return payload;
}

std::optional<frame_content> DecodeFrameContent(std::string_view payload) {
  if (payload.size() < 2) return std::nullopt;
  const auto kind = static_cast<frame_kind>(payload[0]);
  const auto name_size = static_cast<std::uint8_t>(payload[1]);
  payload.remove_prefix(2);
  const bool known = kind >= frame_kind::kHello && kind <= frame_kind::kHeartbeat;
  if (!known || payload.size() < name_size) return std::nullopt;
  return frame_content{kind, payload.substr(0, name_size), payload.substr(name_size)};
}

std::string AddLengthPrefix(std::string_view frame) {
  std::string bytes;
  bytes.reserve(kLengthBytes + frame.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes += static_cast<char>((frame.size() >> shift) & 0xff);
  }
  bytes += frame;
  return bytes;
}

std::size_t DecodeLength(std::string_view prefix) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8) | static_cast<unsigned char>(prefix[i]);
  }
  return length;
}

std::string GenerateNonce() {
  std::array<unsigned char, kNonceBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("RAND_bytes failed to generate a connection nonce");
  }
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace sycamorehinge
