#include "commands/commands.h"
#include "files.h"
#include "json_fields.h"
#include "random_id.h"

namespace sycamorehinge {

namespace {

constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

struct request_options {
  std::string service;
  std::string environment;
  std::string tenant;
  std::string work_class;
  std::string key;
  bool not_idempotent = false;
  std::int64_t deadline_ms = 0;
  std::string body;
  std::string body_file;
};

api_request MakeRequest(const request_options& options, const std::string& id, std::string body) {
  api_request request{
      .method = "POST",
      .path = "/v1/requests/" + UrlEncoded(options.service),
      .headers = {{"Content-Type", "application/octet-stream"},
                  {"Sycamorehinge-Request", id},
                  {"Sycamorehinge-Environment", options.environment},
                  {"Sycamorehinge-Tenant", options.tenant},
                  {"Sycamorehinge-Class", options.work_class},
                  {"Sycamorehinge-Idempotent", options.not_idempotent ? "false" : "true"}},
      .body = std::move(body)};
  if (!options.key.empty()) request.headers.emplace_back("Sycamorehinge-Key", options.key);
  if (options.deadline_ms > 0) {
    request.headers.emplace_back("Sycamorehinge-Deadline-Ms", std::to_string(options.deadline_ms));
  }
  return request;
}

exit_code RunRequest(command_context& context, const request_options& options) {
  std::string body = options.body;
  if (!options.body_file.empty()) {
    result<std::string> text = ReadInput(options.body_file);
    if (!text) return FailUsage(context, text.detail());
    body = *std::move(text);
  }
  const std::string id = RandomId();
  // With a key, the partition runs the request at most once however often it arrives.
  const bool repeatable = !options.not_idempotent || !options.key.empty();
  const result<api_reply> reply =
      context.api.Send(MakeRequest(options, id, std::move(body)),
                       repeatable ? repeat_rule::kRepeatable : repeat_rule::kOnce);
  if (!reply || reply->status != 200) return Fail(context, ErrorOf(reply, call_kind::kChange));
  if (!reply->request_id.empty() && reply->request_id != id) {
    return Fail(context, {exit_code::kUnknownOutcome, reply->status,
                          "the answer belongs to another request", nlohmann::json()});
  }
  if (context.format == output_format::kJson) {
    context.out << JsonText({{"request", id}, {"body", reply->body}}) << "\n";
  } else {
    context.out << reply->body;
  }
  return exit_code::kOk;
}

}  // namespace

void AddRequestCommand(command_registry& registry) {
  AddCommand<request_options>(
      registry, "request", "Send one request to a service and print its answer",
      [](CLI::App& app, request_options& options) {
        app.add_option("SERVICE", options.service, "Service")->required();
        app.add_option("--environment", options.environment, "Environment")->required();
        app.add_option("--tenant", options.tenant, "Tenant")->required();
        app.add_option("--class", options.work_class, "Class")->required();
        app.add_option("--key", options.key, "Idempotency key");
        app.add_flag("--not-idempotent", options.not_idempotent, "The request may run only once");
        app.add_option("--deadline-ms", options.deadline_ms, "Time that the answer is of use")
            ->check(CLI::Range(std::int64_t{0}, kMaxDeadlineMs));
        auto* body = app.add_option("--body", options.body, "Body of the request");
        app.add_option("--body-file", options.body_file, "File with the body; - is standard input")
            ->excludes(body);
      },
      RunRequest);
}

}  // namespace sycamorehinge
