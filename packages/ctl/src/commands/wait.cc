#include <algorithm>

#include "commands/commands.h"
#include "json_fields.h"
#include "text_table.h"

namespace sycamorehinge {

namespace {

using nlohmann::json;

// A terminal is kept up to date; otherwise the process answers when the job ends.
constexpr duration kTerminalPoll = std::chrono::seconds(1);
constexpr duration kQuietPoll = std::chrono::seconds(10);
constexpr duration kRetryPause = std::chrono::seconds(1);
// Takeover of a dead entry process lasts at most 15 s; longer silence is worth a person's time.
constexpr duration kMaxSilence = std::chrono::seconds(60);

constexpr std::int64_t kMaxWaitMs = 365LL * 86'400'000;

struct wait_options {
  std::string job;
  std::int64_t timeout_ms = 0;
};

bool HasEnded(const std::string& state) {
  return state == "succeeded" || state == "failed" || state == "cancelled";
}

std::int64_t Milliseconds(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

void ShowProgress(command_context& context, const json& job) {
  if (!context.terminal) return;
  // Erases the rest of the line, which an earlier, longer text may have left.
  context.err << "\r" << Printable(TextField(job, "state")) << ", " << NumberField(job, "done")
              << " of " << NumberField(job, "tasks") << " tasks done\x1b[K" << std::flush;
}

void EndProgress(command_context& context) {
  if (context.terminal) context.err << "\r\x1b[K" << std::flush;
}

json_answer AskOnce(command_context& context, const std::string& job, duration poll) {
  const api_request request{.path = "/v1/jobs/" + job +
                                    "?wait_ms=" + std::to_string(Milliseconds(poll))};
  const result<api_reply> reply =
      context.api.Send(request, repeat_rule::kRepeatable, poll + context.api.Options().timeout);
  if (!reply || reply->status != 200) return ErrorOf(reply, call_kind::kRead);
  json body = ParseJson(reply->body);
  if (!body.is_object()) return ErrorOf(reply, call_kind::kRead);
  return body;
}

// True for errors that may pass while another process takes over the job's partition.
bool MayPass(const call_error& error) { return error.status == 0 || error.status >= 500; }

}  // namespace

exit_code WaitForJob(command_context& context, const std::string& job, duration timeout) {
  const api_clock& clock = context.api.Clock();
  const time_point end = timeout == duration::zero() ? time_point::max() : clock.now() + timeout;
  time_point last_answer = clock.now();
  while (true) {
    const time_point now = clock.now();
    const duration poll = std::min(context.terminal ? kTerminalPoll : kQuietPoll,
                                   std::max(end - now, duration::zero()));
    const json_answer answer = AskOnce(context, job, poll);
    if (const auto* error = std::get_if<call_error>(&answer)) {
      const bool silent = clock.now() - last_answer > kMaxSilence;
      if (!MayPass(*error) || silent || clock.now() >= end) {
        EndProgress(context);
        return Fail(context, *error);
      }
      clock.sleep(kRetryPause);
      continue;
    }
    last_answer = clock.now();
    const auto& body = std::get<json>(answer);
    const std::string state = TextField(body, "state");
    if (HasEnded(state)) {
      EndProgress(context);
      PrintJob(context, body);
      return state == "succeeded" ? exit_code::kOk : exit_code::kFailed;
    }
    ShowProgress(context, body);
    if (clock.now() >= end) {
      EndProgress(context);
      PrintJob(context, body);
      return Fail(context, {exit_code::kUnknownOutcome, 0, "the job has not ended yet", json()});
    }
    // A process that answers early must not be asked in a loop.
    if (clock.now() - now < kRetryPause / 2) clock.sleep(kRetryPause);
  }
}

void AddWaitCommand(command_registry& registry) {
  AddCommand<wait_options>(
      registry, "wait", "Wait until a job has ended",
      [](CLI::App& app, wait_options& options) {
        app.add_option("JOB", options.job, "Job id, for example p3-120-7")
            ->required()
            ->check([](const std::string& text) {
              job_id job;
              return ParseJobId(text, job) ? std::string() : text + " is not a job id";
            });
        app.add_option("--wait-ms", options.timeout_ms, "Longest wait; 0 waits for ever")
            ->check(CLI::Range(std::int64_t{0}, kMaxWaitMs));
      },
      [](command_context& context, const wait_options& options) {
        return WaitForJob(context, options.job, std::chrono::milliseconds(options.timeout_ms));
      });
}

}  // namespace sycamorehinge
