// Authentication of frames between peers: HMAC-SHA-256 with a shared key, and replay protection.
#ifndef SYCAMOREHINGE_WIRE_SEAL_H_
#define SYCAMOREHINGE_WIRE_SEAL_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Sender of a sealed frame and its sequence number, which increases within one incarnation.
struct seal_header {
  process_id from;
  std::uint64_t incarnation = 0;
  std::uint64_t counter = 0;
};

struct opened_frame {
  seal_header header;
  std::string payload;
};

// Returns a frame with header, payload and message authentication code.
std::string Seal(std::string_view key, const seal_header& header, std::string_view payload);
// kUnauthorized if the authentication code is wrong (compared in constant time); kTruncated,
// kMalformed or kWrongVersion if the bytes are not a valid frame.
result<opened_frame> Open(std::string_view key, std::string_view frame);

// Rejects replayed frames with a sliding window of 64 counters for the latest incarnation of each
// sender.
class replay_window {
 public:
  // False for a replayed frame, one older than the window, or one of an older incarnation.
  bool Accept(const seal_header& header);

 private:
  struct sender {
    std::uint64_t incarnation = 0;
    std::uint64_t highest = 0;
    // Bit i is set if counter highest - i was accepted.
    std::uint64_t seen = 0;
  };
  std::map<process_id, sender> senders_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_WIRE_SEAL_H_
