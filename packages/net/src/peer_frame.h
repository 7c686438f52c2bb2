// Encoding of the frames that peers exchange: kind, receiver and body inside the seal.
#ifndef SYCAMOREHINGE_NET_SRC_PEER_FRAME_H_
#define SYCAMOREHINGE_NET_SRC_PEER_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

enum class frame_kind : std::uint8_t { kHello = 1, kWelcome = 2, kMessage = 3, kHeartbeat = 4 };

inline constexpr std::size_t kLengthBytes = 4;
// Size of the random nonce that each side contributes to a new connection.
inline constexpr std::size_t kNonceBytes = 16;
// Frame limit until a connection is authenticated; fits a hello with two names of 255 bytes.
inline constexpr std::size_t kMaxHandshakeFrameBytes = 1024;

struct frame_content {
  frame_kind kind;
  std::string_view to;
  std::string_view body;
};

std::string EncodeFrameContent(frame_kind kind, const process_id& to, std::string_view body);
// Returns views into `payload`; nullopt if it is malformed.
std::optional<frame_content> DecodeFrameContent(std::string_view payload);

// Prepends the length of the frame as a big-endian 32-bit number.
std::string AddLengthPrefix(std::string_view frame);
// `prefix` must hold at least kLengthBytes bytes.
std::size_t DecodeLength(std::string_view prefix);

std::string GenerateNonce();

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_SRC_PEER_FRAME_H_
