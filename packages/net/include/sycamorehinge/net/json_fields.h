// Typed access to JSON fields that reports missing or invalid fields instead of throwing.
#ifndef SYCAMOREHINGE_NET_JSON_FIELDS_H_
#define SYCAMOREHINGE_NET_JSON_FIELDS_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Returns a discarded value (is_discarded()) if the text is not valid JSON.
nlohmann::json ParseJson(std::string_view text);

// The largest job, with every field of 64 steps and 64 dependencies each, has under 8,192.
inline constexpr std::size_t kMaxCallerValues = 16'384;

// As ParseJson, for callers outside our control: a text with more values and keys than
// kMaxCallerValues is discarded, too. A value of one byte takes some 70 once it is parsed, so the
// size of the text does not bound the memory.
nlohmann::json ParseCallerJson(std::string_view text);

// Reads fields of one object. A missing or invalid field sets Ok() to false for good.
// Largest amount, time or size that is accepted from outside: as milliseconds about 557 years.
inline constexpr std::int64_t kMaxAmount = std::int64_t{1} << 44;

class json_fields {
 public:
  explicit json_fields(const nlohmann::json& object) : object_(&object), ok_(object.is_object()) {}

  bool Ok() const { return ok_; }

  // Required fields. A missing or invalid field returns an empty value and clears Ok().
  std::string String(const char* name);
  std::uint64_t Unsigned(const char* name);
  duration Milliseconds(const char* name);
  attempt_id Attempt(const char* name);
  resources Resources(const char* name);
  const nlohmann::json& Array(const char* name);

  // Optional fields. An absent or null field returns the fallback; a wrong type or a number out of
  // range clears Ok().
  std::string StringOr(const char* name, std::string_view fallback);
  bool BoolOr(const char* name, bool fallback);
  std::uint64_t UnsignedOr(const char* name, std::uint64_t fallback,
                           std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  // At least 0 and at most kMaxAmount, so that sums of amounts cannot overflow.
  std::int64_t AmountOr(const char* name, std::int64_t fallback);
  double DoubleOr(const char* name, double fallback);
  duration MillisecondsOr(const char* name, duration fallback);
  // Empty array or object if the field is absent or null.
  const nlohmann::json& ArrayOrEmpty(const char* name);
  const nlohmann::json& ObjectOrEmpty(const char* name);
  resources ResourcesOr(const char* name, const resources& fallback);

 private:
  // Null if the field is absent.
  const nlohmann::json* Find(const char* name) const;
  // As Find, but clears Ok() if the field is absent.
  const nlohmann::json* Require(const char* name);

  const nlohmann::json* object_;
  bool ok_;
};

nlohmann::json ToJson(const resources& size);
std::int64_t ToMilliseconds(duration time);

// Serializes the value; nullopt if it contains a string that is not valid UTF-8.
std::optional<std::string> DumpJson(const nlohmann::json& value);

// Decodes standard base64 with padding (RFC 4648); nullopt if the text is malformed.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_JSON_FIELDS_H_
