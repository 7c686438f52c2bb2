// The commands `status` and `cancel`.
#include "commands/commands.h"
#include "json_fields.h"
#include "sycamorehinge/core/types.h"
#include "text_table.h"

namespace sycamorehinge {

namespace {

using nlohmann::json;

struct job_options {
  std::string job;
};

void AddJobOption(CLI::App& app, job_options& options) {
  app.add_option("JOB", options.job, "Job id, for example p3-120-7")
      ->required()
      ->check([](const std::string& text) {
        job_id job;
        return ParseJobId(text, job) ? std::string() : text + " is not a job id";
      });
}

void PrintAttempts(command_context& context, const json& attempts) {
  if (attempts.empty()) return;
  text_table table({"task", "attempts", "open", "host", "last"});
  for (const json& task : attempts) {
    // While the first attempt is open, no attempt has ended yet.
    const bool first = FlagField(task, "open") && NumberField(task, "attempts") <= 1;
    table.Add({task.contains("task") && task["task"].is_string()
                   ? TextField(task, "task")
                   : std::to_string(NumberField(task, "task")),
               std::to_string(NumberField(task, "attempts")),
               FlagField(task, "open") ? "yes" : "no", TextField(task, "host"),
               first ? std::string() : TextField(task, "last")});
  }
  context.out << table.Render();
}

exit_code RunStatus(command_context& context, const job_options& options) {
  const json_answer answer =
      Call(context.api, {.path = "/v1/jobs/" + options.job}, call_kind::kRead);
  if (const auto* error = std::get_if<call_error>(&answer)) return Fail(context, *error);
  PrintJob(context, std::get<json>(answer));
  return exit_code::kOk;
}

exit_code RunCancel(command_context& context, const job_options& options) {
  // Cancelling twice has the effect of cancelling once.
  const json_answer answer =
      Call(context.api, {.method = "DELETE", .path = "/v1/jobs/" + options.job}, call_kind::kChange,
           repeat_rule::kRepeatable);
  if (const auto* error = std::get_if<call_error>(&answer)) return Fail(context, *error);
  PrintJob(context, std::get<json>(answer));
  return exit_code::kOk;
}

}  // namespace

void PrintJob(command_context& context, const json& job) {
  if (context.format == output_format::kJson) {
    context.out << JsonText(job) << "\n";
    return;
  }
  const std::string outcome = TextField(job, "outcome");
  context.out << Printable(TextField(job, "job")) << ": " << Printable(TextField(job, "state"))
              << ", " << NumberField(job, "done") << " of " << NumberField(job, "tasks")
              << " tasks done";
  if (!outcome.empty() && outcome != ErrorName(errc::kOk)) {
    context.out << ", " << Printable(outcome);
  }
  context.out << "\n";
  PrintAttempts(context, ListField(job, "attempts"));
}

void AddJobCommands(command_registry& registry) {
  AddCommand<job_options>(registry, "status", "Show the state of a job", AddJobOption, RunStatus);
  AddCommand<job_options>(registry, "cancel", "Cancel a job", AddJobOption, RunCancel);
}

}  // namespace sycamorehinge
