// Content of sealed frames between peers: kind, receiver, body.
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
// Random number of one side of a new connection.
inline constexpr std::size_t kNonceBytes = 16;
// Largest frame before a connection has authenticated: a hello with two names of 255 bytes.
inline constexpr std::size_t kMaxHelloBytes = 1024;

struct frame_content {
  frame_kind kind;
  std::string_view to;
  std::string_view body;
};

std::string PackContent(frame_kind kind, const process_id& to, std::string_view body);
// Views into `payload`; nullopt if it is malformed.
std::optional<frame_content> UnpackContent(std::string_view payload);

// Length prefix and frame.
std::string WithLength(std::string_view frame);
std::size_t ReadLength(std::string_view prefix);

std::string MakeNonce();

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_SRC_PEER_FRAME_H_
