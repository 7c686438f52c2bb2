// Values as bytes behind a version byte.
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
  // Fields are shared between reading and writing; writing leaves the value unchanged.
  Field(archive, const_cast<Value&>(value));
  return bytes;
}

// kTruncated, kTooLarge (more than `max_bytes`), kWrongVersion, or what is wrong with the content,
// kMalformed if bytes follow it. After an error the value is partly filled in.
template <class Value>
errc DecodeVersioned(std::uint8_t version, std::size_t max_bytes, std::string_view bytes,
                     Value& value) {
  if (bytes.empty()) return errc::kTruncated;
  if (bytes.size() > max_bytes) return errc::kTooLarge;
  if (static_cast<std::uint8_t>(bytes.front()) != version) return errc::kWrongVersion;
  input_archive archive(bytes.substr(1));
  try {
    Field(archive, value);
  } catch (const decode_failure& failure) {
    return failure.code;
  }
  return archive.Remaining() > 0 ? errc::kMalformed : errc::kOk;
}

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_WIRE_VERSIONED_H_
