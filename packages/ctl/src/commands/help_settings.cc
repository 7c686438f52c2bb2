#include "commands/commands.h"
#include "json_fields.h"
#include "sycamorehinge/settings/parameters.h"

namespace sycamorehinge {

namespace {

struct help_options {
  bool markdown = false;
};

nlohmann::json ParametersJson() {
  nlohmann::json list = nlohmann::json::array();
  for (const parameter& row : Parameters()) {
    list.push_back({{"section", row.section},
                    {"key", row.key},
                    {"type", TypeName(row)},
                    {"required", row.required},
                    {"default", DefaultText(row)},
                    {"range", RangeText(row)},
                    {"help", row.help}});
  }
  return {{"parameters", list}};
}

exit_code RunHelpSettings(command_context& context, const help_options& options) {
  if (context.format == output_format::kJson) {
    context.out << JsonText(ParametersJson()) << "\n";
  } else {
    context.out << (options.markdown ? ParameterMarkdown() : ParameterHelp());
  }
  return exit_code::kOk;
}

}  // namespace

void AddHelpSettingsCommand(command_registry& registry) {
  AddCommand<help_options>(
      registry, "help-settings", "Print all settings of sycamorehinged",
      [](CLI::App& app, help_options& options) {
        app.add_flag("--markdown", options.markdown, "As the table of docs/OPERATIONS.md");
      },
      RunHelpSettings);
}

}  // namespace sycamorehinge
