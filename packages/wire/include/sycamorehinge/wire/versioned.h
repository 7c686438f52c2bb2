// Encodes values as one version byte followed by their fields.
#ifndef SYCAMOREHINGE_WIRE_VERSIONED_H_
#define SYCAMOREHINGE_WIRE_VERSIONED_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/wire/archive.h"

namespace sycamorehinge {

template <class Value>
std::string EncodeVersioned(std::uint8_t version, const Value& value) {
  std::string bytes(1, static_cast<char>(version));
  output_archive archive(bytes);
  // serialize() takes a non-const reference because it also reads; writing does not change the
  // value.
  SerializeField(archive, const_cast<Value&>(value));
  return bytes;
}

// Returns kTruncated, kTooLarge (more than `max_bytes`), kWrongVersion, the error found in the
// content, or kMalformed if bytes follow it. After an error `value` may be partly filled in.
template <class Value>
errc DecodeVersioned(std::uint8_t version, std::size_t max_bytes, std::string_view bytes,
                     Value& value) {
  if (bytes.empty()) return errc::kTruncated;
  if (bytes.size() > max_bytes) return errc::kTooLarge;
  if (static_cast<std::uint8_t>(bytes.front()) != version) return errc::kWrongVersion;
  input_archive archive(bytes.substr(1));
  try {
    SerializeField(archive, value);
  } catch (const decode_error& error) {
    return error.code;
  }
  return archive.Remaining() > 0 ? errc::kMalformed : errc::kOk;
}

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_WIRE_VERSIONED_H_
