#include "host_codec.h"

#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "sycamorehinge/net/json_fields.h"
#include "sycamorehinge/net/url.h"

namespace sycamorehinge {

namespace {

using nlohmann::json;

json AttemptsToJson(const std::vector<attempt_id>& ids) {
  json texts = json::array();
  for (const attempt_id& id : ids) texts.push_back(ToString(id));
  return texts;
}

json ToJson(const claim_call& call) {
  return {{"holder", call.holder.value},
          {"term", call.term},
          {"ttl_ms", ToMilliseconds(call.ttl)},
          {"keep", AttemptsToJson(call.keep)},
          {"ack", AttemptsToJson(call.ack)}};
}

json ToJson(const start_call& call) {
  return {{"holder", call.holder.value},
          {"term", call.term},
          {"attempt", ToString(call.id)},
          {"tenant", call.tenant.value},
          {"class", call.work_class.value},
          {"preemptible", call.preemptible},
          {"size", ToJson(call.size)},
          {"lease_ms", ToMilliseconds(call.lease)},
          {"run_ms", ToMilliseconds(call.run_time)},
          {"payload", call.payload}};
}

json ToJson(const void_call& call) { return {{"term", call.term}, {"attempt", ToString(call.id)}}; }

json ToJson(const stop_call& call) {
  return {{"term", call.term}, {"attempt", ToString(call.id)}, {"checkpoint", call.checkpoint}};
}

json ToJson(const throttle_call& call) {
  return {{"term", call.term}, {"attempt", ToString(call.id)}, {"percent", call.percent}};
}

json ToJson(const release_call& call) {
  return {{"holder", call.holder.value}, {"term", call.term}};
}

constexpr std::string_view ActionOf(const host_call& call) {
  constexpr std::array<std::string_view, std::variant_size_v<host_call>> kActions = {
      "claim", "start", "execute", "void", "stop", "throttle", "release"};
  return kActions[call.index()];
}

template <class Call>
bool EncodeRequest(Call& call, const host_client_options& options, http_client_request& http) {
  auto text = DumpJson(ToJson(call));
  if (!text) return false;
  http.headers = {{"Content-Type", "application/json"}};
  http.body = std::move(*text);
  http.timeout = options.timeout;
  return true;
}

bool EncodeRequest(execute_call& call, const host_client_options& options,
                   http_client_request& http) {
  http.headers = {{"Sycamorehinge-Term", std::to_string(call.term)},
                  {"Sycamorehinge-Attempt", ToString(call.id)},
                  {"Sycamorehinge-Key", call.key},
                  {"Sycamorehinge-Timeout-Ms", std::to_string(ToMilliseconds(call.timeout))}};
  // A line break in the key would let the caller inject headers.
  if (call.key.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos) return false;
  http.body = std::move(call.body);
  http.timeout = call.timeout + options.execute_margin;
  return true;
}

std::optional<host_task_state> ParseTaskState(std::string_view name) {
  constexpr std::array<std::string_view, 5> kNames = {"running", "succeeded", "failed", "lapsed",
                                                      "stopped"};
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames[i] == name) return static_cast<host_task_state>(i);
  }
  return std::nullopt;
}

std::optional<attempt_fact> ParseAttemptFact(std::string_view name) {
  if (name == "never") return attempt_fact::kNever;
  if (name == "running") return attempt_fact::kRunning;
  if (name == "succeeded") return attempt_fact::kSucceeded;
  if (name == "failed") return attempt_fact::kFailed;
  return std::nullopt;
}

std::optional<host_task> DecodeTask(const json& row) {
  json_fields fields(row);
  host_task task;
  task.work.id = fields.Attempt("attempt");
  task.work.tenant.value = fields.String("tenant");
  task.work.work_class.value = fields.String("class");
  task.work.preemptible = fields.BoolOr("preemptible", false);
  task.work.size = fields.Resources("size");
  task.used = fields.ResourcesOr("used", {});
  const auto state = ParseTaskState(fields.String("state"));
  if (!fields.Ok() || !state) return std::nullopt;
  task.state = *state;
  return task;
}

// Rejects the whole response if one task is malformed: a ledger without that task would overcommit
// the host.
result<host_answer> DecodeClaim(const json& body) {
  json_fields fields(body);
  claim_granted granted;
  granted.term = fields.Unsigned("term");
  granted.capacity = fields.Resources("capacity");
  granted.leaving = fields.BoolOr("leaving", false);
  for (const json& row : fields.Array("tasks")) {
    auto task = DecodeTask(row);
    if (!task) return {errc::kInternal, "malformed task in claim response"};
    granted.tasks.push_back(std::move(*task));
  }
  if (!fields.Ok()) return {errc::kInternal, "malformed claim response"};
  return host_answer(std::move(granted));
}

result<host_answer> DecodeVoid(const json& body) {
  json_fields fields(body);
  const auto fact = ParseAttemptFact(fields.String("state"));
  void_answer voided;
  voided.answer = fields.StringOr("answer", "");
  if (!fields.Ok() || !fact) return {errc::kInternal, "malformed void response"};
  voided.fact = *fact;
  return host_answer(std::move(voided));
}

result<host_answer> DecodeExecute(const attempt_id& id, http_client_response reply) {
  const auto attempt = FindHeader(reply.headers, "Sycamorehinge-Attempt");
  if (!attempt || *attempt != ToString(id)) {
    return {errc::kInternal,
            "response names another attempt: " + std::string(attempt.value_or("none"))};
  }
  return host_answer(execute_answer{std::move(reply.body)});
}

result<host_answer> DecodeClaimDenied(const json& body) {
  json_fields fields(body);
  claim_denied denied;
  denied.holder.value = fields.StringOr("holder", "");
  denied.term = fields.Unsigned("term");
  denied.remaining = fields.Milliseconds("remaining_ms");
  if (!fields.Ok()) return {errc::kInternal, "malformed claim_held response"};
  return host_answer(std::move(denied));
}

struct host_error {
  int status;
  std::string_view name;
  errc code;
};
constexpr std::array kHostErrors = {
    host_error{409, "stale_term", errc::kStaleTerm}, host_error{410, "voided", errc::kVoided},
    host_error{507, "no_room", errc::kNoRoom}, host_error{503, "failed", errc::kFailed},
    host_error{400, "malformed", errc::kMalformed}};

// Both the status and the error name must match: a plain 503 from a proxy does not mean that the
// task failed.
result<host_answer> DecodeError(const expected_response& expected,
                                const http_client_response& reply) {
  const json body = ParseJson(reply.body);
  json_fields fields(body);
  const std::string name = fields.StringOr("error", "");
  const bool is_claim = std::holds_alternative<expect_claim>(expected);
  if (is_claim && reply.status == 409 && name == "claim_held") return DecodeClaimDenied(body);
  for (const host_error& row : kHostErrors) {
    if (row.status == reply.status && row.name == name) return {row.code, name};
  }
  return {errc::kHttpStatus, "status " + std::to_string(reply.status)};
}

}  // namespace

result<http_client_request> EncodeHostCall(const listed_host& host, host_call call,
                                           const host_client_options& options) {
  http_client_request http;
  http.method = "POST";
  http.url = host.address + "/v1/hosts/" + PercentEncode(host.host.value) + "/";
  http.url += ActionOf(call);
  http.max_response_bytes = options.max_response_bytes;
  const bool encoded =
      std::visit([&](auto& typed) { return EncodeRequest(typed, options, http); }, call);
  if (!encoded) return {errc::kMalformed, "text cannot be encoded as JSON or as a header value"};
  return http;
}

expected_response ExpectedResponse(const host_call& call) {
  return std::visit(
      overloaded{[](const claim_call&) -> expected_response { return expect_claim{}; },
                 [](const void_call&) -> expected_response { return expect_void{}; },
                 [](const execute_call& c) -> expected_response { return expect_execute{c.id}; },
                 [](const auto&) -> expected_response { return expect_done{}; }},
      call);
}

result<host_answer> DecodeHostReply(const expected_response& expected, http_client_response reply) {
  if (reply.status != 200) return DecodeError(expected, reply);
  return std::visit(
      overloaded{[&](const expect_claim&) { return DecodeClaim(ParseJson(reply.body)); },
                 [&](const expect_void&) { return DecodeVoid(ParseJson(reply.body)); },
                 [&](const expect_execute& e) { return DecodeExecute(e.id, std::move(reply)); },
                 [](const expect_done&) { return result<host_answer>(host_answer(host_done{})); }},
      expected);
}

}  // namespace sycamorehinge
