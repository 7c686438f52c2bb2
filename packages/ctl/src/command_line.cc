#include "command_line.h"

#include <algorithm>
#include <optional>

#include "commands/commands.h"
#include "json_fields.h"
#include "sycamorehinge/settings/secret.h"

namespace sycamorehinge {

namespace {

constexpr const char* kFooter =
    "Exit codes: 0 success, 1 failed, 2 wrong usage, 3 version conflict, 4 not run,\n"
    "5 outcome unknown, 6 no entry process reached.";
constexpr std::string_view kDefaultEntry = "http://127.0.0.1:7000";

struct global_options {
  std::vector<std::string> entries;
  std::string token_file;
  std::string output = "table";
  std::int64_t timeout_ms = 10'000;
};

void AddGlobalOptions(CLI::App& app, global_options& options) {
  constexpr std::int64_t kMaxTimeoutMs = 3'600'000;
  app.add_option("--entry", options.entries,
                 "URL of an entry process, repeatable; default: $SYCAMOREHINGE_ENTRY (separated by "
                 "commas), else http://127.0.0.1:7000")
      ->take_all()
      ->expected(1);
  app.add_option("--token-file", options.token_file,
                 "File with the access token; default: the token in $SYCAMOREHINGE_TOKEN");
  app.add_option("--output", options.output, "Format of the output")
      ->check(CLI::IsMember({"table", "json"}))
      ->capture_default_str();
  app.add_option("--timeout-ms", options.timeout_ms, "Longest time of one call")
      ->check(CLI::Range(std::int64_t{1}, kMaxTimeoutMs))
      ->capture_default_str();
}

void AddCommands(command_registry& registry) {
  for (const auto add :
       {AddCheckCommand, AddDiffCommand, AddApplyCommand, AddPromoteCommand, AddHistoryCommand,
        AddSubmitCommand, AddJobCommands, AddWaitCommand, AddRequestCommand, AddClusterCommands,
        AddStateCommand, AddMetricsCommand, AddDrainCommand, AddBenchCommand, AddExplainCommand,
        AddHelpSettingsCommand}) {
    add(registry);
  }
}

std::vector<std::string> SplitEntries(std::string_view list) {
  std::vector<std::string> entries;
  while (!list.empty()) {
    const std::size_t end = std::min(list.find(','), list.size());
    if (end > 0) entries.emplace_back(list.substr(0, end));
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return entries;
}

result<client_options> MakeClientOptions(const global_options& options,
                                         const program_environment& environment) {
  client_options made;
  made.entries = options.entries.empty() ? SplitEntries(environment.entry) : options.entries;
  if (made.entries.empty()) made.entries.emplace_back(kDefaultEntry);
  for (std::string& entry : made.entries) {
    if (!entry.starts_with("http://") && !entry.starts_with("https://")) {
      return {errc::kMalformed, "--entry: expected a URL such as " + std::string(kDefaultEntry)};
    }
    while (entry.ends_with('/')) entry.pop_back();
  }
  made.timeout = std::chrono::milliseconds(options.timeout_ms);
  made.token = environment.token;
  if (!options.token_file.empty()) {
    const result<std::string> token = ReadSecret(secret_in_file{options.token_file});
    if (!token) return {token.code(), "--token-file: " + std::string(token.detail())};
    made.token = *token;
  }
  // A line end inside of the token would start another header.
  if (made.token.find_first_of("\r\n") != std::string::npos) {
    return {errc::kMalformed, "the token has more than one line"};
  }
  return made;
}

// Parses the arguments; an exit code if the program is to end at once.
std::optional<int> Parse(command_registry& registry, std::vector<std::string> arguments,
                         program_environment& environment) {
  // CLI11 takes the arguments in reverse order.
  std::reverse(arguments.begin(), arguments.end());
  try {
    registry.app.parse(std::move(arguments));
  } catch (const CLI::ParseError& error) {
    const int code = registry.app.exit(error, environment.out, environment.err);
    return static_cast<int>(code == 0 ? exit_code::kOk : exit_code::kUsage);
  }
  return std::nullopt;
}

}  // namespace

exit_code Fail(command_context& context, const call_error& error) {
  context.err << "error: " << error.message << "\n";
  return error.exit;
}

exit_code FailUsage(command_context& context, std::string_view message) {
  context.err << "error: " << message << "\n";
  return exit_code::kUsage;
}

int RunProgram(std::vector<std::string> arguments, program_environment environment) {
  arguments.push_back(environment.user);
  if (!std::all_of(arguments.begin(), arguments.end(), IsUtf8)) {
    environment.err << "error: the arguments are not UTF-8 text, which JSON needs\n";
    return static_cast<int>(exit_code::kUsage);
  }
  arguments.pop_back();
  command_registry registry;
  global_options options;
  registry.app.name("sycamorehingectl");
  registry.app.description("Operates sycamorehinge");
  registry.app.footer(kFooter);
  registry.app.set_version_flag("--version", SYCAMOREHINGE_VERSION);
  registry.app.require_subcommand(1);
  // Global options may also stand behind the command.
  registry.app.fallthrough();
  AddGlobalOptions(registry.app, options);
  AddCommands(registry);
  if (const auto exit = Parse(registry, std::move(arguments), environment)) return *exit;
  result<client_options> client_setup = MakeClientOptions(options, environment);
  if (!client_setup) {
    environment.err << "error: " << client_setup.detail() << "\n";
    return static_cast<int>(exit_code::kUsage);
  }
  client api(*std::move(client_setup), environment.transport, environment.clock);
  command_context context{api,
                          options.output == "json" ? output_format::kJson : output_format::kTable,
                          environment.out,
                          environment.err,
                          environment.terminal,
                          environment.user};
  return static_cast<int>(registry.chosen(context));
}

}  // namespace sycamorehinge
