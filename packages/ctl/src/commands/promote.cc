#include <optional>

#include "commands/commands.h"
#include "document_call.h"
#include "json_fields.h"

namespace sycamorehinge {

namespace {

struct promote_options {
  std::string name;
  std::optional<std::uint64_t> base;
  std::optional<std::uint64_t> trial;
  std::string author;
};

call_error TrialError(const promote_options& options, const config_version& trial) {
  if (trial.version == 0) {
    return {exit_code::kNotRun, 0, "unknown_environment: " + options.name + " has no trial",
            nlohmann::json()};
  }
  return {exit_code::kConflict, 0,
          "version_conflict: trial has version " + std::to_string(trial.version) + " by " +
              trial.author,
          nlohmann::json()};
}

exit_code RunPromote(command_context& context, const promote_options& options) {
  const auto fetched = FetchDocument(context.api, options.name, stage_name::kTrial);
  if (const auto* error = std::get_if<call_error>(&fetched)) return Fail(context, *error);
  const auto& trial = std::get<config_version>(fetched);
  const bool other = options.trial && *options.trial != trial.version;
  if (trial.version == 0 || other) return Fail(context, TrialError(options, trial));
  config_record proposal;
  proposal.environment.value = options.name;
  proposal.stage = stage_name::kProduction;
  proposal.author = options.author.empty() ? context.user : options.author;
  proposal.text = trial.text;
  if (proposal.author.empty()) return FailUsage(context, "--author is required");
  if (options.base) {
    proposal.base = *options.base;
  } else {
    const auto in_force = FetchDocument(context.api, options.name, stage_name::kProduction);
    if (const auto* error = std::get_if<call_error>(&in_force)) return Fail(context, *error);
    proposal.base = std::get<config_version>(in_force).version;
  }
  const auto accepted = ProposeDocument(context.api, proposal);
  if (const auto* error = std::get_if<call_error>(&accepted)) return Fail(context, *error);
  const std::uint64_t version = std::get<std::uint64_t>(accepted);
  if (context.format == output_format::kJson) {
    context.out << JsonText(
                       {{"version", version}, {"base", proposal.base}, {"trial", trial.version}})
                << "\n";
  } else {
    context.out << options.name << " production: version " << version << " replaces "
                << proposal.base << ", from trial version " << trial.version << "\n";
  }
  return exit_code::kOk;
}

}  // namespace

void AddPromoteCommand(command_registry& registry) {
  AddCommand<promote_options>(
      registry, "promote", "Promote the document in trial to production",
      [](CLI::App& app, promote_options& options) {
        app.add_option("NAME", options.name, "Environment")->required();
        app.add_option("--base", options.base,
                       "Production version that is replaced; default: the one in force");
        app.add_option("--trial", options.trial,
                       "Promote only if trial has this version; default: any");
        app.add_option("--author", options.author, "Name kept with the version; default: $USER");
      },
      RunPromote);
}

}  // namespace sycamorehinge
