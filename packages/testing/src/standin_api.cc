#include "sycamorehinge/testing/standin_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "base64.h"
#include "host_json.h"

namespace sycamorehinge::testing {

using nlohmann::json;

namespace {

// Entries of one page when the caller names no number, and at most.
constexpr std::uint32_t kDefaultPage = 1'000;
constexpr std::uint32_t kLargestPage = 10'000;

int StatusOf(errc code) {
  switch (code) {
    case errc::kOk:
      return 200;
    case errc::kStaleTerm:
      return 409;
    case errc::kVoided:
    case errc::kOffsetForgotten:
      return 410;
    case errc::kNoRoom:
      return 507;
    case errc::kFailed:
    case errc::kLogUnavailable:
      return 503;
    case errc::kOverloaded:
      return 429;
    case errc::kMalformed:
      return 400;
    default:
      return 500;
  }
}

api_reply JsonReply(int status, const json& body) {
  // The answer of a voided request may hold bytes that are not UTF-8, which JSON cannot carry.
  const std::string text = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return {status, text, {{"Content-Type", "application/json"}}, false};
}

api_reply ErrorReply(errc code) {
  if (code == errc::kOk) return JsonReply(200, json::object());
  return JsonReply(StatusOf(code), {{"error", ErrorName(code)}});
}

api_reply Cut() {
  api_reply reply;
  reply.cut = true;
  return reply;
}

std::uint64_t UnsignedOr(const std::string& text, std::uint64_t fallback) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size() ? number : fallback;
}

// Takes the text up to the next '/' off the path.
std::string_view TakeSegment(std::string_view& path) {
  const std::size_t slash = path.find('/');
  const std::string_view segment = path.substr(0, slash);
  path = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
  return segment;
}

}  // namespace

api_reply standin_api::Handle(const api_request& request) {
  std::string_view path = request.path;
  if (path.starts_with('/')) path.remove_prefix(1);
  if (path == "control") {
    return request.method == "GET" ? ControlState() : Control(request);
  }
  if (TakeSegment(path) != "v1") return JsonReply(404, {{"error", "not_found"}});
  const std::string_view kind = TakeSegment(path);
  if (kind == "streams" && !path.empty()) return HandleStream(path, request);
  if (kind != "hosts") return JsonReply(404, {{"error", "not_found"}});
  if (path.empty()) return ListHosts();
  const std::string_view host = TakeSegment(path);
  return HandleHost(host, path, request);
}

api_reply standin_api::HandleStream(std::string_view stream, const api_request& request) {
  const duration delay = platform_.LogDelay();
  if (delay > duration::zero() && !platform_.WaitUntil(MonotonicNow() + delay)) return Cut();
  return request.method == "POST" ? Append(stream, request) : Read(stream, request);
}

api_reply standin_api::Append(std::string_view stream, const api_request& request) {
  const auto offset = platform_.Append(stream, request.body);
  if (offset) return JsonReply(200, {{"offset", *offset}});
  if (offset.code() == errc::kTimeout) return Cut();
  return ErrorReply(offset.code());
}

api_reply standin_api::Read(std::string_view stream, const api_request& request) {
  const std::uint64_t from = UnsignedOr(request.query("from"), 1);
  const auto max = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(UnsignedOr(request.query("max"), kDefaultPage), kLargestPage));
  const auto page = platform_.Read(stream, from, max);
  if (page.code() == errc::kOffsetForgotten) {
    const std::uint64_t oldest = UnsignedOr(std::string(page.detail()), 1);
    return JsonReply(410, {{"error", ErrorName(page.code())}, {"oldest", oldest}});
  }
  if (!page) return ErrorReply(page.code());
  json entries = json::array();
  for (const kept_entry& entry : page->entries) {
    entries.push_back({{"offset", entry.offset}, {"data", Base64Encode(entry.bytes)}});
  }
  api_reply reply = JsonReply(
      200, {{"entries", std::move(entries)}, {"oldest", page->oldest}, {"next", page->next}});
  platform_.Counters().read_bytes += reply.body.size();
  return reply;
}

api_reply standin_api::ListHosts() {
  const topology& shape = platform_.Shape();
  json hosts = json::array();
  for (const listed_row& row : platform_.ListHosts()) {
    hosts.push_back({{"host", row.host},
                     {"kind", row.worker ? "worker" : "target"},
                     {"environment", shape.environment},
                     {"service", row.worker ? std::string() : shape.service},
                     {"region", row.region},
                     {"data_centre", row.data_centre},
                     {"rack", row.rack},
                     {"address", address_},
                     {"state", row.leaving ? "leaving" : "live"}});
  }
  return JsonReply(200, {{"hosts", std::move(hosts)}});
}

api_reply standin_api::HandleHost(std::string_view host, std::string_view call,
                                  const api_request& request) {
  const platform::call_fate fate = platform_.DrawFate(host);
  if (!fate.known) return JsonReply(404, {{"error", "unknown_host"}});
  if (fate.delay > duration::zero()) {
    if (!platform_.WaitUntil(MonotonicNow() + fate.delay)) return Cut();
  }
  if (fate.down) return Cut();
  api_reply reply;
  try {
    reply = call == "execute" ? Execute(host, request) : CallHost(host, call, request);
  } catch (const json::exception&) {
    reply = ErrorReply(errc::kMalformed);
  } catch (const malformed_id&) {
    reply = ErrorReply(errc::kMalformed);
  }
  platform_.Counters().CountHostCall(call, request.body.size() + reply.body.size());
  return fate.lose_answer || platform_.IsDown(host) ? Cut() : reply;
}

api_reply standin_api::CallHost(std::string_view host, std::string_view call,
                                const api_request& request) {
  const json body = json::parse(request.body);
  const time_point now = MonotonicNow();
  if (call == "claim") {
    const claim_order order = ReadClaim(body);
    const claim_reply reply =
        platform_.OnHost(host, [&](host_model& model) { return model.Claim(order, now); });
    return std::visit(
        overloaded{
            [](const claim_grant& grant) { return JsonReply(200, GrantToJson(grant)); },
            [](const claim_refusal& refusal) { return JsonReply(409, RefusalToJson(refusal)); }},
        reply);
  }
  const auto term = body.at("term").get<std::uint64_t>();
  const auto on_host = [&](auto change) { return ErrorReply(platform_.OnHost(host, change)); };
  if (call == "start") {
    const start_order order = ReadStart(body);
    return on_host([&](host_model& model) { return model.Start(order, now); });
  }
  if (call == "release") {
    const process_id holder{body.at("holder").get<std::string>()};
    return on_host([&](host_model& model) { return model.Release(holder, term, now); });
  }
  const attempt_id id = ReadAttempt(body.at("attempt"));
  if (call == "stop") {
    return on_host([&](host_model& model) { return model.Stop(term, id, now); });
  }
  if (call == "checkpoint") {
    return on_host([&](host_model& model) { return model.Checkpoint(term, id, now); });
  }
  if (call == "throttle") {
    const auto percent = body.at("percent").get<std::uint32_t>();
    return on_host([&](host_model& model) { return model.Throttle(term, id, percent, now); });
  }
  if (call != "void") return JsonReply(404, {{"error", "not_found"}});
  const auto answer =
      platform_.OnHost(host, [&](host_model& model) { return model.Void(term, id, now); });
  if (!answer) return ErrorReply(answer.code());
  return JsonReply(200, {{"state", answer->state}, {"answer", answer->answer}});
}

api_reply standin_api::Execute(std::string_view host, const api_request& request) {
  execute_order order;
  const std::string attempt = request.header("Sycamorehinge-Attempt");
  if (!ParseAttemptId(attempt, order.id)) return ErrorReply(errc::kMalformed);
  order.term = UnsignedOr(request.header("Sycamorehinge-Term"), 0);
  order.key = request.header("Sycamorehinge-Key");
  order.body = std::string(request.body);
  execute_reply reply = platform_.OnHost(
      host, [&](host_model& model) { return model.Execute(order, MonotonicNow()); });
  while (const auto* pending = std::get_if<execute_pending>(&reply)) {
    if (!platform_.WaitUntil(pending->until)) return Cut();
    reply = platform_.OnHost(
        host, [&](host_model& model) { return model.ExecuteResult(order.id, MonotonicNow()); });
  }
  if (const errc* code = std::get_if<errc>(&reply)) return ErrorReply(*code);
  return {200,
          std::move(std::get<execute_done>(reply).body),
          {{"Content-Type", "application/octet-stream"}, {"Sycamorehinge-Attempt", attempt}},
          false};
}

}  // namespace sycamorehinge::testing
