// Reading of JSON replies: a missing field or one of another type reads as empty.
#ifndef SYCAMOREHINGE_CTL_JSON_FIELDS_H_
#define SYCAMOREHINGE_CTL_JSON_FIELDS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "sycamorehinge/net/json_fields.h"

namespace sycamorehinge {

std::string TextField(const nlohmann::json& object, std::string_view key);
std::int64_t NumberField(const nlohmann::json& object, std::string_view key);
bool FlagField(const nlohmann::json& object, std::string_view key);
// An empty array if there is none.
const nlohmann::json& ListField(const nlohmann::json& object, std::string_view key);
// An empty object if there is none.
const nlohmann::json& ObjectField(const nlohmann::json& object, std::string_view key);

// Indented JSON; bytes that are not UTF-8 are replaced.
std::string JsonText(const nlohmann::json& value);

// True if the text can be sent inside JSON.
bool IsUtf8(std::string_view text);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_JSON_FIELDS_H_
