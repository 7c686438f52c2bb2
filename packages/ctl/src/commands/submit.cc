#include <cmath>
#include <optional>

#include "commands/commands.h"
#include "files.h"
#include "json_fields.h"
#include "random_id.h"
#include "sycamorehinge/settings/job_file.h"

namespace sycamorehinge {

namespace {

using nlohmann::json;

struct submit_options {
  std::string file;
  std::optional<std::string> environment;
  std::optional<std::string> tenant;
  std::optional<std::string> work_class;
  std::optional<std::string> key;
  std::optional<std::string> kind;
  std::optional<std::uint32_t> tasks;
  std::optional<double> cores;
  std::optional<double> memory_gb;
  std::optional<std::int64_t> accelerators;
  std::optional<std::int64_t> run_ms;
  std::optional<std::int64_t> deadline_ms;
  std::optional<std::string> payload;
  std::string payload_file;
  bool not_idempotent = false;
  bool not_preemptible = false;
  bool wait = false;
};

// Largest sizes that a flag may give; they keep thousandths far below the largest integer.
constexpr double kMaxSize = 1e7;
constexpr std::int64_t kMaxAccelerators = 1'000'000;
constexpr std::uint32_t kMaxTasks = 10'000;
constexpr std::int64_t kMaxMs = 365LL * 86'400'000;

constexpr double kMillisPerCore = 1000;
constexpr double kMbPerGb = 1024;

// CLI::Range accepts NaN.
std::string IsSize(const std::string& text) {
  double size = 0;
  const bool number = CLI::detail::lexical_cast(text, size);
  return number && size >= 0 && size <= kMaxSize ? std::string()
                                                 : text + " is not a number from 0 to 10000000";
}

template <class T, class Field>
void Override(const std::optional<T>& flag, Field& field) {
  if (flag) field = *flag;
}

work_kind KindOf(std::string_view name) {
  if (name == "gang") return work_kind::kGang;
  return name == "service" ? work_kind::kService : work_kind::kBatch;
}

// Flags win over the file.
void ApplyFlags(const submit_options& options, job_spec& job) {
  Override(options.environment, job.environment.value);
  Override(options.tenant, job.tenant.value);
  Override(options.work_class, job.work_class.value);
  Override(options.key, job.key);
  Override(options.tasks, job.tasks);
  Override(options.accelerators, job.size.accelerators);
  Override(options.payload, job.payload);
  if (options.kind) job.kind = KindOf(*options.kind);
  if (options.cores) job.size.cores_milli = std::llround(*options.cores * kMillisPerCore);
  if (options.memory_gb) job.size.memory_mb = std::llround(*options.memory_gb * kMbPerGb);
  if (options.run_ms) job.run_time = std::chrono::milliseconds(*options.run_ms);
  if (options.deadline_ms) job.deadline = std::chrono::milliseconds(*options.deadline_ms);
  if (options.not_idempotent) job.idempotent = false;
  if (options.not_preemptible) job.preemptible = false;
}

std::int64_t Milliseconds(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

json JobJson(const job_spec& job) {
  return {{"environment", job.environment.value},
          {"tenant", job.tenant.value},
          {"class", job.work_class.value},
          {"key", job.key},
          {"kind", ToString(job.kind)},
          {"tasks", job.tasks},
          {"size",
           {{"cores_milli", job.size.cores_milli},
            {"memory_mb", job.size.memory_mb},
            {"accelerators", job.size.accelerators}}},
          {"run_ms", Milliseconds(job.run_time)},
          {"deadline_ms", Milliseconds(job.deadline)},
          {"idempotent", job.idempotent},
          {"preemptible", job.preemptible},
          {"payload", job.payload}};
}

// What is wrong with the job; empty if nothing is.
std::string Complaint(const job_spec& job) {
  if (job.environment.empty()) return "--environment is required";
  if (job.tenant.empty()) return "--tenant is required";
  if (job.work_class.empty()) return "--class is required";
  if (job.size == resources{}) return "--cores, --memory-gb or --accelerators is required";
  if (!IsUtf8(job.payload)) return "the payload is not UTF-8 text";
  return {};
}

// Reads file, payload and flags; reports mistakes and gives the exit code for them.
std::variant<job_spec, exit_code> ReadJob(command_context& context, const submit_options& options) {
  job_spec job;
  if (!options.file.empty()) {
    const result<std::string> text = ReadInput(options.file);
    if (!text) return FailUsage(context, text.detail());
    auto read = ParseJob(*text, options.file);
    if (!read) {
      context.err << ToString(read.Mistakes());
      return exit_code::kFailed;
    }
    job = *std::move(read);
  }
  ApplyFlags(options, job);
  if (!options.payload_file.empty()) {
    const result<std::string> payload = ReadInput(options.payload_file);
    if (!payload) return FailUsage(context, payload.detail());
    job.payload = *payload;
  }
  const std::string complaint = Complaint(job);
  if (!complaint.empty()) return FailUsage(context, complaint);
  // With a key, a submission whose reply was lost can be repeated.
  if (job.key.empty()) job.key = RandomId();
  return job;
}

exit_code RunSubmit(command_context& context, const submit_options& options) {
  const auto read = ReadJob(context, options);
  if (const auto* exit = std::get_if<exit_code>(&read)) return *exit;
  const auto& job = std::get<job_spec>(read);
  const json_answer answer = Call(context.api, JsonRequest("POST", "/v1/jobs", JobJson(job)),
                                  call_kind::kChange, repeat_rule::kRepeatable);
  if (const auto* error = std::get_if<call_error>(&answer)) {
    if (error->exit == exit_code::kUnknownOutcome) {
      context.err << "submit again with --key " << job.key << " to learn the outcome\n";
    }
    return Fail(context, *error);
  }
  const auto& body = std::get<json>(answer);
  const std::string id = TextField(body, "job");
  if (options.wait) return WaitForJob(context, id, duration::zero());
  if (context.format == output_format::kJson) {
    context.out << JsonText({{"job", id}, {"key", job.key}}) << "\n";
  } else {
    context.out << id << "\n";
  }
  return exit_code::kOk;
}

void AddSubmitOptions(CLI::App& app, submit_options& options) {
  app.add_option("--file", options.file, "Job file (TOML); - is standard input");
  app.add_option("--environment", options.environment, "Environment");
  app.add_option("--tenant", options.tenant, "Tenant");
  app.add_option("--class", options.work_class, "Class");
  app.add_option("--key", options.key, "Idempotency key; default: a fresh one");
  app.add_option("--kind", options.kind, "batch, service or gang; default: batch")
      ->check(CLI::IsMember({"batch", "service", "gang"}));
  app.add_option("--tasks", options.tasks, "Number of tasks; default: 1")
      ->check(CLI::Range(std::uint32_t{1}, kMaxTasks));
  app.add_option("--cores", options.cores, "Cores of each task")->check(IsSize);
  app.add_option("--memory-gb", options.memory_gb, "Memory of each task in GB (1024 MB)")
      ->check(IsSize);
  app.add_option("--accelerators", options.accelerators, "Accelerators of each task")
      ->check(CLI::Range(std::int64_t{0}, kMaxAccelerators));
  app.add_option("--run-ms", options.run_ms, "Expected run time of a task")
      ->check(CLI::Range(std::int64_t{0}, kMaxMs));
  app.add_option("--deadline-ms", options.deadline_ms, "Time until the job is due")
      ->check(CLI::Range(std::int64_t{0}, kMaxMs));
  auto* payload = app.add_option("--payload", options.payload, "Text handed to each task");
  app.add_option("--payload-file", options.payload_file, "File with the payload")
      ->excludes(payload);
  app.add_flag("--not-idempotent", options.not_idempotent, "A task must not run twice");
  app.add_flag("--not-preemptible", options.not_preemptible,
               "Tasks are not stopped to make room for others");
  app.add_flag("--wait", options.wait, "Wait until the job has ended");
}

}  // namespace

void AddSubmitCommand(command_registry& registry) {
  AddCommand<submit_options>(registry, "submit", "Submit a job from flags or a file",
                             AddSubmitOptions, RunSubmit);
}

}  // namespace sycamorehinge
