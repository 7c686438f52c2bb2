#include "client.h"

#include <catch2/catch.hpp>

#include "answer.h"
#include "curl_transport.h"
#include "fake_api.h"

namespace sycamorehinge {
namespace {

client MakeClient(fake_api& api, std::string token = {}) {
  return {{{"http://a", "http://b"}, std::move(token), std::chrono::seconds(10)},
          api.Transport(),
          api.Clock()};
}

// Guards against a non-idempotent request that runs twice because its reply was lost.
TEST_CASE("A request that may have run is not repeated unless that is allowed") {
  fake_api api;
  client calls = MakeClient(api);
  api.Lose();
  api.Reply(200, "{}");
  const auto once = calls.Send({.method = "POST", .path = "/x"}, repeat_rule::kOnce);
  CHECK(once.code() == errc::kOutcomeUnknown);
  CHECK(api.calls.size() == 1);
  const auto repeated = calls.Send({.method = "POST", .path = "/x"}, repeat_rule::kRepeatable);
  CHECK(repeated);
}

// Guards against an operator locked out by one dead or draining entry host.
TEST_CASE("The next entry process is asked if one did not take the request") {
  fake_api api;
  client calls = MakeClient(api);
  api.Refuse();
  api.Reply(200, "{}");
  CHECK(calls.Send({.method = "POST"}, repeat_rule::kOnce));
  CHECK(api.calls.back().entry == "http://b");

  api.Reply(503, R"({"error":"draining","outcome":"not_run"})");
  api.Reply(200, "{}");
  const auto reply = calls.Send({.method = "POST"}, repeat_rule::kOnce);
  REQUIRE(reply);
  CHECK(reply->status == 200);

  api.Reply(503, R"({"error":"overloaded","outcome":"not_run"})");
  CHECK(calls.Send({.method = "POST"}, repeat_rule::kOnce)->status == 503);
}

// Guards against a read that is given up on while its time is not used up, and against endless
// repeats.
TEST_CASE("A repeatable request is sent at most twice to each entry process") {
  fake_api api;
  client calls = MakeClient(api);
  for (int i = 0; i < 8; ++i) api.Lose();
  CHECK(calls.Send({}, repeat_rule::kRepeatable).code() == errc::kOutcomeUnknown);
  CHECK(api.calls.size() == 4);
}

// Guards against calls without or with a damaged token.
TEST_CASE("The token is sent as a bearer token") {
  fake_api api;
  client calls = MakeClient(api, "secret");
  api.Reply(200, "{}");
  CHECK(calls.Send({}, repeat_rule::kOnce));
  REQUIRE(api.calls[0].request.headers.size() == 1);
  CHECK(api.calls[0].request.headers[0] == api_header("Authorization", "Bearer secret"));
}

// Guards against exit codes that scripts would take for the opposite of what happened.
TEST_CASE("Errors of changes map to exit codes") {
  const auto exit_of = [](int status, const std::string& body) {
    return ErrorOf(api_reply{status, body, ""}, call_kind::kChange).exit;
  };
  CHECK(exit_of(429, R"({"error":"overloaded","outcome":"not_run"})") == exit_code::kNotRun);
  CHECK(exit_of(409, R"({"error":"version_conflict","outcome":"not_run"})") ==
        exit_code::kConflict);
  CHECK(exit_of(500, R"({"error":"failed","outcome":"failed"})") == exit_code::kFailed);
  CHECK(exit_of(504, R"({"error":"timeout","outcome":"unknown"})") == exit_code::kUnknownOutcome);
  // Replies of a load balancer, and a success that cannot be read.
  CHECK(exit_of(502, "<html>") == exit_code::kUnknownOutcome);
  CHECK(exit_of(404, "<html>") == exit_code::kNotRun);
  CHECK(exit_of(200, "[") == exit_code::kUnknownOutcome);
}

// Guards against names that change the path of a call.
TEST_CASE("Path parts are percent-encoded") {
  CHECK(UrlEncoded("a/b?c d\xc3\xb5") == "a%2Fb%3Fc%20d%C3%B5");
  CHECK(UrlEncoded("A-z.0_~") == "A-z.0_~");
}

// Guards against taking a refused connection for a request that may have run.
TEST_CASE("A refused connection is known not to have been sent") {
  // Port 1 of the loopback interface has no listener.
  const auto reply =
      CurlTransport()("http://127.0.0.1:1", {.path = "/v1/health"}, std::chrono::seconds(5));
  CHECK(reply.code() == errc::kConnectionFailed);
  CHECK(reply.detail() == kNeverSent);
}

}  // namespace
}  // namespace sycamorehinge
