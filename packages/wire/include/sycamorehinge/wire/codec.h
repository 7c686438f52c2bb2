// Encoding of peer messages, heartbeats and log records with cereal.
//
// Layout: one version byte, then a cereal archive with variable-length numbers. Decoding arbitrary
// bytes returns a typed error (kMalformed, kTruncated, kWrongVersion, kTooLarge), never reads
// beyond the input, and allocates memory only for elements that are present in the input.
#ifndef SYCAMOREHINGE_WIRE_CODEC_H_
#define SYCAMOREHINGE_WIRE_CODEC_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "sycamorehinge/core/config_order.h"
#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/membership.h"
#include "sycamorehinge/core/records.h"
#include "sycamorehinge/wire/messages.h"

namespace sycamorehinge {

inline constexpr std::uint8_t kWireVersion = 1;
// Largest encoded message in bytes; a request body is at most 1 MiB.
inline constexpr std::size_t kMaxMessageBytes = 4U << 20;
// Maximum number of elements of one list, for example records of one batch; longer lists are
// rejected. One byte of input can decode to an element of about 300 bytes, so a list takes at most
// 5 MB.
inline constexpr std::size_t kMaxElements = 16'384;

// Name of the alternative of peer_message with this index; "heartbeat" for any larger index.
std::string_view MessageName(std::size_t index);

std::string EncodeMessage(const peer_message& message);
result<peer_message> DecodeMessage(std::string_view bytes);

std::string EncodeHeartbeat(const process_status& status);
result<process_status> DecodeHeartbeat(std::string_view bytes);

std::string EncodeBatch(const record_batch& batch);
result<record_batch> DecodeBatch(std::string_view bytes);

std::string EncodeConfig(const config_record& record);
result<config_record> DecodeConfig(std::string_view bytes);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_WIRE_CODEC_H_
