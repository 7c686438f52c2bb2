#include "commands/commands.h"
#include "document_call.h"
#include "json_fields.h"
#include "text_table.h"

namespace sycamorehinge {

namespace {

struct history_options {
  std::string name;
  std::string stage;
  std::uint64_t text = 0;
};

stage_name StageOf(const std::string& text) {
  return text == "production" ? stage_name::kProduction : stage_name::kTrial;
}

exit_code PrintText(command_context& context, const nlohmann::json& versions,
                    std::uint64_t version) {
  for (const nlohmann::json& entry : versions) {
    if (static_cast<std::uint64_t>(NumberField(entry, "version")) != version) continue;
    context.out << TextField(entry, "text");
    return exit_code::kOk;
  }
  return Fail(context,
              {exit_code::kFailed, 0,
               "version " + std::to_string(version) + " is not in the history", nlohmann::json()});
}

exit_code RunHistory(command_context& context, const history_options& options) {
  const json_answer answer =
      Call(context.api, {.path = StagePath(options.name, StageOf(options.stage)) + "/history"},
           call_kind::kRead);
  if (const auto* error = std::get_if<call_error>(&answer)) return Fail(context, *error);
  const auto& body = std::get<nlohmann::json>(answer);
  const nlohmann::json& versions = ListField(body, "versions");
  if (options.text > 0) return PrintText(context, versions, options.text);
  if (context.format == output_format::kJson) {
    context.out << JsonText(body) << "\n";
    return exit_code::kOk;
  }
  text_table table({"version", "base", "time", "author"});
  for (const nlohmann::json& entry : versions) {
    table.Add({std::to_string(NumberField(entry, "version")),
               std::to_string(NumberField(entry, "base")),
               WallTimeText(NumberField(entry, "wall_ms")), TextField(entry, "author")});
  }
  context.out << table.Render();
  return exit_code::kOk;
}

}  // namespace

void AddHistoryCommand(command_registry& registry) {
  AddCommand<history_options>(
      registry, "history", "Show the versions of an environment",
      [](CLI::App& app, history_options& options) {
        app.add_option("NAME", options.name, "Environment")->required();
        app.add_option("STAGE", options.stage, "trial or production")
            ->required()
            ->check(CLI::IsMember({"trial", "production"}));
        app.add_option("--text", options.text, "Print the text of this version only");
      },
      RunHistory);
}

}  // namespace sycamorehinge
