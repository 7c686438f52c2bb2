#include "commands/commands.h"
#include "json_fields.h"

namespace sycamorehinge {

namespace {

struct drain_options {};

exit_code RunDrain(command_context& context, const drain_options& /*options*/) {
  // A list of entries or a load balancer would leave it open which process is drained.
  if (context.api.Options().entries.size() != 1) {
    return FailUsage(context, "drain needs exactly one --entry, the process to be drained");
  }
  // Draining twice has the effect of draining once.
  const json_answer answer =
      Call(context.api, JsonRequest("POST", "/v1/drain", nlohmann::json::object()),
           call_kind::kChange, repeat_rule::kRepeatable);
  if (const auto* error = std::get_if<call_error>(&answer)) return Fail(context, *error);
  if (context.format == output_format::kJson) {
    context.out << JsonText(std::get<nlohmann::json>(answer)) << "\n";
  } else {
    context.out << context.api.Options().entries.front() << " is draining\n";
  }
  return exit_code::kOk;
}

}  // namespace

void AddDrainCommand(command_registry& registry) {
  AddCommand<drain_options>(
      registry, "drain", "Drain one entry process before its host is replaced",
      [](CLI::App& /*app*/, drain_options& /*options*/) {}, RunDrain);
}

}  // namespace sycamorehinge
