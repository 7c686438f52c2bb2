#include "api.h"

#include <charconv>

#include "api_json.h"

namespace sycamorehinge {

namespace {

using nlohmann::json;

constexpr duration kLongestWait = std::chrono::seconds(25);

http_response JsonResponse(int status, const json& body) {
  // Names come from callers and may hold bytes that are not UTF-8.
  return {status,
          {{"Content-Type", "application/json"}},
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

http_response NotFound() { return ErrorResponse(errc::kMalformed, "no such resource"); }

// Takes the path segment up to the next '/'.
std::string_view TakeSegment(std::string_view& path) {
  const std::size_t end = std::min(path.find('/'), path.size());
  const std::string_view segment = path.substr(0, end);
  path.remove_prefix(std::min(end + 1, path.size()));
  return segment;
}

std::int64_t NumberIn(std::string_view text) {
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

http_response JobResponse(int status, const job_answer& answer) {
  if (answer.code != errc::kOk) {
    return ErrorResponse(answer.code, answer.detail, answer.retry_after);
  }
  return JsonResponse(status, JobJson(answer.status));
}

std::string HeaderText(const http_request& request, std::string_view name) {
  return std::string(request.Header("Sycamorehinge-" + std::string(name)));
}

}  // namespace

api::api(entry_node& node, process_id self, access_tokens tokens,
         std::function<std::string()> metrics, std::function<void()> drain)
    : node_(node),
      self_(std::move(self)),
      tokens_(std::move(tokens)),
      metrics_(std::move(metrics)),
      drain_(std::move(drain)) {}

void api::Handle(const http_request& request, reply_function reply) {
  std::string_view path = request.path;
  if (!path.starts_with("/v1/")) return reply(NotFound());
  path.remove_prefix(4);
  if (path == "health") return reply(Health());
  if (path == "ready") return reply(Ready());
  const bool caller = path.starts_with("requests/") || path == "jobs" || path.starts_with("jobs/");
  const errc denied = tokens_.Check(request.Header("Authorization"),
                                    caller ? access_right::kCaller : access_right::kOperator);
  if (denied != errc::kOk) return reply(ErrorResponse(denied));
  if (caller) {
    Caller(request, path, std::move(reply));
  } else {
    Operator(request, path, std::move(reply));
  }
}

void api::Caller(const http_request& request, std::string_view rest, reply_function reply) {
  const std::string_view kind = TakeSegment(rest);
  if (kind == "requests") return Request(request, rest, std::move(reply));
  if (rest.empty() && request.method == "POST") return Submit(request, std::move(reply));
  Job(request, rest, std::move(reply));
}

void api::Request(const http_request& request, std::string_view service, reply_function reply) {
  if (request.method != "POST") return reply(ErrorResponse(errc::kMalformed, "use POST"));
  caller_request call;
  call.environment.value = HeaderText(request, "Environment");
  call.tenant.value = HeaderText(request, "Tenant");
  call.work_class.value = HeaderText(request, "Class");
  call.service.value = std::string(service);
  call.key = HeaderText(request, "Key");
  call.idempotent = HeaderText(request, "Idempotent") != "false";
  call.time_left = std::chrono::milliseconds(NumberIn(HeaderText(request, "Deadline-Ms")));
  call.trace = HeaderText(request, "Request");
  call.body = std::string(request.body);
  const std::string trace = call.trace;
  node_.Request(std::move(call), [reply = std::move(reply), trace](const request_answer& answer) {
    http_response response;
    if (answer.code == errc::kOk) {
      response.headers = {{"Content-Type", "application/octet-stream"}};
      response.body = answer.body;
    } else {
      response = ErrorResponse(answer.code, answer.detail, answer.retry_after);
    }
    if (!trace.empty()) response.headers.push_back({"Sycamorehinge-Request", trace});
    reply(std::move(response));
  });
}

void api::Submit(const http_request& request, reply_function reply) {
  result<job_spec> spec = ParseJob(request.body);
  if (!spec) return reply(ErrorResponse(spec.code(), spec.detail()));
  node_.Submit(std::move(*spec), [reply = std::move(reply)](const job_answer& answer) {
    reply(JobResponse(202, answer));
  });
}

void api::Job(const http_request& request, std::string_view rest, reply_function reply) {
  job_id job;
  if (!ParseJobId(TakeSegment(rest), job)) return reply(ErrorResponse(errc::kUnknownJob));
  if (rest == "explain" && request.method == "GET") {
    return reply(JsonResponse(200, {{"job", ToString(job)}, {"lines", node_.Explain(job)}}));
  }
  if (!rest.empty()) return reply(NotFound());
  auto answer = [reply = std::move(reply)](const job_answer& found) {
    reply(JobResponse(200, found));
  };
  if (request.method == "DELETE") return node_.Cancel(job, std::move(answer));
  if (request.method != "GET") return answer({0, errc::kMalformed, "use GET or DELETE", {}, {}});
  const duration wait =
      std::chrono::milliseconds(NumberIn(request.Query("wait_ms").value_or(std::string_view())));
  node_.Status(job, std::min(wait, kLongestWait), std::move(answer));
}

void api::Operator(const http_request& request, std::string_view rest, reply_function reply) {
  const std::string_view what = TakeSegment(rest);
  if (what == "environments") return Environment(request, rest, std::move(reply));
  if (what == "drain" && request.method == "POST") {
    drain_();
    return reply(JsonResponse(202, {{"draining", true}}));
  }
  if (request.method != "GET" || !rest.empty()) return reply(NotFound());
  if (what == "hosts") return reply(JsonResponse(200, HostsJson(node_.Hosts(), self_)));
  if (what == "queues") return reply(JsonResponse(200, QueuesJson(node_.Summary())));
  if (what == "state") return reply(JsonResponse(200, StateJson(node_.Summary())));
  if (what == "metrics") {
    return reply({200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_()});
  }
  reply(NotFound());
}

void api::Environment(const http_request& request, std::string_view rest, reply_function reply) {
  config_key key;
  key.environment.value = std::string(TakeSegment(rest));
  const std::string_view stage = TakeSegment(rest);
  if (stage != "trial" && stage != "production") return reply(NotFound());
  key.stage = stage == "trial" ? stage_name::kTrial : stage_name::kProduction;
  if (request.method == "POST" && rest.empty()) return Propose(request, key, std::move(reply));
  if (request.method != "GET") return reply(NotFound());
  if (rest == "history") {
    json versions = json::array();
    for (const config_version& version : node_.History(key)) {
      versions.push_back(VersionJson(version));
    }
    return reply(JsonResponse(200, {{"versions", std::move(versions)}}));
  }
  if (!rest.empty()) return reply(NotFound());
  const auto version = node_.InForce(key);
  if (!version) return reply(ErrorResponse(errc::kUnknownEnvironment));
  reply(JsonResponse(200, VersionJson(*version)));
}

void api::Propose(const http_request& request, const config_key& key, reply_function reply) {
  result<config_record> record = ParseProposal(request.body);
  if (!record) return reply(ErrorResponse(record.code(), record.detail()));
  record->environment = key.environment;
  record->stage = key.stage;
  node_.Propose(std::move(*record), [reply = std::move(reply)](const proposal_answer& answer) {
    if (answer.code == errc::kOk) {
      return reply(JsonResponse(200, {{"version", answer.version.version}}));
    }
    http_response response = ErrorResponse(answer.code, answer.detail);
    if (answer.code == errc::kVersionConflict) {
      json body = json::parse(response.body);
      body["winner"] = {{"version", answer.version.version}, {"author", answer.version.author}};
      response.body = body.dump();
    }
    reply(std::move(response));
  });
}

http_response api::Health() const { return JsonResponse(200, {{"process", self_.value}}); }

http_response api::Ready() const {
  if (!node_.Ready()) return ErrorResponse(errc::kNotReady);
  return JsonResponse(200, {{"ready", true}});
}

}  // namespace sycamorehinge
