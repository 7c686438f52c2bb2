#include "job_answer.h"

#include <nlohmann/json.hpp>

namespace sycamorehinge::testing {

namespace {

std::string TextIn(std::string_view body, const char* key) {
  const auto object = nlohmann::json::parse(body, nullptr, false);
  if (!object.is_object() || !object.contains(key) || !object[key].is_string()) return {};
  return object[key].get<std::string>();
}

}  // namespace

std::string JobIn(std::string_view body) { return TextIn(body, "job"); }
std::string StateIn(std::string_view body) { return TextIn(body, "state"); }
std::string OutcomeIn(std::string_view body) { return TextIn(body, "outcome"); }
std::string ErrorIn(std::string_view body) { return TextIn(body, "error"); }

std::uint64_t VersionIn(std::string_view body) {
  const auto object = nlohmann::json::parse(body, nullptr, false);
  if (!object.is_object() || !object.contains("version")) return 0;
  const auto& version = object["version"];
  return version.is_number_unsigned() ? version.get<std::uint64_t>() : 0;
}

}  // namespace sycamorehinge::testing
