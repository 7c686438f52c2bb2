// The command line: global options and the registered commands.
#ifndef SYCAMOREHINGE_CTL_COMMAND_LINE_H_
#define SYCAMOREHINGE_CTL_COMMAND_LINE_H_

#include <CLI/CLI.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "answer.h"
#include "api.h"
#include "client.h"

namespace sycamorehinge {

enum class output_format { kTable, kJson };

// What a command needs from outside.
struct command_context {
  client& api;
  output_format format = output_format::kTable;
  std::ostream& out;
  std::ostream& err;
  // True if `err` is a terminal that can show progress.
  bool terminal = false;
  // Name of the person at the terminal; empty if unknown.
  std::string user;
};

using command = std::function<exit_code(command_context&)>;

// The parser and the command that it chose.
struct command_registry {
  CLI::App app;
  command chosen;
};

// Adds a command. `Options` is default-constructed for each registry and
// passed to `add_options`, then to `run` when the command was chosen.
template <class Options, class AddOptions, class Run>
void AddCommand(command_registry& registry, const std::string& name, const std::string& help,
                const AddOptions& add_options, Run run) {
  CLI::App* sub = registry.app.add_subcommand(name, help);
  sub->set_version_flag("--version", SYCAMOREHINGE_VERSION);
  const auto options = std::make_shared<Options>();
  add_options(*sub, *options);
  sub->callback([&registry, options, run] {
    registry.chosen = [options, run](command_context& context) { return run(context, *options); };
  });
}

// Prints "error: ..." and returns the error's exit code.
exit_code Fail(command_context& context, const call_error& error);
exit_code FailUsage(command_context& context, std::string_view message);

// Everything outside of the process that the program touches; tests replace it.
struct program_environment {
  api_transport transport;
  api_clock clock;
  std::ostream& out;
  std::ostream& err;
  bool terminal = false;
  // Values of SYCAMOREHINGE_ENTRY, SYCAMOREHINGE_TOKEN and USER; empty if not set.
  std::string entry;
  std::string token;
  std::string user;
};

// Parses the arguments (without the program's name), runs the command and returns the exit code.
int RunProgram(std::vector<std::string> arguments, program_environment environment);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_COMMAND_LINE_H_
