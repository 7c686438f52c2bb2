#include <algorithm>
#include <type_traits>

#include "sycamorehinge/settings/parameters.h"

namespace sycamorehinge {

namespace {

std::string MillisecondsText(duration value) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

template <class Integer>
std::string_view FieldTypeName(field_access<Integer> /*field*/) {
  return "integer";
}
std::string_view FieldTypeName(field_access<std::string> /*field*/) { return "text"; }
std::string_view FieldTypeName(field_access<duration> /*field*/) { return "duration"; }
std::string_view FieldTypeName(field_access<std::vector<std::string>> /*field*/) {
  return "list of texts";
}
std::string_view FieldTypeName(field_access<std::vector<peer_settings>> /*field*/) {
  return "list of tables";
}

template <class Integer>
std::string ValueText(const Integer& value) {
  return std::to_string(value);
}
std::string ValueText(const std::string& value) { return "\"" + value + "\""; }
std::string ValueText(const duration& value) { return MillisecondsText(value); }
// Lists have no defaults but the empty list.
std::string ValueText(const std::vector<std::string>& /*value*/) { return "[]"; }
std::string ValueText(const std::vector<peer_settings>& /*value*/) { return "[]"; }

std::string FullName(const parameter& row) {
  return std::string(row.section) + "." + std::string(row.key);
}

std::string DefaultOrRequired(const parameter& row) {
  return row.required ? "required" : DefaultText(row);
}

}  // namespace

std::string_view TypeName(const parameter& row) {
  return std::visit([](auto field) { return FieldTypeName(field); }, row.field);
}

std::string DefaultText(const parameter& row) {
  if (row.required) return {};
  process_settings defaults;
  return std::visit([&defaults](auto field) { return ValueText(field(defaults)); }, row.field);
}

std::string RangeText(const parameter& row) {
  const std::string_view type = TypeName(row);
  if (type == "list of tables") return {};
  if (type == "text" || type == "list of texts") return std::string(row.rule.expected);
  std::string text = std::to_string(row.least) + ".." + std::to_string(row.most);
  if (!row.unit.empty()) text += " " + std::string(row.unit);
  return text;
}

std::string ParameterHelp() {
  std::string help;
  std::string_view section;
  for (const parameter& row : Parameters()) {
    if (row.section != section) {
      if (!section.empty()) help += "\n";
      section = row.section;
      help += "[" + std::string(section) + "]\n";
    }
    help += "  " + std::string(row.key) + " (" + std::string(TypeName(row)) + ", " +
            DefaultOrRequired(row) + ")\n";
    help += "      " + std::string(row.help) + "\n";
    const std::string range = RangeText(row);
    if (!range.empty()) help += "      Range: " + range + "\n";
  }
  return help;
}

std::string ParameterMarkdown() {
  std::string table =
      "| key | type | default | range | meaning |\n| --- | --- | --- | --- | --- |\n";
  for (const parameter& row : Parameters()) {
    table += "| `" + FullName(row) + "` | " + std::string(TypeName(row)) + " | ";
    table += row.required ? "required" : "`" + DefaultText(row) + "`";
    table += " | " + RangeText(row) + " | " + std::string(row.help) + " |\n";
  }
  return table;
}

}  // namespace sycamorehinge
