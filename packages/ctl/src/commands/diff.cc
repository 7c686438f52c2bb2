#include "commands/commands.h"
#include "document_call.h"
#include "files.h"
#include "json_fields.h"
#include "line_diff.h"
#include "sycamorehinge/settings/environment.h"

namespace sycamorehinge {

namespace {

struct diff_options {
  std::string file;
  std::string environment;
  std::string stage = "trial";
  bool exit_code = false;
};

exit_code Print(command_context& context, const diff_options& options, const std::string& before,
                const std::string& after) {
  const std::string diff = LineDiff(CanonicalText(before), CanonicalText(after));
  if (context.format == output_format::kJson) {
    context.out << JsonText({{"equal", diff.empty()}, {"diff", diff}}) << "\n";
  } else {
    context.out << diff;
  }
  return diff.empty() || !options.exit_code ? exit_code::kOk : exit_code::kFailed;
}

exit_code DiffStages(command_context& context, const diff_options& options) {
  const auto production = FetchDocument(context.api, options.environment, stage_name::kProduction);
  if (const auto* error = std::get_if<call_error>(&production)) return Fail(context, *error);
  const auto trial = FetchDocument(context.api, options.environment, stage_name::kTrial);
  if (const auto* error = std::get_if<call_error>(&trial)) return Fail(context, *error);
  return Print(context, options, std::get<config_version>(production).text,
               std::get<config_version>(trial).text);
}

exit_code RunDiff(command_context& context, const diff_options& options) {
  if (options.file.empty() == options.environment.empty()) {
    return FailUsage(context, "give either FILE or --environment");
  }
  if (options.file.empty()) return DiffStages(context, options);
  const result<std::string> text = ReadInput(options.file);
  if (!text) return FailUsage(context, text.detail());
  const auto document = ParseEnvironment(*text, options.file);
  if (!document) {
    context.err << ToString(document.Mistakes());
    return exit_code::kFailed;
  }
  const stage_name stage =
      options.stage == "production" ? stage_name::kProduction : stage_name::kTrial;
  const auto in_force = FetchDocument(context.api, document->name.value, stage);
  if (const auto* error = std::get_if<call_error>(&in_force)) return Fail(context, *error);
  return Print(context, options, std::get<config_version>(in_force).text, *text);
}

}  // namespace

void AddDiffCommand(command_registry& registry) {
  AddCommand<diff_options>(
      registry, "diff",
      "Show what a file would change, or what a promotion would change in production",
      [](CLI::App& app, diff_options& options) {
        app.add_option("FILE", options.file, "Environment document compared with the one in force");
        app.add_option("--environment", options.environment,
                       "Compare trial with production of this environment instead");
        app.add_option("--stage", options.stage, "Stage that FILE is compared with")
            ->check(CLI::IsMember({"trial", "production"}))
            ->capture_default_str();
        app.add_flag("--exit-code", options.exit_code, "Exit with 1 if there is a difference");
      },
      RunDiff);
}

}  // namespace sycamorehinge
