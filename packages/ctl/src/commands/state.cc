#include "commands/commands.h"
#include "json_fields.h"
#include "text_table.h"

namespace sycamorehinge {

namespace {

struct state_options {};

// One line for each leaf of the object, with its path.
void Flatten(const nlohmann::json& value, const std::string& path, text_table& table) {
  if (!value.is_structured() || value.empty()) {
    table.Add({path, value.is_string() ? value.get<std::string>() : JsonText(value)});
    return;
  }
  if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i) {
      std::string item = path;
      item.append("[").append(std::to_string(i)).append("]");
      Flatten(value[i], item, table);
    }
    return;
  }
  for (const auto& [key, field] : value.items()) {
    std::string item = path;
    if (!path.empty()) item += '.';
    item += key;
    Flatten(field, item, table);
  }
}

exit_code RunState(command_context& context, const state_options& /*options*/) {
  const json_answer answer = Call(context.api, {.path = "/v1/state"}, call_kind::kRead);
  if (const auto* error = std::get_if<call_error>(&answer)) return Fail(context, *error);
  const auto& body = std::get<nlohmann::json>(answer);
  if (context.format == output_format::kJson) {
    context.out << JsonText(body) << "\n";
    return exit_code::kOk;
  }
  text_table table({"key", "value"});
  Flatten(body, "", table);
  context.out << table.Render();
  return exit_code::kOk;
}

}  // namespace

void AddStateCommand(command_registry& registry) {
  AddCommand<state_options>(
      registry, "state", "Show the state of one entry process",
      [](CLI::App& /*app*/, state_options& /*options*/) {}, RunState);
}

}  // namespace sycamorehinge
