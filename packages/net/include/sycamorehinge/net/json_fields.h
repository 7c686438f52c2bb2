// Typed reads of JSON fields that report a wrong or missing field instead of throwing.
#ifndef SYCAMOREHINGE_NET_JSON_FIELDS_H_
#define SYCAMOREHINGE_NET_JSON_FIELDS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Discarded value if the text is not JSON.
nlohmann::json ParseJson(std::string_view text);

// Reads fields of one object; the first wrong field makes the whole read invalid.
class json_fields {
 public:
  explicit json_fields(const nlohmann::json& object) : object_(&object), ok_(object.is_object()) {}

  bool Ok() const { return ok_; }

  // Required fields.
  std::string Text(const char* name);
  std::uint64_t Number(const char* name);
  duration Milliseconds(const char* name);
  attempt_id Attempt(const char* name);
  resources Room(const char* name);
  const nlohmann::json& Array(const char* name);

  // Optional fields. Absent and null take the other value; a wrong type makes the read invalid.
  std::string TextOr(const char* name, std::string_view otherwise);
  bool FlagOr(const char* name, bool otherwise);
  std::uint64_t NumberOr(const char* name, std::uint64_t otherwise);
  std::int64_t IntegerOr(const char* name, std::int64_t otherwise);
  double RealOr(const char* name, double otherwise);
  duration MillisecondsOr(const char* name, duration otherwise);
  // Empty if there is none.
  const nlohmann::json& ArrayOrEmpty(const char* name);
  const nlohmann::json& ObjectOrEmpty(const char* name);
  resources RoomOr(const char* name, const resources& otherwise);

 private:
  // Null if there is no such field.
  const nlohmann::json* Find(const char* name) const;
  const nlohmann::json* Require(const char* name);

  const nlohmann::json* object_;
  bool ok_;
};

nlohmann::json ToJson(const resources& size);
std::int64_t ToMilliseconds(duration time);

// Text of the value; nullopt if a string in it is not valid UTF-8.
std::optional<std::string> DumpJson(const nlohmann::json& value);

// Decodes standard base64 with padding (RFC 4648); nullopt for anything else.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_JSON_FIELDS_H_
