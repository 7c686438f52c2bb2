#include "sycamorehinge/net/log_client.h"

#include <utility>

#include "sycamorehinge/net/json_fields.h"
#include "sycamorehinge/net/url.h"

namespace sycamorehinge {

namespace {

std::string StreamUrl(std::string_view address, std::string_view stream) {
  return std::string(address) + "/v1/streams/" + PercentEncode(stream);
}

// kLogUnavailable means that nothing was appended, so it is returned only if the request was
// definitely not sent. Any other connection failure leaves the outcome unknown.
errc AppendError(const result<http_client_response>& outcome) {
  return MayHaveBeenSent(outcome) ? errc::kTimeout : errc::kLogUnavailable;
}

errc ReadError(const result<http_client_response>& outcome) {
  return outcome.code() == errc::kTimeout ? errc::kTimeout : errc::kLogUnavailable;
}

log_entry DecodeEntry(const nlohmann::json& row, bool& ok) {
  json_fields fields(row);
  log_entry entry;
  entry.offset = fields.Unsigned("offset");
  auto bytes = DecodeBase64(fields.String("data"));
  if (!fields.Ok() || !bytes) {
    ok = false;
    return entry;
  }
  entry.bytes = std::move(*bytes);
  return entry;
}

result<log_page> DecodePage(std::string_view body) {
  const nlohmann::json body_json = ParseJson(body);
  json_fields fields(body_json);
  log_page page;
  page.oldest = fields.Unsigned("oldest");
  page.next = fields.Unsigned("next");
  bool ok = true;
  for (const nlohmann::json& row : fields.Array("entries")) {
    page.entries.push_back(DecodeEntry(row, ok));
    if (!ok) break;
  }
  if (!ok || !fields.Ok()) return {errc::kLogUnavailable, "malformed response"};
  return page;
}

std::string DecodeOldestOffset(std::string_view body) {
  const nlohmann::json body_json = ParseJson(body);
  json_fields fields(body_json);
  const std::uint64_t oldest = fields.Unsigned("oldest");
  return fields.Ok() ? std::to_string(oldest) : std::string();
}

}  // namespace

result<std::uint64_t> DecodeAppendReply(const http_client_response& reply) {
  if (reply.status == 503) return {errc::kLogUnavailable, "status 503"};
  if (reply.status == 429) return {errc::kOverloaded, "status 429"};
  if (reply.status != 200) return {errc::kTimeout, "status " + std::to_string(reply.status)};
  const nlohmann::json body_json = ParseJson(reply.body);
  json_fields fields(body_json);
  const std::uint64_t offset = fields.Unsigned("offset");
  if (!fields.Ok()) return {errc::kTimeout, "malformed response"};
  return offset;
}

result<log_page> DecodeReadReply(const http_client_response& reply) {
  if (reply.status == 200) return DecodePage(reply.body);
  if (reply.status == 429) return {errc::kOverloaded, "status 429"};
  if (reply.status == 410) {
    std::string oldest = DecodeOldestOffset(reply.body);
    if (!oldest.empty()) return {errc::kOffsetForgotten, std::move(oldest)};
  }
  return {errc::kLogUnavailable, "status " + std::to_string(reply.status)};
}

log_client::log_client(http_client& client, log_client_options options)
    : client_(&client), options_(std::move(options)) {}

void log_client::Append(std::string_view stream, std::string bytes,
                        completion<std::uint64_t> done) const {
  http_client_request call;
  call.method = "POST";
  call.url = StreamUrl(options_.address, stream);
  call.body = std::move(bytes);
  call.timeout = options_.append_timeout;
  client_->Send(std::move(call),
                [done = std::move(done)](const result<http_client_response>& outcome) {
                  if (outcome) return done(DecodeAppendReply(*outcome));
                  done({AppendError(outcome), std::string(outcome.detail())});
                });
}

void log_client::Read(std::string_view stream, std::uint64_t from, std::uint32_t max,
                      completion<log_page> done) const {
  http_client_request call;
  call.url = StreamUrl(options_.address, stream) + "?from=" + std::to_string(from) +
             "&max=" + std::to_string(max);
  call.timeout = options_.read_timeout;
  call.max_response_bytes = options_.max_page_bytes;
  client_->Send(std::move(call),
                [done = std::move(done)](const result<http_client_response>& outcome) {
                  if (outcome) return done(DecodeReadReply(*outcome));
                  done({ReadError(outcome), std::string(outcome.detail())});
                });
}

}  // namespace sycamorehinge
