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

json Attempts(const std::vector<attempt_id>& ids) {
  json texts = json::array();
  for (const attempt_id& id : ids) texts.push_back(ToString(id));
  return texts;
}

json ToJson(const claim_call& call) {
  return {{"holder", call.holder.value},
          {"term", call.term},
          {"ttl_ms", ToMilliseconds(call.ttl)},
          {"keep", Attempts(call.keep)},
          {"ack", Attempts(call.ack)}};
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

constexpr std::string_view VerbOf(const host_call& call) {
  constexpr std::array<std::string_view, std::variant_size_v<host_call>> kVerbs = {
      "claim", "start", "execute", "void", "stop", "throttle", "release"};
  return kVerbs[call.index()];
}

template <class Call>
bool WriteCall(Call& call, const host_client_options& options, http_call& http) {
  auto text = DumpJson(ToJson(call));
  if (!text) return false;
  http.headers = {{"Content-Type", "application/json"}};
  http.body = std::move(*text);
  http.timeout = options.timeout;
  return true;
}

bool WriteCall(execute_call& call, const host_client_options& options, http_call& http) {
  http.headers = {{"Sycamorehinge-Term", std::to_string(call.term)},
                  {"Sycamorehinge-Attempt", ToString(call.id)},
                  {"Sycamorehinge-Key", call.key},
                  {"Sycamorehinge-Timeout-Ms", std::to_string(ToMilliseconds(call.timeout))}};
  // A line break in the key would add headers of the caller's choice.
  if (call.key.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos) return false;
  http.body = std::move(call.body);
  http.timeout = call.timeout + options.execute_margin;
  return true;
}

std::optional<host_task_state> TaskState(std::string_view name) {
  constexpr std::array<std::string_view, 5> kNames = {"running", "succeeded", "failed", "lapsed",
                                                      "stopped"};
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames[i] == name) return static_cast<host_task_state>(i);
  }
  return std::nullopt;
}

std::optional<attempt_fact> AttemptFact(std::string_view name) {
  if (name == "never") return attempt_fact::kNever;
  if (name == "running") return attempt_fact::kRunning;
  if (name == "succeeded") return attempt_fact::kSucceeded;
  if (name == "failed") return attempt_fact::kFailed;
  return std::nullopt;
}

std::optional<host_task> ReadTask(const json& row) {
  json_fields fields(row);
  host_task task;
  task.work.id = fields.Attempt("attempt");
  task.work.tenant.value = fields.Text("tenant");
  task.work.work_class.value = fields.Text("class");
  task.work.preemptible = fields.FlagOr("preemptible", false);
  task.work.size = fields.Room("size");
  task.used = fields.RoomOr("used", {});
  const auto state = TaskState(fields.Text("state"));
  if (!fields.Ok() || !state) return std::nullopt;
  task.state = *state;
  return task;
}

// A claim with an unreadable task is refused as a whole: a ledger built without that task would
// overcommit the host.
result<host_answer> ReadClaim(const json& answer) {
  json_fields fields(answer);
  claim_granted granted;
  granted.term = fields.Number("term");
  granted.capacity = fields.Room("capacity");
  granted.leaving = fields.FlagOr("leaving", false);
  for (const json& row : fields.Array("tasks")) {
    auto task = ReadTask(row);
    if (!task) return {errc::kInternal, "malformed task in claim answer"};
    granted.tasks.push_back(std::move(*task));
  }
  if (!fields.Ok()) return {errc::kInternal, "malformed claim answer"};
  return host_answer(std::move(granted));
}

result<host_answer> ReadVoid(const json& answer) {
  json_fields fields(answer);
  const auto fact = AttemptFact(fields.Text("state"));
  void_answer voided;
  voided.answer = fields.TextOr("answer", "");
  if (!fields.Ok() || !fact) return {errc::kInternal, "malformed void answer"};
  voided.fact = *fact;
  return host_answer(std::move(voided));
}

result<host_answer> ReadExecute(const attempt_id& id, http_reply reply) {
  const auto echoed = FindHeader(reply.headers, "Sycamorehinge-Attempt");
  if (!echoed || *echoed != ToString(id)) {
    return {errc::kInternal, "answer of another attempt: " + std::string(echoed.value_or("none"))};
  }
  return host_answer(execute_answer{std::move(reply.body)});
}

result<host_answer> ReadDenied(const json& answer) {
  json_fields fields(answer);
  claim_denied denied;
  denied.holder.value = fields.TextOr("holder", "");
  denied.term = fields.Number("term");
  denied.remaining = fields.Milliseconds("remaining_ms");
  if (!fields.Ok()) return {errc::kInternal, "malformed claim refusal"};
  return host_answer(std::move(denied));
}

struct status_row {
  int status;
  std::string_view name;
  errc code;
};
constexpr std::array kHostErrors = {
    status_row{409, "stale_term", errc::kStaleTerm}, status_row{410, "voided", errc::kVoided},
    status_row{507, "no_room", errc::kNoRoom}, status_row{503, "failed", errc::kFailed},
    status_row{400, "malformed", errc::kMalformed}};

// The status and the name must agree, since a proxy's bare 503 does not mean that the task failed.
result<host_answer> ReadError(const expected_answer& expected, const http_reply& reply) {
  const json answer = ParseJson(reply.body);
  json_fields fields(answer);
  const std::string name = fields.TextOr("error", "");
  const bool is_claim = std::holds_alternative<expect_claim>(expected);
  if (is_claim && reply.status == 409 && name == "claim_held") return ReadDenied(answer);
  for (const status_row& row : kHostErrors) {
    if (row.status == reply.status && row.name == name) return {row.code, name};
  }
  return {errc::kHttpStatus, "status " + std::to_string(reply.status)};
}

}  // namespace

result<http_call> EncodeHostCall(const listed_host& host, host_call call,
                                 const host_client_options& options) {
  http_call http;
  http.method = "POST";
  http.url = host.address + "/v1/hosts/" + EscapeSegment(host.host.value) + "/";
  http.url += VerbOf(call);
  http.max_response_bytes = options.max_answer_bytes;
  const bool written =
      std::visit([&](auto& typed) { return WriteCall(typed, options, http); }, call);
  if (!written) return {errc::kMalformed, "text has no JSON or header form"};
  return http;
}

expected_answer ExpectedAnswer(const host_call& call) {
  return std::visit(
      overloaded{[](const claim_call&) -> expected_answer { return expect_claim{}; },
                 [](const void_call&) -> expected_answer { return expect_void{}; },
                 [](const execute_call& c) -> expected_answer { return expect_execute{c.id}; },
                 [](const auto&) -> expected_answer { return expect_done{}; }},
      call);
}

result<host_answer> DecodeHostReply(const expected_answer& expected, http_reply reply) {
  if (reply.status != 200) return ReadError(expected, reply);
  return std::visit(
      overloaded{[&](const expect_claim&) { return ReadClaim(ParseJson(reply.body)); },
                 [&](const expect_void&) { return ReadVoid(ParseJson(reply.body)); },
                 [&](const expect_execute& e) { return ReadExecute(e.id, std::move(reply)); },
                 [](const expect_done&) { return result<host_answer>(host_answer(host_done{})); }},
      expected);
}

}  // namespace sycamorehinge
