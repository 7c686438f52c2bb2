#include "commands/check_platform.h"
#include "commands/commands.h"
#include "files.h"
#include "json_fields.h"
#include "sycamorehinge/settings/environment.h"
#include "sycamorehinge/settings/job_file.h"
#include "sycamorehinge/settings/process_settings.h"

namespace sycamorehinge {

namespace {

struct check_options {
  std::string file;
  std::string kind = "auto";
  std::string platform;
  std::string in_force;
};

template <class T>
std::vector<mistake> MistakesOf(const parsed<T>& read) {
  return {read.Mistakes().begin(), read.Mistakes().end()};
}

file_kind KindOf(const check_options& options, std::string_view text) {
  if (options.kind == "settings") return file_kind::kSettings;
  if (options.kind == "environment") return file_kind::kEnvironment;
  if (options.kind == "job") return file_kind::kJob;
  return GuessFileKind(text);
}

std::vector<mistake> Check(file_kind kind, std::string_view text, std::string_view file) {
  switch (kind) {
    case file_kind::kSettings:
      return MistakesOf(ParseSettings(text, file));
    case file_kind::kJob:
      return MistakesOf(ParseJob(text, file));
    case file_kind::kEnvironment:
      break;
  }
  return MistakesOf(ParseEnvironment(text, file));
}

std::string_view NameOf(file_kind kind) {
  if (kind == file_kind::kSettings) return "settings";
  return kind == file_kind::kJob ? "job" : "environment document";
}

nlohmann::json MistakesJson(std::span<const mistake> mistakes) {
  nlohmann::json list = nlohmann::json::array();
  for (const mistake& found : mistakes) {
    list.push_back({{"file", found.file},
                    {"line", found.line},
                    {"column", found.column},
                    {"key", found.key},
                    {"error", ErrorName(found.code)},
                    {"expected", found.expected},
                    {"nearest", found.nearest}});
  }
  return {{"mistakes", list}};
}

exit_code RunCheck(command_context& context, const check_options& options) {
  if (!options.platform.empty()) {
    return CheckPlatform(context, options.platform, options.in_force);
  }
  if (options.file.empty()) return FailUsage(context, "check: FILE or --platform is required");
  const result<std::string> text = ReadInput(options.file);
  if (!text) return FailUsage(context, text.detail());
  const file_kind kind = KindOf(options, *text);
  const std::vector<mistake> mistakes = Check(kind, *text, options.file);
  if (context.format == output_format::kJson) {
    context.out << JsonText(MistakesJson(mistakes)) << "\n";
  } else if (mistakes.empty()) {
    context.out << options.file << ": " << NameOf(kind) << " without mistakes\n";
  } else {
    context.err << ToString(mistakes);
  }
  return mistakes.empty() ? exit_code::kOk : exit_code::kFailed;
}

}  // namespace

void AddCheckCommand(command_registry& registry) {
  AddCommand<check_options>(
      registry, "check",
      "Check a settings file, environment document, job file or platform configuration",
      [](CLI::App& app, check_options& options) {
        CLI::Option* file =
            app.add_option("FILE", options.file, "File to check; - is standard input");
        CLI::Option* kind = app.add_option("--kind", options.kind, "Kind of the file")
                                ->check(CLI::IsMember({"auto", "settings", "environment", "job"}))
                                ->capture_default_str();
        CLI::Option* platform =
            app.add_option("--platform", options.platform,
                           "Platform configuration (JSON) to check instead of FILE; prints errors, "
                           "warnings and changes, and fails on errors only")
                ->excludes(file)
                ->excludes(kind);
        app.add_option("--in-force", options.in_force,
                       "Platform configuration in force, to compare with --platform")
            ->needs(platform);
      },
      RunCheck);
}

}  // namespace sycamorehinge
