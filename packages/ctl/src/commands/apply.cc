#include <optional>

#include "commands/commands.h"
#include "document_call.h"
#include "files.h"
#include "json_fields.h"
#include "sycamorehinge/settings/environment.h"

namespace sycamorehinge {

namespace {

struct apply_options {
  std::string file;
  std::optional<std::uint64_t> base;
  std::string author;
};

exit_code RunApply(command_context& context, const apply_options& options) {
  const result<std::string> text = ReadInput(options.file);
  if (!text) return FailUsage(context, text.detail());
  const auto document = ParseEnvironment(*text, options.file);
  if (!document) {
    context.err << ToString(document.Mistakes());
    return exit_code::kFailed;
  }
  config_record proposal;
  proposal.environment = document->name;
  proposal.stage = stage_name::kTrial;
  proposal.author = options.author.empty() ? context.user : options.author;
  proposal.text = *text;
  if (proposal.author.empty()) return FailUsage(context, "--author is required");
  if (options.base) {
    proposal.base = *options.base;
  } else {
    const auto in_force = FetchDocument(context.api, document->name.value, stage_name::kTrial);
    if (const auto* error = std::get_if<call_error>(&in_force)) return Fail(context, *error);
    proposal.base = std::get<config_version>(in_force).version;
  }
  const auto accepted = ProposeDocument(context.api, proposal);
  if (const auto* error = std::get_if<call_error>(&accepted)) return Fail(context, *error);
  const std::uint64_t version = std::get<std::uint64_t>(accepted);
  if (context.format == output_format::kJson) {
    context.out << JsonText({{"version", version}, {"base", proposal.base}}) << "\n";
  } else {
    context.out << document->name.value << " trial: version " << version << " replaces "
                << proposal.base << "\n";
  }
  return exit_code::kOk;
}

}  // namespace

void AddApplyCommand(command_registry& registry) {
  AddCommand<apply_options>(
      registry, "apply", "Apply an environment document to trial",
      [](CLI::App& app, apply_options& options) {
        app.add_option("FILE", options.file, "Environment document; - is standard input")
            ->required();
        app.add_option("--base", options.base,
                       "Version that the document replaces; default: the one in force");
        app.add_option("--author", options.author, "Name kept with the version; default: $USER");
      },
      RunApply);
}

}  // namespace sycamorehinge
