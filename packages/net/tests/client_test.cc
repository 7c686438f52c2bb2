#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>

#include "host_codec.h"
#include "listen_socket.h"
#include "sycamorehinge/net/host_client.h"
#include "sycamorehinge/net/host_list_client.h"
#include "sycamorehinge/net/http_server.h"
#include "sycamorehinge/net/log_client.h"

namespace sycamorehinge {
namespace {

using namespace std::chrono_literals;
using namespace std::string_view_literals;
using nlohmann::json;

// Server that records the last request and sends a fixed response.
class recording_server {
 public:
  recording_server()
      : server_({}, [this](const http_request& request, const http_server::reply_function& reply) {
          const std::lock_guard lock(mutex_);
          path = std::string(request.path);
          query = std::string(request.query);
          body = std::string(request.body);
          headers.clear();
          for (const auto& header : request.headers) {
            headers[std::string(header.name)] = std::string(header.value);
          }
          reply(answer);
        }) {
    REQUIRE(server_.Start() == errc::kOk);
  }

  std::string Address() const { return server_.Address(); }
  void Answer(int status, std::string text) { answer = {status, {}, std::move(text)}; }

  std::string path;
  std::string query;
  std::string body;
  std::map<std::string, std::string> headers;
  http_response answer;

 private:
  std::mutex mutex_;
  http_server server_;
};

// Waits for the result of an asynchronous call.
template <class T, class Call>
result<T> Await(Call call) {
  std::promise<result<T>> promise;
  auto future = promise.get_future();
  call([&](result<T> outcome) { promise.set_value(std::move(outcome)); });
  return future.get();
}

constexpr attempt_id kAttempt{{{3, 120, 7}, 0}, 1};

struct host_fixture {
  recording_server server;
  http_client http;
  host_client client{http};
  listed_host host;
  host_fixture() {
    host.host = {"w/1"};
    host.address = server.Address();
  }
  result<host_answer> Call(host_call call) {
    return Await<host_answer>([&](auto done) { client.Call(host, std::move(call), done); });
  }
};

// Guards against requests that do not match the platform's interface.
TEST_CASE("Host calls are encoded as the platform specifies") {
  host_fixture fixture;
  recording_server& server = fixture.server;
  server.Answer(200, "{}");
  start_call start{{"p1"}, 7,     kAttempt, {"ledger"}, {"batch"}, true, {4000, 8000, 1, 2},
                   10s,    90min, "load"};
  REQUIRE(fixture.Call(start));
  CHECK(server.path == "/v1/hosts/w%2F1/start");
  CHECK(json::parse(server.body) ==
        json::parse(R"({"holder":"p1","term":7,"attempt":"p3-120-7.0/1","tenant":"ledger",
          "class":"batch","preemptible":true,"size":{"cores_milli":4000,"memory_mb":8000,
          "accelerators":1,"slots":2},"lease_ms":10000,"run_ms":5400000,"payload":"load"})"));
  REQUIRE(fixture.Call(stop_call{7, kAttempt, true}));
  CHECK(server.path == "/v1/hosts/w%2F1/stop");
  CHECK(json::parse(server.body) ==
        json::parse(R"({"term":7,"attempt":"p3-120-7.0/1","checkpoint":true})"));
  REQUIRE(fixture.Call(throttle_call{7, kAttempt, 40}));
  CHECK(json::parse(server.body)["percent"] == 40);
  REQUIRE(fixture.Call(release_call{{"p1"}, 7}));
  CHECK(json::parse(server.body) == json::parse(R"({"holder":"p1","term":7})"));
  CHECK(fixture.Call(start_call{{"p1"}, 7, kAttempt, {}, {}, false, {}, 1s, 1s, "\xff"}).code() ==
        errc::kMalformed);
}

// Guards against a ledger built from a partly decoded claim, which would overcommit the host (P1).
TEST_CASE("Claims are decoded completely or rejected") {
  host_fixture fixture;
  const std::string task =
      R"({"attempt":"p3-120-7.0/1","tenant":"t","class":"c","preemptible":true,
          "size":{"cores_milli":5},"state":"lapsed","used":{"memory_mb":6}})";
  fixture.server.Answer(200, R"({"term":9,"capacity":{"cores_milli":30000,"memory_mb":130000,
      "accelerators":2,"slots":0},"leaving":true,"tasks":[)" +
                                 task + "]}");
  const auto granted = fixture.Call(claim_call{{"p1"}, 8, 2s, {kAttempt}, {kAttempt}});
  REQUIRE(granted);
  CHECK(json::parse(fixture.server.body) ==
        json::parse(R"({"holder":"p1","term":8,"ttl_ms":2000,"keep":["p3-120-7.0/1"],
                        "ack":["p3-120-7.0/1"]})"));
  const auto& claim = std::get<claim_granted>(*granted);
  CHECK(claim.term == 9);
  CHECK(claim.capacity == resources{30000, 130000, 2, 0});
  CHECK(claim.leaving);
  REQUIRE(claim.tasks.size() == 1);
  CHECK(claim.tasks[0].work.id == kAttempt);
  CHECK(claim.tasks[0].work.size == resources{5, 0, 0, 0});
  CHECK(claim.tasks[0].state == host_task_state::kLapsed);
  CHECK(claim.tasks[0].used.memory_mb == 6);
  for (const char* broken :
       {"", "[]", "{}", R"({"term":-1,"capacity":{},"tasks":[]})",
        R"({"term":1,"capacity":{"cores_milli":"x"},"tasks":[]})",
        R"({"term":1,"capacity":{},"tasks":[{}]})", R"({"term":1,"capacity":{}})"}) {
    fixture.server.Answer(200, broken);
    CHECK(fixture.Call(claim_call{}).code() == errc::kInternal);
  }
  fixture.server.Answer(409, R"({"error":"claim_held","holder":"p2","term":4,"remaining_ms":700})");
  const auto denied = fixture.Call(claim_call{});
  REQUIRE(denied);
  CHECK(std::get<claim_denied>(*denied).holder.value == "p2");
  CHECK(std::get<claim_denied>(*denied).remaining == 700ms);
}

// Guards against reporting work as not run when its outcome is unknown (P4).
TEST_CASE("Errors from a host map to the matching error codes") {
  host_fixture fixture;
  const auto code = [&](int status, const char* text) {
    fixture.server.Answer(status, text);
    return fixture.Call(start_call{}).code();
  };
  CHECK(code(409, R"({"error":"stale_term"})") == errc::kStaleTerm);
  CHECK(code(410, R"({"error":"voided"})") == errc::kVoided);
  CHECK(code(507, R"({"error":"no_room"})") == errc::kNoRoom);
  CHECK(code(503, R"({"error":"failed"})") == errc::kFailed);
  CHECK(code(400, R"({"error":"malformed"})") == errc::kMalformed);
  CHECK(code(409, R"({"error":"claim_held","term":1,"remaining_ms":1})") == errc::kHttpStatus);
  CHECK(code(503, "Service Unavailable") == errc::kHttpStatus);
  CHECK(code(500, R"({"error":"stale_term"})") == errc::kHttpStatus);
  std::uint16_t port = 0;
  ListenOn("127.0.0.1", 0, 1, port).Close();
  fixture.host.address = "http://127.0.0.1:" + std::to_string(port);
  const auto refused = fixture.Call(start_call{});
  CHECK(refused.code() == errc::kConnectionFailed);
  CHECK(refused.detail() == "refused");
}

// Guards against a caller receiving the response to another request (P3).
TEST_CASE("Execute passes raw bodies and verifies the attempt in the response") {
  host_fixture fixture;
  const std::string raw("\0\xff\r\n", 4);
  fixture.server.answer = {200, {{"Sycamorehinge-Attempt", "p3-120-7.0/1"}}, raw};
  const auto answer = fixture.Call(execute_call{7, kAttempt, "order 1", 250ms, raw});
  REQUIRE(answer);
  CHECK(std::get<execute_answer>(*answer).body == raw);
  CHECK(fixture.server.body == raw);
  CHECK(fixture.server.path == "/v1/hosts/w%2F1/execute");
  CHECK(fixture.server.headers["Sycamorehinge-Term"] == "7");
  CHECK(fixture.server.headers["Sycamorehinge-Attempt"] == "p3-120-7.0/1");
  CHECK(fixture.server.headers["Sycamorehinge-Key"] == "order 1");
  CHECK(fixture.server.headers["Sycamorehinge-Timeout-Ms"] == "250");
  fixture.server.answer.headers[0].value = "p3-120-7.0/2";
  CHECK(fixture.Call(execute_call{7, kAttempt, "", 250ms, ""}).code() == errc::kInternal);
  fixture.server.answer.headers.clear();
  CHECK(fixture.Call(execute_call{7, kAttempt, "", 250ms, ""}).code() == errc::kInternal);
  CHECK(fixture.Call(execute_call{7, kAttempt, "a\r\nX: y", 250ms, ""}).code() == errc::kMalformed);
}

// Guards against a task that ran being treated as never started.
TEST_CASE("Void responses report the state of the attempt") {
  host_fixture fixture;
  const std::vector<std::pair<std::string, attempt_fact>> states = {
      {"never", attempt_fact::kNever},
      {"running", attempt_fact::kRunning},
      {"succeeded", attempt_fact::kSucceeded},
      {"failed", attempt_fact::kFailed}};
  for (const auto& [name, fact] : states) {
    fixture.server.Answer(200, json{{"state", name}, {"answer", "a"}}.dump());
    const auto voided = fixture.Call(void_call{7, kAttempt});
    REQUIRE(voided);
    CHECK(std::get<void_answer>(*voided).fact == fact);
    CHECK(std::get<void_answer>(*voided).answer == "a");
  }
  for (const char* broken : {"{}", R"({"state":"other"})", R"({"state":1})", "never"}) {
    fixture.server.Answer(200, broken);
    CHECK(fixture.Call(void_call{7, kAttempt}).code() == errc::kInternal);
  }
}

// Guards against lost records, and against appends reported as rejected that took effect.
TEST_CASE("The log client reads pages and distinguishes rejected appends from unknown outcomes") {
  recording_server server;
  http_client http;
  const log_client log(http, {server.Address()});
  const auto append = [&] {
    return Await<std::uint64_t>([&](auto done) { log.Append("p 3", std::string("a\0", 2), done); });
  };
  const auto read = [&] {
    return Await<log_page>([&](auto done) { log.Read("p3", 5, 100, done); });
  };
  server.Answer(200, R"({"offset":12})");
  REQUIRE(append());
  CHECK(*append() == 12);
  CHECK(server.path == "/v1/streams/p%203");
  CHECK(server.body == std::string("a\0", 2));
  server.Answer(503, R"({"error":"log_unavailable"})");
  CHECK(append().code() == errc::kLogUnavailable);
  CHECK(read().code() == errc::kLogUnavailable);
  server.Answer(429, R"({"error":"overloaded"})");
  CHECK(append().code() == errc::kOverloaded);
  for (const int status : {200, 500, 502}) {
    server.Answer(status, "?");
    CHECK(append().code() == errc::kTimeout);
  }
  server.Answer(410, R"({"error":"offset_forgotten","oldest":77})");
  CHECK(read().code() == errc::kOffsetForgotten);
  CHECK(read().detail() == "77");
  server.Answer(200, R"({"entries":[{"offset":5,"data":"AP8="},{"offset":6,"data":""}],
                         "oldest":1,"next":7})");
  const auto page = read();
  REQUIRE(page);
  CHECK(server.query == "from=5&max=100");
  CHECK(page->next == 7);
  REQUIRE(page->entries.size() == 2);
  CHECK(page->entries[0].bytes == std::string("\0\xff", 2));
  CHECK(page->entries[1].offset == 6);
  server.Answer(200, R"({"entries":[{"offset":5,"data":"A*8="}],"oldest":1,"next":7})");
  CHECK(read().code() == errc::kLogUnavailable);
  const log_client nowhere(http, {"http://127.0.0.1:1"});
  CHECK(Await<std::uint64_t>([&](auto done) { nowhere.Append("p3", "x", done); }).code() ==
        errc::kLogUnavailable);
}

// Guards against one malformed row hiding all hosts.
TEST_CASE("The host list skips only malformed rows") {
  recording_server server;
  http_client http;
  std::size_t malformed_rows = 0;
  host_list_client_options options;
  options.address = server.Address();
  options.on_malformed_rows = [&](std::size_t rows) { malformed_rows = rows; };
  const host_list_client list(http, options);
  server.Answer(200, R"({"hosts":[
      {"host":"w1","kind":"worker","environment":"e","region":"harju","data_centre":"d",
       "rack":"r","address":"http://127.0.0.1:9000","state":"leaving"},
      {"host":"t1","kind":"target","environment":"e","service":"s","region":"harju",
       "address":"http://127.0.0.1:9001","state":"live"},
      {"host":"x"}, 7]})");
  const auto hosts = Await<std::vector<listed_host>>([&](auto done) { list.List(done); });
  REQUIRE(hosts);
  REQUIRE(hosts->size() == 2);
  CHECK(hosts->at(0).leaving);
  CHECK(hosts->at(0).where.rack.value == "r");
  CHECK(hosts->at(1).kind == host_kind::kTarget);
  CHECK(hosts->at(1).service.value == "s");
  CHECK(malformed_rows == 2);
  server.Answer(200, "[]");
  CHECK(Await<std::vector<listed_host>>([&](auto done) { list.List(done); }).code() ==
        errc::kInternal);
}

std::string Mutate(std::string text, std::mt19937_64& random) {
  constexpr auto kBytes = "{}[]\",:0-9e\\u\xff\0 ntf"sv;
  for (std::uint64_t i = 0; i < 1 + random() % 4 && !text.empty(); ++i) {
    const std::size_t at = random() % text.size();
    if (random() % 2 == 0) text.erase(at, 1 + random() % 6);
    text.insert(std::min(at, text.size()), 1, kBytes[random() % kBytes.size()]);
  }
  return text;
}

// Guards against crashes and exceptions on responses from faulty or malicious services.
TEST_CASE("Response decoders handle mutated bytes without throwing") {
  std::mt19937_64 random(20261204);
  const std::vector<std::string> seeds = {
      R"({"term":9,"capacity":{"cores_milli":30000},"leaving":true,"tasks":[{"attempt":
          "p3-120-7.0/1","tenant":"t","class":"c","size":{},"state":"running","used":{}}]})",
      R"({"error":"claim_held","holder":"p2","term":4,"remaining_ms":18446744073709551615})",
      R"({"state":"never","answer":"x"})",
      R"({"entries":[{"offset":5,"data":"AP8="}],"oldest":1,"next":7})",
      R"({"hosts":[{"host":"w1","kind":"worker","environment":"e","region":"h",
          "address":"http://h","state":"live"}]})",
      std::string(100'000, '[')};
  const std::vector<expected_response> expected = {expect_claim{}, expect_done{}, expect_void{},
                                                   expect_execute{kAttempt}};
  for (int round = 0; round < 20'000; ++round) {
    // The deeply nested input is slow, so it is used in few rounds.
    const std::size_t seed = round % 500 == 0 ? 5 : random() % 5;
    http_client_response reply{round % 3 == 0 ? 409 : 200, {}, Mutate(seeds[seed], random)};
    (void)DecodeAppendReply(reply);
    (void)DecodeReadReply(reply);
    (void)DecodeHostList(reply);
    for (const expected_response& answer : expected) (void)DecodeHostReply(answer, reply);
  }
}

}  // namespace
}  // namespace sycamorehinge
