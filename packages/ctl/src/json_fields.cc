#include "json_fields.h"

namespace sycamorehinge {

namespace {

using nlohmann::json;

// Null if the object has no such field.
const json* Find(const json& object, std::string_view key) {
  if (!object.is_object()) return nullptr;
  const auto found = object.find(key);
  return found == object.end() ? nullptr : &*found;
}

}  // namespace

std::string TextField(const json& object, std::string_view key) {
  const json* field = Find(object, key);
  return field != nullptr && field->is_string() ? field->get<std::string>() : std::string();
}

std::int64_t NumberField(const json& object, std::string_view key) {
  const json* field = Find(object, key);
  if (field == nullptr || !field->is_number()) return 0;
  if (!field->is_number_float()) return field->get<std::int64_t>();
  // A conversion outside of the range is undefined.
  constexpr double kLargest = 9e18;
  const double number = field->get<double>();
  return number > -kLargest && number < kLargest ? static_cast<std::int64_t>(number) : 0;
}

bool FlagField(const json& object, std::string_view key) {
  const json* field = Find(object, key);
  return field != nullptr && field->is_boolean() && field->get<bool>();
}

const json& ListField(const json& object, std::string_view key) {
  static const json empty = json::array();
  const json* field = Find(object, key);
  return field != nullptr && field->is_array() ? *field : empty;
}

const json& ObjectField(const json& object, std::string_view key) {
  static const json empty = json::object();
  const json* field = Find(object, key);
  return field != nullptr && field->is_object() ? *field : empty;
}

std::string JsonText(const json& value) {
  return value.dump(2, ' ', false, json::error_handler_t::replace);
}

bool IsUtf8(std::string_view text) {
  // The strict handler refuses what a reader of the JSON could not decode.
  try {
    static_cast<void>(json(text).dump(-1, ' ', false, json::error_handler_t::strict));
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

}  // namespace sycamorehinge
