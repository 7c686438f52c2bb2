#include "client.h"

#include <optional>

#include "json_fields.h"

namespace sycamorehinge {

namespace {

constexpr int kServiceUnavailable = 503;

// True if this process refused for a reason of its own, so another one may take the request.
bool RefusedByProcess(const api_reply& reply) {
  if (reply.status != kServiceUnavailable) return false;
  const std::string error = TextField(ParseJson(reply.body), "error");
  return error == ErrorName(errc::kNotReady) || error == ErrorName(errc::kDraining);
}

bool WasNeverSent(const result<api_reply>& reply) {
  return reply.code() == errc::kConnectionFailed && reply.detail() == kNeverSent;
}

}  // namespace

client::client(client_options options, api_transport transport, api_clock clock)
    : options_(std::move(options)), transport_(std::move(transport)), clock_(std::move(clock)) {}

result<api_reply> client::Send(const api_request& request, repeat_rule rule, duration timeout) {
  api_request sent = request;
  if (!options_.token.empty()) {
    sent.headers.emplace_back("Authorization", "Bearer " + options_.token);
  }
  const time_point end = clock_.now() + timeout;
  std::optional<api_reply> refusal;
  std::string unknown;
  // The second round repeats calls whose connection broke; refused connections end the first.
  for (int round = 0; round < 2; ++round) {
    for (const std::string& entry : options_.entries) {
      const duration left = end - clock_.now();
      if (left <= duration::zero()) break;
      result<api_reply> reply = transport_(entry, sent, left);
      if (reply && !RefusedByProcess(*reply)) return reply;
      if (reply) {
        refusal = *reply;
        continue;
      }
      if (WasNeverSent(reply)) continue;
      unknown =
          entry + ": " + std::string(ErrorName(reply.code())) + ": " + std::string(reply.detail());
      if (rule == repeat_rule::kOnce) return {errc::kOutcomeUnknown, unknown};
    }
    if (unknown.empty()) break;
  }
  if (!unknown.empty()) return {errc::kOutcomeUnknown, unknown};
  if (refusal) return *std::move(refusal);
  return {errc::kConnectionFailed, std::string(kNeverSent)};
}

std::string UrlEncoded(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       std::string_view("-._~").find(c) != std::string_view::npos;
    if (plain) {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kDigits[byte >> 4U];
      encoded += kDigits[byte & 15U];
    }
  }
  return encoded;
}

}  // namespace sycamorehinge
