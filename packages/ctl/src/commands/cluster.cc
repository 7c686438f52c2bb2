// The commands `hosts` and `queues`.
#include <algorithm>
#include <initializer_list>
#include <vector>

#include "commands/commands.h"
#include "json_fields.h"
#include "text_table.h"

namespace sycamorehinge {

namespace {

using nlohmann::json;

struct hosts_options {
  bool troubled = false;
};
struct queues_options {
  std::string environment;
};

resources SizeOf(const json& object) {
  return {NumberField(object, "cores_milli"), NumberField(object, "memory_mb"),
          NumberField(object, "accelerators"), NumberField(object, "slots")};
}

std::string StateOf(const json& host) {
  std::string state;
  if (FlagField(host, "leaving")) state = "leaving";
  if (FlagField(host, "ejected")) state += state.empty() ? "ejected" : ", ejected";
  if (state.empty() && TextField(host, "holder").empty()) state = "unclaimed";
  return state.empty() ? "ok" : state;
}

// The rows in the order of the fields, so that two outputs can be compared.
std::vector<json> Sorted(const json& rows, std::initializer_list<std::string_view> fields) {
  std::vector<json> sorted(rows.begin(), rows.end());
  std::stable_sort(sorted.begin(), sorted.end(), [fields](const json& a, const json& b) {
    for (const std::string_view field : fields) {
      const int order = TextField(a, field).compare(TextField(b, field));
      if (order != 0) return order < 0;
    }
    return false;
  });
  return sorted;
}

exit_code RunHosts(command_context& context, const hosts_options& options) {
  const json_answer answer = Call(context.api, {.path = "/v1/hosts"}, call_kind::kRead);
  if (const auto* error = std::get_if<call_error>(&answer)) return Fail(context, *error);
  const auto& body = std::get<json>(answer);
  if (context.format == output_format::kJson) {
    context.out << JsonText(body) << "\n";
    return exit_code::kOk;
  }
  text_table table({"host", "kind", "region", "data centre", "rack", "holder", "term", "taken",
                    "capacity", "running", "state"});
  for (const json& host : Sorted(ListField(body, "hosts"), {"kind", "host"})) {
    const std::string state = StateOf(host);
    if (options.troubled && state == "ok") continue;
    table.Add({TextField(host, "host"), TextField(host, "kind"), TextField(host, "region"),
               TextField(host, "data_centre"), TextField(host, "rack"), TextField(host, "holder"),
               std::to_string(NumberField(host, "term")),
               SizeText(SizeOf(ObjectField(host, "taken"))),
               SizeText(SizeOf(ObjectField(host, "capacity"))),
               std::to_string(NumberField(host, "running")), state});
  }
  context.out << table.Render();
  return exit_code::kOk;
}

exit_code RunQueues(command_context& context, const queues_options& options) {
  const json_answer answer = Call(context.api, {.path = "/v1/queues"}, call_kind::kRead);
  if (const auto* error = std::get_if<call_error>(&answer)) return Fail(context, *error);
  const auto& body = std::get<json>(answer);
  if (context.format == output_format::kJson) {
    context.out << JsonText(body) << "\n";
    return exit_code::kOk;
  }
  text_table table({"environment", "service", "class", "waiting", "running", "expected wait"});
  for (const json& queue : Sorted(ListField(body, "queues"), {"environment", "service", "class"})) {
    const std::string environment = TextField(queue, "environment");
    if (!options.environment.empty() && environment != options.environment) continue;
    const std::string service = TextField(queue, "service");
    table.Add({environment, service.empty() ? "(workers)" : service, TextField(queue, "class"),
               std::to_string(NumberField(queue, "waiting")),
               std::to_string(NumberField(queue, "running")),
               DurationText(NumberField(queue, "expected_wait_ms"))});
  }
  context.out << table.Render();
  return exit_code::kOk;
}

}  // namespace

void AddClusterCommands(command_registry& registry) {
  AddCommand<hosts_options>(
      registry, "hosts", "Show the hosts that the entry process knows",
      [](CLI::App& app, hosts_options& options) {
        app.add_flag("--troubled", options.troubled, "Only hosts that take no new work");
      },
      RunHosts);
  AddCommand<queues_options>(
      registry, "queues", "Show waiting and running work by class",
      [](CLI::App& app, queues_options& options) {
        app.add_option("--environment", options.environment, "Only this environment");
      },
      RunQueues);
}

}  // namespace sycamorehinge
