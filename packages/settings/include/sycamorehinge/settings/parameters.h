// The table of all settings keys: the loader, the help and docs/OPERATIONS.md are made from it.
#ifndef SYCAMOREHINGE_SETTINGS_PARAMETERS_H_
#define SYCAMOREHINGE_SETTINGS_PARAMETERS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorehinge/core/types.h"
#include "sycamorehinge/settings/process_settings.h"

namespace sycamorehinge {

// Gives the field of the settings that a parameter fills.
template <class T>
using field_access = T& (*)(process_settings&);
using parameter_field =
    std::variant<field_access<std::string>, field_access<std::uint16_t>,
                 field_access<std::uint32_t>, field_access<std::uint64_t>, field_access<duration>,
                 field_access<std::vector<std::string>>, field_access<std::vector<peer_settings>>>;

// Texts that a parameter accepts.
struct text_rule {
  std::string_view expected = "text";
  bool (*accepts)(std::string_view) = nullptr;
};

struct parameter {
  std::string_view section;
  std::string_view key;
  parameter_field field;
  std::string_view help;
  // Range of numbers, in `unit`; durations are written in milliseconds.
  std::string_view unit = "";
  std::int64_t least = 0;
  std::int64_t most = 0;
  // Rule of a text, or of each text of a list.
  text_rule rule = {};
  bool required = false;
};

std::span<const parameter> Parameters();

// "text", "integer", "duration", "list of texts" or "list of tables".
std::string_view TypeName(const parameter& row);
// Default as TOML; empty for a required parameter.
std::string DefaultText(const parameter& row);
// "1..65535", or what a text must look like.
std::string RangeText(const parameter& row);

// All parameters as lines for a terminal.
std::string ParameterHelp();
// All parameters as the table of docs/OPERATIONS.md.
std::string ParameterMarkdown();

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_SETTINGS_PARAMETERS_H_
