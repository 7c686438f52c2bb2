#include "answer.h"

#include "json_fields.h"
#include "text_table.h"

namespace sycamorehinge {

namespace {

using nlohmann::json;

constexpr int kOkStatus = 200;
constexpr int kFirstErrorStatus = 300;
constexpr int kServerErrorStatus = 500;

bool Succeeded(const api_reply& reply) {
  return reply.status >= kOkStatus && reply.status < kFirstErrorStatus;
}

exit_code ExitCodeOf(const api_reply& reply, const json& body) {
  if (TextField(body, "error") == ErrorName(errc::kVersionConflict)) return exit_code::kConflict;
  const std::string outcome = TextField(body, "outcome");
  if (outcome == "not_run") return exit_code::kNotRun;
  if (outcome == "failed") return exit_code::kFailed;
  if (outcome == "unknown") return exit_code::kUnknownOutcome;
  // Not an error of an entry process: a load balancer may have passed the request on before it
  // gave a server error, but it refuses a bad request itself.
  return reply.status >= kServerErrorStatus || Succeeded(reply) ? exit_code::kUnknownOutcome
                                                                : exit_code::kNotRun;
}

std::string MessageOf(const api_reply& reply, const json& body) {
  const std::string error = TextField(body, "error");
  if (error.empty()) return "unexpected reply with HTTP status " + std::to_string(reply.status);
  std::string message = error;
  const std::string detail = TextField(body, "detail");
  if (!detail.empty()) message += ": " + detail;
  const json& winner = ObjectField(body, "winner");
  if (detail.empty() && !winner.empty()) {
    message += "; version " + std::to_string(NumberField(winner, "version")) + " by " +
               TextField(winner, "author") + " is in force";
  }
  const std::int64_t retry_ms = NumberField(body, "retry_after_ms");
  if (retry_ms > 0) message += "; try again in " + std::to_string(retry_ms) + " ms";
  return Printable(message);
}

call_error ConnectionError(const result<api_reply>& reply, call_kind kind) {
  if (reply.code() == errc::kOutcomeUnknown && kind == call_kind::kChange) {
    return {exit_code::kUnknownOutcome, 0, "the outcome is unknown: " + Printable(reply.detail()),
            json()};
  }
  const std::string detail = reply.detail() == kNeverSent
                                 ? std::string("no entry process accepts connections")
                                 : Printable(reply.detail());
  return {exit_code::kUnreachable, 0, "cannot reach an entry process: " + detail, json()};
}

}  // namespace

call_error ErrorOf(const result<api_reply>& reply, call_kind kind) {
  if (!reply) return ConnectionError(reply, kind);
  json body = ParseJson(reply->body);
  const exit_code exit = kind == call_kind::kRead ? exit_code::kFailed : ExitCodeOf(*reply, body);
  std::string message = MessageOf(*reply, body);
  return {exit, reply->status, std::move(message), std::move(body)};
}

json_answer Call(client& api, const api_request& request, call_kind kind, repeat_rule rule) {
  const result<api_reply> reply =
      api.Send(request, kind == call_kind::kRead ? repeat_rule::kRepeatable : rule);
  if (!reply || !Succeeded(*reply)) return ErrorOf(reply, kind);
  json body = ParseJson(reply->body);
  if (!body.is_object()) return ErrorOf(reply, kind);
  return body;
}

api_request JsonRequest(std::string method, std::string path, const json& body) {
  return {std::move(method), std::move(path), {{"Content-Type", "application/json"}}, body.dump()};
}

}  // namespace sycamorehinge
